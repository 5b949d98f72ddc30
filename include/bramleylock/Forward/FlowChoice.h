// Selects the target of a new flow. Independent of sockets and clocks.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "bramleylock/Support/Names.h"
#include "bramleylock/Support/Random.h"
#include "bramleylock/Support/Registry.h"

namespace bramleylock::forward {

/// A target as seen by the selection policy.
struct Candidate
{
  std::uint32_t slots = 1;
  /// Expected number of slots used by the requests on this balancer's flows
  /// that have no response yet.
  double busyLoad = 0;
  /// Mean number of slots used by this balancer's idle flows.
  double idleLoad = 0;
  /// The target has reached this balancer's limit of open flows.
  bool atFlowLimit = false;
  bool sameDomain = true;
  /// How many times as long as usual the target takes for a request.
  double slowness = 1;
  /// The target did not respond to newly opened flows in time.
  bool silent = false;
};

enum class RefusalReason
{
  None,
  NoTarget,
  /// All targets are in failure domains that the operators evacuate.
  Evacuated,
  /// All targets are warming up and get as many requests as they bear.
  WarmingUp,
  /// The targets are saturated; new work would wait too long.
  Overloaded
};

inline constexpr std::array<NameRow<RefusalReason>, 5> kRefusalReasonNames{ {
  { RefusalReason::None, "none" },
  { RefusalReason::NoTarget, "no-target" },
  { RefusalReason::Evacuated, "evacuated" },
  { RefusalReason::WarmingUp, "warming-up" },
  { RefusalReason::Overloaded, "busy" },
} };

/// Input of one target selection.
struct ChoiceInput
{
  std::vector<Candidate> candidates;
  /// Number of balancers that share the targets, including this one.
  std::size_t balancers = 1;
  /// Expected number of requests on the new flow after its first one.
  double expectedLaterRequests = 0;
};

/// The index of the selected candidate, or the reason for the refusal.
struct FlowDecision
{
  std::optional<std::size_t> chosen;
  RefusalReason refusal = RefusalReason::None;
};

/// Policy that selects one of the targets of a service.
class FlowChoice
{
public:
  virtual ~FlowChoice() = default;

  virtual auto Choose(const ChoiceInput& aInput, Random& aRandom)
    -> FlowDecision = 0;
};

using FlowChoiceRegistry = Registry<FlowChoice>;

} // namespace bramleylock::forward
