// Target selection policies for new flows.

#include "bramleylock/Forward/FlowChoice.h"

#include <algorithm>
#include <cmath>

namespace bramleylock::forward {

/// Factor by which a target that is warming up takes longer for a request (the
/// platform's hosts take 1.6 times as long in their first seconds).
static constexpr double kColdFactor = 1.6;

/// Cost of selecting a target in another failure domain, in mean service times:
/// it adds two milliseconds of latency, and traffic between domains is billed.
static constexpr double kOtherDomainCost = 0.5;

/// Cost of a target with only one free slot, in mean service times. It accounts
/// for the chance that another balancer sends a request to that slot at the
/// same time.
static constexpr double kLoadCost = 0.25;

/// Maximum number of requests per slot of a target. Beyond it, the next request
/// waits for a whole service time at the target. Queueing it in the balancer is
/// better, because there the order can still change and any target that becomes
/// free can serve it.
static constexpr std::uint32_t kRequestsPerSlot = 2;

/// A balancer has used up its share of the slots when its requests in flight
/// reach the number of slots in the share plus this many standard deviations of
/// a random load. Beyond that the targets are overloaded, even if the targets
/// visible to this balancer appear to be free.
static constexpr double kSpareDeviations = 3;
static constexpr double kLeastShare = 4;

namespace {

/// Returns whether at least one candidate is not silent. If all are silent, the
/// fault is assumed to be on this balancer's side, and silence is ignored. Most
/// of them may well be unreachable, for example all other failure domains when
/// this domain is partitioned from them.
auto SilenceCounts(const std::vector<Candidate>& aCandidates) -> bool
{
  return std::any_of(
    aCandidates.begin(), aCandidates.end(),
    [](const Candidate& aCandidate) { return !aCandidate.silent; });
}

/// Returns the expected time until one more request is completed plus the cost
/// of reaching the target, in mean service times of a warmed-up target.
auto CostOf(const Candidate& aCandidate, double aLaterRequests) -> double
{
  const double slots = std::max<std::uint32_t>(aCandidate.slots, 1);
  const double requests = aCandidate.inFlight + aCandidate.idleLoad;
  const double work = aCandidate.cold ? kColdFactor : 1.0;
  const double wait = std::max(0.0, requests + 1 - slots) / slots * work;
  // Among targets with a free slot, prefer the less loaded one, because some
  // flows of other balancers are not visible here yet.
  const double load = kLoadCost * requests / slots;
  // Later requests of the flow compete with the requests expected from idle
  // flows, not with the requests in flight now.
  const double later = kLoadCost * aLaterRequests * aCandidate.idleLoad / slots;
  return wait + work + load + later +
         (aCandidate.sameDomain ? 0 : kOtherDomainCost);
}

/// Returns whether this balancer has as many requests in flight as its share of
/// the slots allows.
auto ShareIsUsed(const ChoiceInput& aInput, bool aSilenceCounts) -> bool
{
  double slots = 0;
  double requests = 0;
  for (const auto& candidate : aInput.candidates) {
    if (!aSilenceCounts || !candidate.silent) {
      slots += candidate.slots;
      requests += candidate.inFlight;
    }
  }
  const double share = slots / static_cast<double>(aInput.balancers);
  const double limit = share + kSpareDeviations * std::sqrt(share);
  return requests >= std::max(kLeastShare, limit);
}

/// Selects the candidate with the lowest expected cost; breaks ties at random.
class LeastWait : public FlowChoice
{
public:
  auto Choose(const ChoiceInput& aInput, Random& aRandom)
    -> FlowDecision override
  {
    if (aInput.candidates.empty()) {
      return { std::nullopt, RefusalReason::NoTarget };
    }
    const bool silenceCounts = SilenceCounts(aInput.candidates);
    FlowDecision decision{ std::nullopt, RefusalReason::Busy };
    if (ShareIsUsed(aInput, silenceCounts)) {
      return decision;
    }
    double least = 0;
    std::uint64_t ties = 0;
    for (std::size_t index = 0; index < aInput.candidates.size(); ++index) {
      const auto& candidate = aInput.candidates[index];
      if ((silenceCounts && candidate.silent) || candidate.full ||
          candidate.inFlight >= candidate.slots * kRequestsPerSlot) {
        continue;
      }
      const auto cost = CostOf(candidate, aInput.laterRequests);
      if (decision.chosen && cost > least) {
        continue;
      }
      ties = decision.chosen && cost == least ? ties + 1 : 1;
      if (ties == 1 || aRandom() % ties == 0) {
        decision = { index, RefusalReason::None };
      }
      least = cost;
    }
    return decision;
  }
};

/// Selects a random target that is not silent, preferring the local failure
/// domain. Serves as the baseline for comparisons.
class RandomTarget : public FlowChoice
{
public:
  auto Choose(const ChoiceInput& aInput, Random& aRandom)
    -> FlowDecision override
  {
    std::vector<std::size_t> near;
    std::vector<std::size_t> far;
    for (std::size_t index = 0; index < aInput.candidates.size(); ++index) {
      const auto& candidate = aInput.candidates[index];
      if (!candidate.silent) {
        (candidate.sameDomain ? near : far).push_back(index);
      }
    }
    const auto& from = near.empty() ? far : near;
    if (from.empty()) {
      return { std::nullopt, RefusalReason::NoTarget };
    }
    return { from[aRandom() % from.size()], RefusalReason::None };
  }
};

const Registration<FlowChoiceRegistry, LeastWait> kLeastWait("least-wait");
const Registration<FlowChoiceRegistry, RandomTarget> kRandom("random");

} // namespace

} // namespace bramleylock::forward
