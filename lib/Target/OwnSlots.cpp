// A target choice that avoids conflicts between balancers under high load.

#include "bramleylock/Target/TargetChoice.h"

namespace bramleylock::target {

namespace {

/// Takes the least loaded target at which a slot reserved for this balancer is
/// free. The peers' counts are ignored: they are up to one heartbeat old, and
/// balancers that follow the same stale counts would all choose the same
/// target. No other balancer uses the reserved slots as its own.
class OwnSlots : public TargetChoice
{
public:
  auto Pick(const std::vector<Candidate>& aCandidates, Random& aRandom)
    -> std::size_t override
  {
    const auto start = aRandom() % aCandidates.size();
    std::size_t best = aCandidates.size();
    for (std::size_t i = 0; i < aCandidates.size(); ++i) {
      const auto index = (start + i) % aCandidates.size();
      const bool hasFreeSlot = FreeSlots(aCandidates[index]) > 0;
      if (hasFreeSlot &&
          (best == aCandidates.size() ||
           OwnLoad(aCandidates[index]) < OwnLoad(aCandidates[best]))) {
        best = index;
      }
    }
    return best < aCandidates.size() ? best : LeastLoadedOf(aCandidates, start);
  }

private:
  static auto FreeSlots(const Candidate& aCandidate) -> std::int64_t
  {
    return std::int64_t{ aCandidate.ownSlots } - aCandidate.inFlight;
  }

  static auto OwnLoad(const Candidate& aCandidate) -> double
  {
    return (aCandidate.inFlight + 1) / (aCandidate.slots * aCandidate.fitness);
  }

  /// The target with the least load by this balancer, for use when no reserved
  /// slot is free. The random aStart breaks ties.
  static auto LeastLoadedOf(const std::vector<Candidate>& aCandidates,
                            std::size_t aStart) -> std::size_t
  {
    auto best = aStart;
    for (std::size_t i = 1; i < aCandidates.size(); ++i) {
      const auto index = (aStart + i) % aCandidates.size();
      if (OwnLoad(aCandidates[index]) < OwnLoad(aCandidates[best])) {
        best = index;
      }
    }
    return best;
  }
};

const Registration<ChoiceRegistry, OwnSlots> kOwnSlots("own-slots");

} // namespace

} // namespace bramleylock::target
