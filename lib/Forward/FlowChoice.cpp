// Ways of choosing a target for a new flow.

#include "bramleylock/Forward/FlowChoice.h"

#include <algorithm>
#include <cmath>

namespace bramleylock::forward {

/// A cold target works this much longer on a request (the platform's hosts
/// take 1.6 times as long in their first seconds).
static constexpr double kColdFactor = 1.6;

/// Cost of leaving the failure domain, in mean service times: it takes two
/// milliseconds more, and bytes between domains are paid for.
static constexpr double kOtherDomainCost = 0.5;

/// Cost of a target whose slots are all taken but one, in mean service times:
/// the chance that another balancer sends a request there meanwhile.
static constexpr double kLoadCost = 0.25;

/// A target with this many requests for each slot makes the next one wait for a
/// whole service time; it waits better here, where the order can still change
/// and any target that gets free can take it.
static constexpr std::uint32_t kRequestsPerSlot = 2;

/// A balancer has its share of the slots full when it has as many requests as
/// the share has slots, and this many standard deviations of its random load
/// more; beyond that the targets are crowded even if those that it knows look
/// free.
static constexpr double kSpareDeviations = 3;
static constexpr double kLeastShare = 4;

namespace {

/// Where all are silent the fault is taken to be on this side, and silence says
/// nothing about any of them. Most of them may well be out of reach: all of the
/// other failure domains, when this one is cut off.
auto SilenceCounts(const std::vector<Candidate>& aCandidates) -> bool
{
  return std::any_of(
    aCandidates.begin(), aCandidates.end(),
    [](const Candidate& aCandidate) { return !aCandidate.silent; });
}

/// Expected time until one more request is done, in mean service times of a
/// warm target, and the cost of going there.
auto CostOf(const Candidate& aCandidate, double aLaterRequests) -> double
{
  const double slots = std::max<std::uint32_t>(aCandidate.slots, 1);
  const double requests = aCandidate.inFlight + aCandidate.idleLoad;
  const double work = aCandidate.cold ? kColdFactor : 1.0;
  const double wait = std::max(0.0, requests + 1 - slots) / slots * work;
  // Among targets with a free slot the emptier one is safer, as some flows of
  // other balancers are not known here yet.
  const double load = kLoadCost * requests / slots;
  // The later requests of the flow meet what the idle flows bring then, not
  // what is at work now.
  const double later = kLoadCost * aLaterRequests * aCandidate.idleLoad / slots;
  return wait + work + load + later +
         (aCandidate.sameDomain ? 0 : kOtherDomainCost);
}

/// Whether this balancer has as many requests in flight as its share allows.
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

/// The least cost; equal ones by chance.
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

/// Any target that is not silent, those of the own failure domain first; the
/// baseline that others are measured against.
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
