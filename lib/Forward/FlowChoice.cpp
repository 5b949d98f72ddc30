// Target selection policies for new flows.

#include "bramleylock/Forward/FlowChoice.h"

#include <algorithm>
#include <cmath>

namespace bramleylock::forward {

/// Cost of selecting a target in another failure domain, in mean service times:
/// it adds two milliseconds of latency, and traffic between domains is billed.
static constexpr double kOtherFailureDomainCost = 0.5;

/// Cost of a target with only one free slot, in mean service times. It accounts
/// for the chance that another balancer sends a request to that slot at the
/// same time.
static constexpr double kOccupancyCost = 0.25;

/// Maximum number of requests per slot of a target. Beyond it, the next request
/// waits for a whole service time at the target. Queueing it in the balancer is
/// better, because there the order can still change and any target that becomes
/// free can serve it.
static constexpr std::uint32_t kMaxRequestsPerSlot = 2;

/// A balancer has used up its share of the slots when its requests in flight
/// reach the number of slots in the share plus this many standard deviations of
/// a random load. Beyond that the targets are overloaded, even if the targets
/// visible to this balancer appear to be free.
static constexpr double kShareHeadroomDeviations = 3;
static constexpr double kMinRequestLimit = 4;

namespace {

/// Returns whether at least one candidate is not silent. If all are silent, the
/// fault is assumed to be on this balancer's side, and silence is ignored. Most
/// of them may well be unreachable, for example all other failure domains when
/// this domain is partitioned from them.
auto AnyTargetResponds(const std::vector<Candidate>& aCandidates) -> bool
{
  return std::any_of(
    aCandidates.begin(), aCandidates.end(),
    [](const Candidate& aCandidate) { return !aCandidate.silent; });
}

/// Returns the expected time until one more request is completed plus the cost
/// of reaching the target, in mean service times of a warmed-up target.
auto ExpectedCost(const Candidate& aCandidate, double aExpectedLaterRequests)
  -> double
{
  const double slots = std::max<std::uint32_t>(aCandidate.slots, 1);
  const double requests = aCandidate.busyLoad + aCandidate.idleLoad;
  const double serviceTime = aCandidate.slowness;
  const double waitTime =
    std::max(0.0, requests + 1 - slots) / slots * serviceTime;
  // Among targets with a free slot, prefer the less loaded one, because some
  // flows of other balancers are not visible here yet.
  const double occupancyCost = kOccupancyCost * requests / slots;
  // Later requests of the flow compete with the requests expected from idle
  // flows, not with the requests in flight now.
  const double laterRequestsCost =
    kOccupancyCost * aExpectedLaterRequests * aCandidate.idleLoad / slots;
  return waitTime + serviceTime + occupancyCost + laterRequestsCost +
         (aCandidate.sameDomain ? 0 : kOtherFailureDomainCost);
}

/// Returns whether this balancer has as many requests in flight as its share of
/// the slots allows.
auto ShareIsExhausted(const ChoiceInput& aInput, bool aSkipSilent) -> bool
{
  double slots = 0;
  double requests = 0;
  for (const auto& candidate : aInput.candidates) {
    if (!aSkipSilent || !candidate.silent) {
      slots += candidate.slots;
      requests += candidate.busyLoad;
    }
  }
  const double share = slots / static_cast<double>(aInput.balancers);
  const double limit = share + kShareHeadroomDeviations * std::sqrt(share);
  return requests >= std::max(kMinRequestLimit, limit);
}

/// Selects the candidate with the lowest expected cost; breaks ties at random.
class LeastWaitChoice : public FlowChoice
{
public:
  auto Choose(const ChoiceInput& aInput, Random& aRandom)
    -> FlowDecision override
  {
    if (aInput.candidates.empty()) {
      return { std::nullopt, RefusalReason::NoTarget };
    }
    const bool skipSilent = AnyTargetResponds(aInput.candidates);
    FlowDecision decision{ std::nullopt, RefusalReason::Overloaded };
    if (ShareIsExhausted(aInput, skipSilent)) {
      return decision;
    }
    double lowestCost = 0;
    std::uint64_t ties = 0;
    for (std::size_t index = 0; index < aInput.candidates.size(); ++index) {
      const auto& candidate = aInput.candidates[index];
      if ((skipSilent && candidate.silent) || candidate.atFlowLimit ||
          candidate.busyLoad >= candidate.slots * kMaxRequestsPerSlot) {
        continue;
      }
      const auto cost = ExpectedCost(candidate, aInput.expectedLaterRequests);
      if (decision.chosen && cost > lowestCost) {
        continue;
      }
      ties = decision.chosen && cost == lowestCost ? ties + 1 : 1;
      if (ties == 1 || aRandom() % ties == 0) {
        decision = { index, RefusalReason::None };
      }
      lowestCost = cost;
    }
    return decision;
  }
};

/// Selects a random target that is not silent, preferring the local failure
/// domain. Serves as the baseline for comparisons.
class RandomChoice : public FlowChoice
{
public:
  auto Choose(const ChoiceInput& aInput, Random& aRandom)
    -> FlowDecision override
  {
    std::vector<std::size_t> localTargets;
    std::vector<std::size_t> remoteTargets;
    for (std::size_t index = 0; index < aInput.candidates.size(); ++index) {
      const auto& candidate = aInput.candidates[index];
      if (!candidate.silent) {
        (candidate.sameDomain ? localTargets : remoteTargets).push_back(index);
      }
    }
    const auto& eligible = localTargets.empty() ? remoteTargets : localTargets;
    if (eligible.empty()) {
      return { std::nullopt, RefusalReason::NoTarget };
    }
    return { eligible[aRandom() % eligible.size()], RefusalReason::None };
  }
};

const Registration<FlowChoiceRegistry, LeastWaitChoice> kLeastWaitRegistration(
  "least-wait");
const Registration<FlowChoiceRegistry, RandomChoice> kRandomRegistration(
  "random");

} // namespace

} // namespace bramleylock::forward
