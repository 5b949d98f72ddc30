// The limits of plans over the whole fleet, held on each balancer by its share.
#pragma once

#include <map>
#include <string>

#include "bramleylock/Admission/AdmissionPolicy.h"
#include "bramleylock/Admission/AllowanceDeal.h"

namespace bramleylock::admission {

/// Decides whether a plan may start one more request here. Nobody is asked for
/// a request; a refusal is final.
class PlanLimits
{
public:
  /// Sets who shares the limits. More sharers count at once, fewer from the
  /// next period on.
  auto SetView(FleetView aView) -> void;

  /// Whether a request of aName would be refused now; takes nothing.
  auto Check(const std::string& aName, const lists::Plan& aPlan,
             std::uint64_t aNowMs) -> Refusal;

  /// Takes the allowance for one request, or refuses it.
  auto Take(const std::string& aName, const lists::Plan& aPlan,
            std::uint64_t aNowMs) -> Refusal;

  /// Counts a request of aName in flight, also one that nobody asked for here,
  /// as flows that are taken over bring them.
  auto Begin(const std::string& aName) -> void;
  auto End(const std::string& aName) -> void;

  auto InFlight(const std::string& aName) const -> std::uint32_t;

private:
  struct State
  {
    std::uint64_t period = 0;
    /// What dealt was computed for.
    std::uint64_t viewNumber = 0;
    double ratePerSecond = 0;
    std::uint64_t dealt = 0;
    std::uint64_t used = 0;
    std::uint32_t inFlight = 0;
  };

  auto Adopt() -> void;
  auto EnterPeriod(std::uint64_t aPeriod) -> void;
  auto RateState(const std::string& aName, const lists::Plan& aPlan,
                 std::uint64_t aNowMs) -> State&;
  auto Slots(const std::string& aName, const lists::Plan& aPlan) const
    -> std::uint64_t;
  auto RateRetryAfterMs(const lists::Plan& aPlan, std::uint64_t aNowMs) const
    -> std::uint32_t;

  FleetView m_view;
  std::uint64_t m_viewNumber = 0;
  FleetView m_nextView;
  std::uint64_t m_period = 0;
  std::uint64_t m_forgottenAt = 0;
  std::map<std::string, State> m_states;
};

} // namespace bramleylock::admission
