// Which target a new flow goes to, and when none can serve it. Nothing here
// knows sockets or clocks.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "bramleylock/Support/Names.h"
#include "bramleylock/Support/Random.h"
#include "bramleylock/Support/Registry.h"

namespace bramleylock::forward {

/// One target as the choice sees it.
struct Candidate
{
  std::uint32_t slots = 1;
  /// Requests of this balancer's flows that wait for an answer.
  std::uint32_t inFlight = 0;
  /// Slots that this balancer's idle flows take on average.
  double idleLoad = 0;
  /// It holds as many flows as it may.
  bool full = false;
  bool sameDomain = true;
  /// Still slow after its start.
  bool cold = false;
  /// Flows were opened to it and none was answered for too long.
  bool silent = false;
};

enum class RefusalReason
{
  None,
  NoTarget,
  /// The targets have more than they can work on soon.
  Busy
};

inline constexpr std::array<NameRow<RefusalReason>, 3> kRefusalReasonNames{ {
  { RefusalReason::None, "none" },
  { RefusalReason::NoTarget, "no-target" },
  { RefusalReason::Busy, "busy" },
} };

/// What a choice is made from.
struct ChoiceInput
{
  std::vector<Candidate> candidates;
  /// Balancers that share the targets, this one too.
  std::size_t balancers = 1;
  /// Requests that the new flow is expected to carry after its first.
  double laterRequests = 0;
};

/// The index of the chosen candidate, or why there is none.
struct FlowDecision
{
  std::optional<std::size_t> chosen;
  RefusalReason refusal = RefusalReason::None;
};

/// Chooses among the targets of one service.
class FlowChoice
{
public:
  virtual ~FlowChoice() = default;

  virtual auto Choose(const ChoiceInput& aInput, Random& aRandom)
    -> FlowDecision = 0;
};

using FlowChoiceRegistry = Registry<FlowChoice>;

} // namespace bramleylock::forward
