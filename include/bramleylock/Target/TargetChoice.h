// The interface of strategies that choose a target among candidates.
#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "bramleylock/Support/Random.h"
#include "bramleylock/Support/Registry.h"

namespace bramleylock::target {

/// The properties of one candidate that a strategy may use.
struct Candidate
{
  /// This balancer's requests in flight at the target.
  std::uint32_t inFlight = 0;
  /// The peers' requests in flight at the target, as last reported by them.
  std::uint32_t peersInFlight = 0;
  std::uint32_t slots = 1;
  /// The fraction of its full share of work that the target gets; see
  /// FitnessOf.
  double fitness = 1;
  /// Whether the target is in this balancer's failure domain.
  bool inOwnDomain = false;
  /// The fraction of this balancer's work that the target should get; the
  /// shares of all candidates sum to 1.
  double share = 0;
  /// The number of requests by which the target has received less than its
  /// share; negative if it has received more.
  double credit = 0;
  /// Slots of the target that are reserved for this balancer.
  std::uint32_t ownSlots = 0;
};

/// A strategy that chooses one of several candidates.
class TargetChoice
{
public:
  virtual ~TargetChoice() = default;

  /// Returns the index of the chosen candidate. aCandidates must not be empty.
  virtual auto Pick(const std::vector<Candidate>& aCandidates, Random& aRandom)
    -> std::size_t = 0;
};

using ChoiceRegistry = Registry<TargetChoice>;

} // namespace bramleylock::target
