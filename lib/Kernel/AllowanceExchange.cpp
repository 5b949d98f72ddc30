// Requests and grants of allowance.

#include "bramleylock/Kernel/AllowanceExchange.h"

#include "bramleylock/Support/Random.h"

#include <algorithm>
#include <limits>

namespace bramleylock::kernel {

using wire::MessageType;

/// Messages of each kind in a period; with a name of 64 bytes one takes about
/// 150 bytes on its link.
static constexpr int kAsksPerPeriod = 16;
static constexpr int kAsksPerPlan = 4;
static constexpr int kAnswersPerPeriod = 16;

AllowanceExchange::AllowanceExchange(lists::ListKeeper& aLists,
                                     peer::PeerLinks& aLinks,
                                     admission::PlanLimits& aLimits,
                                     Metrics& aMetrics,
                                     std::function<std::uint64_t()> aNowMs)
  : m_lists(aLists)
  , m_links(aLinks)
  , m_limits(aLimits)
  , m_metrics(aMetrics)
  , m_nowMs(std::move(aNowMs))
  , m_next(SecretNumber())
{
}

auto AllowanceExchange::Start() -> void
{
  m_limits.SetShortfallHandler(
    [this](const std::string& aName, std::uint64_t aPeriod,
           std::uint64_t aWanted) { Ask(aName, aPeriod, aWanted); });
  m_links.On(MessageType::AllowanceRequest, [this](const wire::Hello& aSender,
                                                   const std::string& aBody) {
    const auto request = wire::UnpackBody<wire::AllowanceRequest>(aBody);
    if (!request) {
      m_metrics.Add(Counter::PeerFrameMalformed);
      return;
    }
    OnRequest(aSender, *request);
  });
  m_links.On(MessageType::AllowanceGrant,
             [this](const wire::Hello& aSender, const std::string& aBody) {
               const auto grant = wire::UnpackBody<wire::AllowanceGrant>(aBody);
               if (!grant) {
                 m_metrics.Add(Counter::PeerFrameMalformed);
                 return;
               }
               OnGrant(aSender, *grant);
             });
}

auto AllowanceExchange::EnterPeriod(std::uint64_t aPeriod) -> void
{
  if (m_period == aPeriod) {
    return;
  }
  m_period = aPeriod;
  m_asked = 0;
  m_answered = 0;
  m_askedByPlan.clear();
}

auto AllowanceExchange::FindPlan(const std::string& aName) const
  -> std::shared_ptr<const lists::Plan>
{
  const auto lists = m_lists.Current();
  if (!lists) {
    return nullptr;
  }
  const auto found = lists->plans.find(aName);
  const bool limited =
    found != lists->plans.end() && found->second.ratePerSecond > 0;
  return limited ? std::shared_ptr<const lists::Plan>(lists, &found->second)
                 : nullptr;
}

/// The peer that gave last is asked first, so that few links are used.
auto AllowanceExchange::NextHolder(const std::string& aName,
                                   const lists::Plan& aPlan) -> std::string
{
  const auto holders = m_limits.PeersWithAllowance(aName, aPlan);
  if (holders.empty()) {
    return {};
  }
  const auto giver = std::find(holders.begin(), holders.end(), m_lastGiver);
  m_lastGiver.clear();
  return giver != holders.end() ? *giver : holders[m_next++ % holders.size()];
}

auto AllowanceExchange::Ask(const std::string& aName, std::uint64_t aPeriod,
                            std::uint64_t aWanted) -> void
{
  EnterPeriod(aPeriod);
  const auto plan = FindPlan(aName);
  if (plan == nullptr || m_asked >= kAsksPerPeriod ||
      m_askedByPlan[aName] >= kAsksPerPlan) {
    return;
  }
  const auto holder = NextHolder(aName, *plan);
  if (holder.empty()) {
    return;
  }
  ++m_asked;
  ++m_askedByPlan[aName];
  m_metrics.Add(Counter::AllowanceAsked);
  constexpr std::uint64_t kMost = std::numeric_limits<std::uint32_t>::max();
  const wire::AllowanceRequest request{
    aName, aPeriod, static_cast<std::uint32_t>(std::min(aWanted, kMost))
  };
  m_links.SendMessage(holder, MessageType::AllowanceRequest, request);
}

auto AllowanceExchange::OnRequest(const wire::Hello& aSender,
                                  const wire::AllowanceRequest& aRequest)
  -> void
{
  const auto now = m_nowMs();
  EnterPeriod(now / admission::kAllowancePeriodMs);
  const auto plan = FindPlan(aRequest.plan);
  if (plan == nullptr || m_answered >= kAnswersPerPeriod) {
    return;
  }
  const auto granted = m_limits.GrantToPeer(
    aRequest.plan, *plan, aRequest.period, aRequest.wanted, now);
  if (granted == 0) {
    return;
  }
  ++m_answered;
  m_metrics.Add(Counter::AllowanceGiven, granted);
  const wire::AllowanceGrant grant{ aRequest.plan, aRequest.period,
                                    static_cast<std::uint32_t>(granted) };
  m_links.SendMessage(aSender.address, MessageType::AllowanceGrant, grant);
}

auto AllowanceExchange::OnGrant(const wire::Hello& aSender,
                                const wire::AllowanceGrant& aGrant) -> void
{
  const auto plan = FindPlan(aGrant.plan);
  if (plan == nullptr) {
    return;
  }
  m_lastGiver = aSender.address;
  m_metrics.Add(Counter::AllowanceReceived, aGrant.granted);
  m_limits.AddGrant(aGrant.plan, *plan, aGrant.period, aGrant.granted,
                    m_nowMs());
}

} // namespace bramleylock::kernel
