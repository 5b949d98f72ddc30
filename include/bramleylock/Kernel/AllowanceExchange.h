// Asks peers for allowance of plans, and answers those who ask.
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

/// Moves allowance between the balancers of a failure domain, a bounded number
/// of times a period. No request waits for it.
class AllowanceExchange
{
public:
  /// aNowMs tells the milliseconds since the Unix epoch.
  AllowanceExchange(lists::ListReplica& aLists, peer::PeerLinks& aLinks,
                    admission::PlanLimits& aLimits, Metrics& aMetrics,
                    std::function<std::uint64_t()> aNowMs);

  auto Start() -> void;

private:
  auto Ask(const std::string& aName, std::uint64_t aPeriod,
           std::uint64_t aWanted) -> void;
  auto OnRequest(const wire::Hello& aSender,
                 const wire::AllowanceRequest& aRequest) -> void;
  auto OnGrant(const wire::Hello& aSender, const wire::AllowanceGrant& aGrant)
    -> void;
  auto NextHolder(const std::string& aName, const lists::Plan& aPlan)
    -> std::string;
  auto FindPlan(const std::string& aName) const
    -> std::shared_ptr<const lists::Plan>;
  auto EnterPeriod(std::uint64_t aPeriod) -> void;

  lists::ListReplica& m_lists;
  peer::PeerLinks& m_links;
  admission::PlanLimits& m_limits;
  Metrics& m_metrics;
  std::function<std::uint64_t()> m_nowMs;
  std::uint64_t m_period = 0;
  int m_asked = 0;
  int m_answered = 0;
  std::map<std::string, int> m_askedByPlan;
  /// The peer that gave last; empty when one was asked since.
  std::string m_lastGiver;
  std::size_t m_next = 0;
};

} // namespace bramleylock::kernel
