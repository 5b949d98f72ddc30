// Enforcement of fleet-wide plan limits by the share of each balancer.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "bramleylock/Admission/AdmissionPolicy.h"
#include "bramleylock/Admission/AllowanceAllocation.h"
#include "bramleylock/Admission/AllowanceSharing.h"

namespace bramleylock::admission {

/// Called when a balancer lacks the allowance for aWanted requests of a plan in
/// a period.
using ShortfallHandler = std::function<void(
  const std::string& aPlanName, std::uint64_t aPeriod, std::uint64_t aWanted)>;

/// Decides whether a plan may start one more request on this balancer. The
/// decision is local, without a message to a peer, and a refusal is final.
class PlanLimits
{
public:
  explicit PlanLimits(std::unique_ptr<AllowanceSharing> aSharing);

  auto SetShortfallHandler(ShortfallHandler aHandler) -> void;

  /// Deducts up to aWanted from the own allowance for a peer and returns the
  /// amount. If the grant is lost on the way, no balancer can use it; this
  /// rules out that allowance is used twice.
  auto GrantToPeer(const std::string& aPlanName, const lists::Plan& aPlan,
                   std::uint64_t aPeriod, std::uint64_t aWanted,
                   std::uint64_t aNowMs) -> std::uint64_t;

  /// Adds the allowance that a peer granted. Does nothing if aPeriod is not the
  /// current period.
  auto AddGrant(const std::string& aPlanName, const lists::Plan& aPlan,
                std::uint64_t aPeriod, std::uint64_t aGranted,
                std::uint64_t aNowMs) -> void;

  /// The other balancers of the failure domain that are allocated allowance of
  /// aPlan in the current period.
  auto PeersWithAllowance(const std::string& aPlanName,
                          const lists::Plan& aPlan) const
    -> std::vector<std::string>;

  /// Sets which balancers share the limits. A view that is not smaller applies
  /// immediately, a smaller one from the next period on.
  auto SetFleetView(FleetView aView) -> void;

  /// Checks whether a request of aPlanName would be refused now, without using
  /// allowance.
  auto Check(const std::string& aPlanName, const lists::Plan& aPlan,
             std::uint64_t aNowMs) -> Refusal;

  /// Uses the allowance for one request, or refuses the request.
  auto Consume(const std::string& aPlanName, const lists::Plan& aPlan,
               std::uint64_t aNowMs) -> Refusal;

  /// Adds a request of aPlanName to those in flight. This includes requests
  /// that were admitted by another balancer and came with a flow taken over
  /// from it.
  auto BeginRequest(const std::string& aPlanName) -> void;
  auto EndRequest(const std::string& aPlanName) -> void;

  auto InFlight(const std::string& aPlanName) const -> std::uint32_t;

private:
  struct PlanState
  {
    std::uint64_t period = 0;
    /// The inputs that the allocated allowance was computed from.
    std::uint64_t viewVersion = 0;
    double ratePerSecond = 0;
    Allowance allowance;
    std::uint32_t inFlight = 0;
  };

  auto ApplyNextView() -> void;
  auto AdvanceToPeriod(std::uint64_t aPeriod) -> void;
  auto RefreshRateState(const std::string& aPlanName, const lists::Plan& aPlan,
                        std::uint64_t aNowMs) -> PlanState&;
  auto ConcurrencyShare(const std::string& aPlanName,
                        const lists::Plan& aPlan) const -> std::uint64_t;
  auto DomainAllowance(const std::string& aPlanName,
                       const lists::Plan& aPlan) const -> std::uint64_t;
  auto Evaluate(const std::string& aPlanName, const lists::Plan& aPlan,
                std::uint64_t aNowMs) -> Refusal;
  auto ReportShortfall(const std::string& aPlanName, const PlanState& aState)
    -> void;
  auto RateRetryAfterMs(const lists::Plan& aPlan, std::uint64_t aNowMs) const
    -> std::uint32_t;

  std::unique_ptr<AllowanceSharing> m_sharing;
  ShortfallHandler m_onShortfall;
  FleetView m_view;
  std::uint64_t m_viewVersion = 0;
  FleetView m_nextView;
  std::uint64_t m_period = 0;
  std::uint64_t m_lastCleanupPeriod = 0;
  std::map<std::string, PlanState> m_planStates;
};

} // namespace bramleylock::admission
