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
static constexpr std::uint32_t kLongestRetryAfterMs = 5000;

/// Interval at which the state of unused plans is removed.
static constexpr std::uint64_t kForgetEveryPeriods = 60;

PlanLimits::PlanLimits(std::unique_ptr<AllowanceSharing> aSharing)
  : m_sharing(std::move(aSharing))
  , m_onShort([](const std::string&, std::uint64_t, std::uint64_t) {})
{
}

auto PlanLimits::OnShort(ShortListener aListener) -> void
{
  m_onShort = std::move(aListener);
}

auto PlanLimits::SetView(FleetView aView) -> void
{
  m_nextView = std::move(aView);
  // A smaller view is not applied before the next period; otherwise the share
  // that a failed balancer has already used in this period would be allocated
  // to the others again.
  const bool grows =
    m_nextView.members.size() >= m_view.members.size() &&
    m_nextView.failureDomains.size() >= m_view.failureDomains.size();
  if (grows) {
    Adopt();
  }
}

auto PlanLimits::Adopt() -> void
{
  m_view = m_nextView;
  ++m_viewNumber;
}

auto PlanLimits::EnterPeriod(std::uint64_t aPeriod) -> void
{
  if (m_period == aPeriod) {
    return;
  }
  m_period = aPeriod;
  Adopt();
  if (aPeriod < m_forgottenAt + kForgetEveryPeriods) {
    return;
  }
  m_forgottenAt = aPeriod;
  std::erase_if(m_states, [aPeriod](const auto& aEntry) {
    const auto& state = aEntry.second;
    return state.inFlight == 0 && state.period < aPeriod;
  });
}

auto PlanLimits::RateState(const std::string& aName, const lists::Plan& aPlan,
                           std::uint64_t aNowMs) -> State&
{
  EnterPeriod(aNowMs / kAllowancePeriodMs);
  auto& state = m_states[aName];
  const bool begins = state.period != m_period;
  if (!begins && state.viewNumber == m_viewNumber &&
      state.ratePerSecond == aPlan.ratePerSecond) {
    return state;
  }
  if (begins) {
    const bool follows = state.period + 1 == m_period;
    const auto before = follows ? state.allowance.offered : 0;
    state.allowance = Allowance{};
    state.allowance.offeredBefore = before;
  }
  state.period = m_period;
  state.viewNumber = m_viewNumber;
  state.ratePerSecond = aPlan.ratePerSecond;
  state.allowance.dealt =
    DealtPart(DomainRequests(aName, aPlan), MemberPlace(m_view),
              RotationOf(aName, m_period));
  if (begins) {
    TellShort(aName, state);
  }
  return state;
}

/// The number of requests that this failure domain may start in the current
/// period.
auto PlanLimits::DomainRequests(const std::string& aName,
                                const lists::Plan& aPlan) const -> std::uint64_t
{
  return DealtPart(RequestsInPeriod(aPlan.ratePerSecond, m_period),
                   DomainPlace(aPlan, m_view), RotationOf(aName, m_period));
}

auto PlanLimits::TellShort(const std::string& aName, const State& aState)
  -> void
{
  const auto wanted = m_sharing->Wanted(aState.allowance);
  if (wanted > 0) {
    m_onShort(aName, aState.period, wanted);
  }
}

auto PlanLimits::Give(const std::string& aName, const lists::Plan& aPlan,
                      std::uint64_t aPeriod, std::uint64_t aWanted,
                      std::uint64_t aNowMs) -> std::uint64_t
{
  auto& state = RateState(aName, aPlan, aNowMs);
  if (state.period != aPeriod) {
    return 0;
  }
  const auto granted = std::min(aWanted, m_sharing->Spare(state.allowance));
  state.allowance.given += granted;
  return granted;
}

auto PlanLimits::Receive(const std::string& aName, const lists::Plan& aPlan,
                         std::uint64_t aPeriod, std::uint64_t aGranted,
                         std::uint64_t aNowMs) -> void
{
  auto& state = RateState(aName, aPlan, aNowMs);
  if (state.period == aPeriod) {
    state.allowance.received += aGranted;
  }
}

