// Requests for allowance to peers, and grants in reply to theirs.

#include "bramleylock/Kernel/AllowanceExchange.h"

#include "bramleylock/Support/Random.h"

#include <algorithm>
#include <limits>

namespace bramleylock::kernel {

using wire::MessageType;

/// Maximum numbers of messages per period. A message about a plan with a name
/// of 64 bytes takes about 150 bytes on its link.
static constexpr int kMaxRequestsPerPeriod = 16;
static constexpr int kMaxRequestsPerPlan = 4;
static constexpr int kMaxGrantsPerPeriod = 16;

AllowanceExchange::AllowanceExchange(lists::ListReplica& aLists,
                                     peer::PeerLinks& aLinks,
                                     admission::PlanLimits& aLimits,
                                     Metrics& aMetrics,
                                     std::function<std::uint64_t()> aNowMs)
  : m_lists(aLists)
  , m_links(aLinks)
  , m_limits(aLimits)
  , m_metrics(aMetrics)
  , m_nowMs(std::move(aNowMs))
  , m_nextPeer(SecureRandomNumber())
{
}

auto AllowanceExchange::Start() -> void
{
  m_limits.SetShortfallHandler([this](const std::string& aPlanName,
                                      std::uint64_t aPeriod,
                                      std::uint64_t aWanted) {
    RequestAllowance(aPlanName, aPeriod, aWanted);
  });
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
  m_requestsSent = 0;
  m_grantsSent = 0;
  m_requestsSentByPlan.clear();
}

auto AllowanceExchange::FindPlan(const std::string& aPlanName) const
  -> std::shared_ptr<const lists::Plan>
{
  const auto lists = m_lists.Current();
  if (!lists) {
    return nullptr;
  }
  const auto found = lists->plans.find(aPlanName);
  const bool limited =
    found != lists->plans.end() && found->second.ratePerSecond > 0;
  return limited ? std::shared_ptr<const lists::Plan>(lists, &found->second)
                 : nullptr;
}

/// Selects the peer to request allowance from. The peer that sent the last
/// grant is preferred, so that few links are used.
auto AllowanceExchange::SelectPeer(const std::string& aPlanName,
                                   const lists::Plan& aPlan) -> std::string
{
  const auto holders = m_limits.PeersWithAllowance(aPlanName, aPlan);
  if (holders.empty()) {
    return {};
  }
  const auto grantor = std::find(holders.begin(), holders.end(), m_lastGrantor);
  m_lastGrantor.clear();
  return grantor != holders.end() ? *grantor
                                  : holders[m_nextPeer++ % holders.size()];
}

auto AllowanceExchange::RequestAllowance(const std::string& aPlanName,
                                         std::uint64_t aPeriod,
                                         std::uint64_t aWanted) -> void
{
  EnterPeriod(aPeriod);
  const auto plan = FindPlan(aPlanName);
  if (plan == nullptr || m_requestsSent >= kMaxRequestsPerPeriod ||
      m_requestsSentByPlan[aPlanName] >= kMaxRequestsPerPlan) {
    return;
  }
  const auto holder = SelectPeer(aPlanName, *plan);
  if (holder.empty()) {
    return;
  }
  ++m_requestsSent;
  ++m_requestsSentByPlan[aPlanName];
  m_metrics.Add(Counter::AllowanceAsked);
  constexpr std::uint64_t kMaxWanted =
    std::numeric_limits<std::uint32_t>::max();
  const wire::AllowanceRequest request{ aPlanName, aPeriod,
                                        static_cast<std::uint32_t>(
                                          std::min(aWanted, kMaxWanted)) };
  m_links.SendMessage(holder, MessageType::AllowanceRequest, request);
}

auto AllowanceExchange::OnRequest(const wire::Hello& aSender,
                                  const wire::AllowanceRequest& aRequest)
  -> void
{
  const auto now = m_nowMs();
  EnterPeriod(now / admission::kAllowancePeriodMs);
  const auto plan = FindPlan(aRequest.plan);
  if (plan == nullptr || m_grantsSent >= kMaxGrantsPerPeriod) {
    return;
  }
  const auto granted = m_limits.GrantToPeer(
    aRequest.plan, *plan, aRequest.period, aRequest.wanted, now);
  if (granted == 0) {
    return;
  }
  ++m_grantsSent;
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
  m_lastGrantor = aSender.address;
  m_metrics.Add(Counter::AllowanceReceived, aGrant.granted);
  m_limits.AddGrant(aGrant.plan, *plan, aGrant.period, aGrant.granted,
                    m_nowMs());
}

} // namespace bramleylock::kernel
