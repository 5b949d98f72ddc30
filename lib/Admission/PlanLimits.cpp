// Shares of the plans' limits, and what is used of them.

#include "bramleylock/Admission/PlanLimits.h"

#include <algorithm>
#include <cassert>

namespace bramleylock::admission {

using wire::Reason;

/// A slot of a plan comes free when one of its requests ends.
static constexpr std::uint32_t kConcurrencyRetryAfterMs = 250;

/// The longest that a refused caller is kept away.
static constexpr std::uint32_t kLongestRetryAfterMs = 5000;

/// How often plans that were not used are forgotten.
static constexpr std::uint64_t kForgetEveryPeriods = 60;

auto PlanLimits::SetView(FleetView aView) -> void
{
  m_nextView = std::move(aView);
  // A smaller fleet waits, so that what a lost balancer has used of its share
  // is not dealt to the others within the period.
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
    state.used = 0;
  }
  state.period = m_period;
  state.viewNumber = m_viewNumber;
  state.ratePerSecond = aPlan.ratePerSecond;
  const auto rotation = RotationOf(aName, m_period);
  const auto ofDomain =
    DealtPart(RequestsInPeriod(aPlan.ratePerSecond, m_period),
              DomainPlace(aPlan, m_view), rotation);
  state.dealt = DealtPart(ofDomain, MemberPlace(m_view), rotation);
  return state;
}

/// The share of the plan's concurrency. It is not dealt anew in each period,
/// because requests outlast a period.
auto PlanLimits::Slots(const std::string& aName, const lists::Plan& aPlan) const
  -> std::uint64_t
{
  const auto rotation = RotationOf(aName, 0);
  const auto ofDomain =
    DealtPart(aPlan.concurrency, DomainPlace(aPlan, m_view), rotation);
  return DealtPart(ofDomain, MemberPlace(m_view), rotation);
}

/// The time until the next period; longer when the plan's share is so small
/// that most balancers have nothing in most periods.
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

auto PlanLimits::Check(const std::string& aName, const lists::Plan& aPlan,
                       std::uint64_t aNowMs) -> Refusal
{
  if (aPlan.concurrency > 0) {
    EnterPeriod(aNowMs / kAllowancePeriodMs);
    if (InFlight(aName) >= Slots(aName, aPlan)) {
      return { Reason::PlanConcurrency, kConcurrencyRetryAfterMs };
    }
  }
  if (aPlan.ratePerSecond > 0) {
    const auto& state = RateState(aName, aPlan, aNowMs);
    if (state.used >= state.dealt) {
      return { Reason::PlanRate, RateRetryAfterMs(aPlan, aNowMs) };
    }
  }
  return {};
}

auto PlanLimits::Take(const std::string& aName, const lists::Plan& aPlan,
                      std::uint64_t aNowMs) -> Refusal
{
  const auto refusal = Check(aName, aPlan, aNowMs);
  if (refusal.reason == Reason::None && aPlan.ratePerSecond > 0) {
    ++RateState(aName, aPlan, aNowMs).used;
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
  assert(state.inFlight > 0 && "every end has its beginning");
  --state.inFlight;
}

auto PlanLimits::InFlight(const std::string& aName) const -> std::uint32_t
{
  const auto found = m_states.find(aName);
  return found == m_states.end() ? 0 : found->second.inFlight;
}

} // namespace bramleylock::admission
