// Strategies that choose a target among candidates.
#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "bramleylock/Support/Random.h"
#include "bramleylock/Support/Registry.h"

namespace bramleylock::target {

/// What a strategy knows of one candidate.
struct Candidate
{
  /// Requests that this balancer has in flight there.
  std::uint32_t inFlight = 0;
  /// Requests that peers last said they have in flight there.
  std::uint32_t peersInFlight = 0;
  std::uint32_t slots = 1;
  /// 1 for a target that can take its full part of the work, less while it
  /// starts or after it has shed load.
  double fitness = 1;
  /// Whether it stands in this balancer's failure domain.
  bool near = false;
  /// The part of this balancer's work that should go there; the parts of all
  /// candidates sum to 1.
  double share = 0;
  /// Requests that it is behind its share; negative when it is ahead.
  double credit = 0;
  /// Slots there that no other balancer counts as its own.
  std::uint32_t ownSlots = 0;
};

/// Chooses one of some candidates.
class TargetChoice
{
public:
  virtual ~TargetChoice() = default;

  /// The index of the choice; aCandidates is not empty.
  virtual auto Pick(const std::vector<Candidate>& aCandidates, Random& aRandom)
    -> std::size_t = 0;
};

using ChoiceRegistry = Registry<TargetChoice>;

} // namespace bramleylock::target
