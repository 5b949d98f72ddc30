// Computes this balancer's shares of the plan limits and tracks their use.

#include "bramleylock/Admission/PlanLimits.h"

#include <algorithm>
#include <cassert>

namespace bramleylock::admission {

using wire::Reason;

/// Retry delay after a concurrency refusal; a slot of a plan is freed when one
/// of its requests ends.
static constexpr std::uint32_t kConcurrencyRetryAfterMs = 250;

/// Upper bound of the retry delay returned to a refused caller.
static constexpr std::uint32_t kMaxRetryAfterMs = 5000;

/// Interval at which the state of unused plans is removed.
static constexpr std::uint64_t kCleanupIntervalPeriods = 60;

PlanLimits::PlanLimits(std::unique_ptr<AllowanceSharing> aSharing)
  : m_sharing(std::move(aSharing))
  , m_onShortfall([](const std::string&, std::uint64_t, std::uint64_t) {})
{
}

auto PlanLimits::SetShortfallHandler(ShortfallHandler aHandler) -> void
{
  m_onShortfall = std::move(aHandler);
}

auto PlanLimits::SetFleetView(FleetView aView) -> void
{
  m_nextView = std::move(aView);
  // A smaller view is not applied before the next period; otherwise the share
  // that a failed balancer has already used in this period would be allocated
  // to the others again.
  const bool isNotSmaller =
    m_nextView.members.size() >= m_view.members.size() &&
    m_nextView.failureDomains.size() >= m_view.failureDomains.size();
  if (isNotSmaller) {
    ApplyNextView();
  }
}

auto PlanLimits::ApplyNextView() -> void
{
  m_view = m_nextView;
  ++m_viewVersion;
}

auto PlanLimits::AdvanceToPeriod(std::uint64_t aPeriod) -> void
{
  if (m_period == aPeriod) {
    return;
  }
  m_period = aPeriod;
  ApplyNextView();
  if (aPeriod < m_lastCleanupPeriod + kCleanupIntervalPeriods) {
    return;
  }
  m_lastCleanupPeriod = aPeriod;
  std::erase_if(m_planStates, [aPeriod](const auto& aEntry) {
    const auto& state = aEntry.second;
    return state.inFlight == 0 && state.period < aPeriod;
  });
}

auto PlanLimits::RefreshRateState(const std::string& aPlanName,
                                  const lists::Plan& aPlan,
                                  std::uint64_t aNowMs) -> PlanState&
{
  AdvanceToPeriod(aNowMs / kAllowancePeriodMs);
  auto& state = m_planStates[aPlanName];
  const bool isNewPeriod = state.period != m_period;
  if (!isNewPeriod && state.viewVersion == m_viewVersion &&
      state.ratePerSecond == aPlan.ratePerSecond) {
    return state;
  }
  if (isNewPeriod) {
    const bool isConsecutive = state.period + 1 == m_period;
    const auto previouslyOffered = isConsecutive ? state.allowance.offered : 0;
    state.allowance = Allowance{};
    state.allowance.offeredInPreviousPeriod = previouslyOffered;
  }
  state.period = m_period;
  state.viewVersion = m_viewVersion;
  state.ratePerSecond = aPlan.ratePerSecond;
  state.allowance.allocated =
    IntegerShare(DomainAllowance(aPlanName, aPlan), MemberShareIndex(m_view),
                 AllocationRotation(aPlanName, m_period));
  if (isNewPeriod) {
    ReportShortfall(aPlanName, state);
  }
  return state;
}

/// The number of requests that this failure domain may start in the current
/// period.
auto PlanLimits::DomainAllowance(const std::string& aPlanName,
                                 const lists::Plan& aPlan) const
  -> std::uint64_t
{
  return IntegerShare(RequestsInPeriod(aPlan.ratePerSecond, m_period),
                      DomainShareIndex(aPlan, m_view),
                      AllocationRotation(aPlanName, m_period));
}

auto PlanLimits::ReportShortfall(const std::string& aPlanName,
                                 const PlanState& aState) -> void
{
  const auto wanted = m_sharing->Shortfall(aState.allowance);
  if (wanted > 0) {
    m_onShortfall(aPlanName, aState.period, wanted);
  }
}

auto PlanLimits::GrantToPeer(const std::string& aPlanName,
                             const lists::Plan& aPlan, std::uint64_t aPeriod,
                             std::uint64_t aWanted, std::uint64_t aNowMs)
  -> std::uint64_t
{
  auto& state = RefreshRateState(aPlanName, aPlan, aNowMs);
  if (state.period != aPeriod) {
    return 0;
  }
  const auto granted = std::min(aWanted, m_sharing->Surplus(state.allowance));
  state.allowance.granted += granted;
  return granted;
}

auto PlanLimits::AddGrant(const std::string& aPlanName,
                          const lists::Plan& aPlan, std::uint64_t aPeriod,
                          std::uint64_t aGranted, std::uint64_t aNowMs) -> void
{
  auto& state = RefreshRateState(aPlanName, aPlan, aNowMs);
  if (state.period == aPeriod) {
    state.allowance.received += aGranted;
  }
}

auto PlanLimits::PeersWithAllowance(const std::string& aPlanName,
                                    const lists::Plan& aPlan) const
  -> std::vector<std::string>
{
  const auto domainShare = DomainAllowance(aPlanName, aPlan);
  const auto rotation = AllocationRotation(aPlanName, m_period);
  const auto& members = m_view.members;
  std::vector<std::string> peers;
  for (std::size_t i = 0; i < members.size(); ++i) {
    const auto share =
      IntegerShare(domainShare, { i, members.size() }, rotation);
    if (share > 0 && members[i] != m_view.self) {
      peers.push_back(members[i]);
    }
  }
  return peers;
}

/// This balancer's share of the plan's concurrency limit. It does not change
/// from period to period, because requests can outlast a period.
auto PlanLimits::ConcurrencyShare(const std::string& aPlanName,
                                  const lists::Plan& aPlan) const
  -> std::uint64_t
{
  const auto rotation = AllocationRotation(aPlanName, 0);
  const auto domainShare =
    IntegerShare(aPlan.concurrency, DomainShareIndex(aPlan, m_view), rotation);
  return IntegerShare(domainShare, MemberShareIndex(m_view), rotation);
}

/// The time until the next period. It is longer if the plan's limit is so small
/// that most balancers are allocated nothing in most periods.
auto PlanLimits::RateRetryAfterMs(const lists::Plan& aPlan,
                                  std::uint64_t aNowMs) const -> std::uint32_t
{
  const auto remainingMs = kAllowancePeriodMs - aNowMs % kAllowancePeriodMs;
  const auto domains = std::max<std::size_t>(1, m_view.failureDomains.size());
  const auto balancers = static_cast<double>(
    domains * std::max<std::size_t>(1, m_view.members.size()));
  const double requestsPerPeriod =
    aPlan.ratePerSecond * kAllowancePeriodMs / 1000;
  const double additionalPeriods =
    std::max(0.0, balancers / requestsPerPeriod - 1);
  const double delayMs =
    static_cast<double>(remainingMs) + additionalPeriods * kAllowancePeriodMs;
  return static_cast<std::uint32_t>(
    std::min<double>(delayMs, kMaxRetryAfterMs));
}

auto PlanLimits::Evaluate(const std::string& aPlanName,
                          const lists::Plan& aPlan, std::uint64_t aNowMs)
  -> Refusal
{
  if (aPlan.concurrency > 0) {
    AdvanceToPeriod(aNowMs / kAllowancePeriodMs);
    if (InFlight(aPlanName) >= ConcurrencyShare(aPlanName, aPlan)) {
      return { Reason::PlanConcurrency, kConcurrencyRetryAfterMs };
    }
  }
  if (aPlan.ratePerSecond > 0) {
    if (RefreshRateState(aPlanName, aPlan, aNowMs).allowance.Remaining() == 0) {
      return { Reason::PlanRate, RateRetryAfterMs(aPlan, aNowMs) };
    }
  }
  return {};
}

/// Counts a request refused for its rate as offered, also when the caller of
/// this function only checks.
auto PlanLimits::Check(const std::string& aPlanName, const lists::Plan& aPlan,
                       std::uint64_t aNowMs) -> Refusal
{
  const auto refusal = Evaluate(aPlanName, aPlan, aNowMs);
  if (refusal.reason == Reason::PlanRate) {
    auto& state = RefreshRateState(aPlanName, aPlan, aNowMs);
    ++state.allowance.offered;
    ReportShortfall(aPlanName, state);
  }
  return refusal;
}

auto PlanLimits::Consume(const std::string& aPlanName, const lists::Plan& aPlan,
                         std::uint64_t aNowMs) -> Refusal
{
  const auto refusal = Check(aPlanName, aPlan, aNowMs);
  if (refusal.reason == Reason::None && aPlan.ratePerSecond > 0) {
    auto& allowance = RefreshRateState(aPlanName, aPlan, aNowMs).allowance;
    ++allowance.offered;
    ++allowance.used;
  }
  return refusal;
}

auto PlanLimits::BeginRequest(const std::string& aPlanName) -> void
{
  ++m_planStates[aPlanName].inFlight;
}

auto PlanLimits::EndRequest(const std::string& aPlanName) -> void
{
  auto& state = m_planStates[aPlanName];
  assert(state.inFlight > 0 &&
         "EndRequest() without a matching BeginRequest()");
  --state.inFlight;
}

auto PlanLimits::InFlight(const std::string& aPlanName) const -> std::uint32_t
{
  const auto found = m_planStates.find(aPlanName);
  return found == m_planStates.end() ? 0 : found->second.inFlight;
}

} // namespace bramleylock::admission
