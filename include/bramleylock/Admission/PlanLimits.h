// The limits of plans over the whole fleet, held on each balancer by its share.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "bramleylock/Admission/AdmissionPolicy.h"
#include "bramleylock/Admission/AllowanceDeal.h"
#include "bramleylock/Admission/AllowanceSharing.h"

namespace bramleylock::admission {

/// Told that aWanted requests' allowance of a plan is short in a period.
using ShortListener = std::function<void(
  const std::string& aName, std::uint64_t aPeriod, std::uint64_t aWanted)>;

/// Decides whether a plan may start one more request here. Nobody is asked for
/// a request; a refusal is final.
class PlanLimits
{
public:
  explicit PlanLimits(std::unique_ptr<AllowanceSharing> aSharing);

  auto OnShort(ShortListener aListener) -> void;

  /// Takes up to aWanted off the own allowance for a peer, and says how much. A
  /// grant that is lost is lost to all; it is never used twice.
  auto Give(const std::string& aName, const lists::Plan& aPlan,
            std::uint64_t aPeriod, std::uint64_t aWanted, std::uint64_t aNowMs)
    -> std::uint64_t;

  /// Adds what a peer gave; nothing when its period is over.
  auto Receive(const std::string& aName, const lists::Plan& aPlan,
               std::uint64_t aPeriod, std::uint64_t aGranted,
               std::uint64_t aNowMs) -> void;

  /// Other balancers of the failure domain that are dealt allowance of aPlan in
  /// the current period.
  auto Holders(const std::string& aName, const lists::Plan& aPlan) const
    -> std::vector<std::string>;

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
    /// What the dealt allowance was computed for.
    std::uint64_t viewNumber = 0;
    double ratePerSecond = 0;
    Allowance allowance;
    std::uint32_t inFlight = 0;
  };

  auto Adopt() -> void;
  auto EnterPeriod(std::uint64_t aPeriod) -> void;
  auto RateState(const std::string& aName, const lists::Plan& aPlan,
                 std::uint64_t aNowMs) -> State&;
  auto Slots(const std::string& aName, const lists::Plan& aPlan) const
    -> std::uint64_t;
  auto DomainRequests(const std::string& aName, const lists::Plan& aPlan) const
    -> std::uint64_t;
  auto Decide(const std::string& aName, const lists::Plan& aPlan,
              std::uint64_t aNowMs) -> Refusal;
  auto TellShort(const std::string& aName, const State& aState) -> void;
  auto RateRetryAfterMs(const lists::Plan& aPlan, std::uint64_t aNowMs) const
    -> std::uint32_t;

  std::unique_ptr<AllowanceSharing> m_sharing;
  ShortListener m_onShort;
  FleetView m_view;
  std::uint64_t m_viewNumber = 0;
  FleetView m_nextView;
  std::uint64_t m_period = 0;
  std::uint64_t m_forgottenAt = 0;
  std::map<std::string, State> m_states;
};

} // namespace bramleylock::admission