auto PlanLimits::Holders(const std::string& aName,
                         const lists::Plan& aPlan) const
  -> std::vector<std::string>
{
  const auto ofDomain = DomainRequests(aName, aPlan);
  const auto rotation = RotationOf(aName, m_period);
  const auto& members = m_view.members;
  std::vector<std::string> holders;
  for (std::size_t i = 0; i < members.size(); ++i) {
    const auto part = DealtPart(ofDomain, { i, members.size() }, rotation);
    if (part > 0 && members[i] != m_view.self) {
      holders.push_back(members[i]);
    }
  }
  return holders;
}

/// This balancer's share of the plan's concurrency limit. It does not change
/// from period to period, because requests can outlast a period.
auto PlanLimits::Slots(const std::string& aName, const lists::Plan& aPlan) const
  -> std::uint64_t
{
  const auto rotation = RotationOf(aName, 0);
  const auto ofDomain =
    DealtPart(aPlan.concurrency, DomainPlace(aPlan, m_view), rotation);
  return DealtPart(ofDomain, MemberPlace(m_view), rotation);
}

/// The time until the next period. It is longer if the plan's limit is so small
/// that most balancers are allocated nothing in most periods.
auto PlanLimits::RateRetryAfterMs(const lists::Plan& aPlan,
                                  std::uint64_t aNowMs) const -> std::uint32_t
{
  const auto left = kAllowancePeriodMs - aNowMs % kAllowancePeriodMs;
  const auto domains = std::max<std::size_t>(1, m_view.failureDomains.size());
  const auto balancers = static_cast<double>(
    domains * std::max<std::size_t>(1, m_view.members.size()));
  const double perPeriod = aPlan.ratePerSecond * kAllowancePeriodMs / 1000;
  const double periods = std::max(0.0, balancers / perPeriod - 1);
  const double pause = static_cast<double>(left) + periods * kAllowancePeriodMs;
  return static_cast<std::uint32_t>(
    std::min<double>(pause, kLongestRetryAfterMs));
}

auto PlanLimits::Decide(const std::string& aName, const lists::Plan& aPlan,
                        std::uint64_t aNowMs) -> Refusal
{
  if (aPlan.concurrency > 0) {
    EnterPeriod(aNowMs / kAllowancePeriodMs);
    if (InFlight(aName) >= Slots(aName, aPlan)) {
      return { Reason::PlanConcurrency, kConcurrencyRetryAfterMs };
    }
  }
  if (aPlan.ratePerSecond > 0) {
    if (RateState(aName, aPlan, aNowMs).allowance.Left() == 0) {
      return { Reason::PlanRate, RateRetryAfterMs(aPlan, aNowMs) };
    }
  }
  return {};
}

/// Counts a request refused for its rate as offered, also when the caller of
/// this function only checks.
auto PlanLimits::Check(const std::string& aName, const lists::Plan& aPlan,
                       std::uint64_t aNowMs) -> Refusal
{
  const auto refusal = Decide(aName, aPlan, aNowMs);
  if (refusal.reason == Reason::PlanRate) {
    auto& state = RateState(aName, aPlan, aNowMs);
    ++state.allowance.offered;
    TellShort(aName, state);
  }
  return refusal;
}

auto PlanLimits::Take(const std::string& aName, const lists::Plan& aPlan,
                      std::uint64_t aNowMs) -> Refusal
{
  const auto refusal = Check(aName, aPlan, aNowMs);
  if (refusal.reason == Reason::None && aPlan.ratePerSecond > 0) {
    auto& allowance = RateState(aName, aPlan, aNowMs).allowance;
    ++allowance.offered;
    ++allowance.used;
  }
  return refusal;
}

auto PlanLimits::Begin(const std::string& aName) -> void
{
  ++m_states[aName].inFlight;
}

auto PlanLimits::End(const std::string& aName) -> void
{
  auto& state = m_states[aName];
  assert(state.inFlight > 0 && "End() without a matching Begin()");
  --state.inFlight;
}

auto PlanLimits::InFlight(const std::string& aName) const -> std::uint32_t
{
  const auto found = m_states.find(aName);
  return found == m_states.end() ? 0 : found->second.inFlight;
}

} // namespace bramleylock::admission
