// Exchange of plans' rate-limit allowance between peers.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "bramleylock/Admission/PlanLimits.h"
#include "bramleylock/Lists/ListReplica.h"
#include "bramleylock/Peer/PeerLinks.h"
#include "bramleylock/Support/Counters.h"

namespace bramleylock::kernel {

/// Transfers allowance between the balancers of a failure domain. The number of
/// messages per period is bounded, and no request waits for a transfer.
class AllowanceExchange
{
public:
  /// aNowMs returns the milliseconds since the Unix epoch.
  AllowanceExchange(lists::ListReplica& aLists, peer::PeerLinks& aLinks,
                    admission::PlanLimits& aLimits, Metrics& aMetrics,
                    std::function<std::uint64_t()> aNowMs);

  auto Start() -> void;

private:
  auto RequestAllowance(const std::string& aPlanName, std::uint64_t aPeriod,
                        std::uint64_t aWanted) -> void;
  auto OnRequest(const wire::Hello& aSender,
                 const wire::AllowanceRequest& aRequest) -> void;
  auto OnGrant(const wire::Hello& aSender, const wire::AllowanceGrant& aGrant)
    -> void;
  auto SelectPeer(const std::string& aPlanName, const lists::Plan& aPlan)
    -> std::string;
  auto FindPlan(const std::string& aPlanName) const
    -> std::shared_ptr<const lists::Plan>;
  auto EnterPeriod(std::uint64_t aPeriod) -> void;

  lists::ListReplica& m_lists;
  peer::PeerLinks& m_links;
  admission::PlanLimits& m_limits;
  Metrics& m_metrics;
  std::function<std::uint64_t()> m_nowMs;
  std::uint64_t m_period = 0;
  int m_requestsSent = 0;
  int m_grantsSent = 0;
  std::map<std::string, int> m_requestsSentByPlan;
  /// Address of the peer that sent the last grant; empty once another request
  /// has been sent.
  std::string m_lastGrantor;
  std::size_t m_nextPeer = 0;
};

} // namespace bramleylock::kernel
