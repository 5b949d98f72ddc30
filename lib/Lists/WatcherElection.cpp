// Ranks balancers by rendezvous hash and rotates successors in pairs.

#include "bramleylock/Lists/WatcherElection.h"

#include "bramleylock/Support/Rendezvous.h"

#include <algorithm>

namespace bramleylock::lists {

/// Rendezvous key of the election; it must be the same on all balancers.
static constexpr const char* kElectionKey = "platform-watch";

WatcherElection::WatcherElection(std::string aSelf)
  : m_self(std::move(aSelf))
{
}

auto WatcherElection::RecordWatcherReport(const std::string& aWatcher,
                                          Clock::time_point aNow) -> void
{
  m_lastReports[aWatcher] = aNow;
}

auto WatcherElection::RecordStoreAnswer(Clock::time_point aNow) -> void
{
  m_lastStoreAnswer = aNow;
}

auto WatcherElection::IsPrimary() const -> bool
{
  return m_isPrimary;
}

auto WatcherElection::ShouldWatch(const std::vector<std::string>& aOthers,
                                  Clock::time_point aNow) -> bool
{
  std::erase_if(m_lastReports, [aNow](const auto& aRow) {
    return aNow - aRow.second > kWatcherReportLifetime;
  });
  auto nodes = aOthers;
  nodes.push_back(m_self);
  const auto ranking = RendezvousOrder(kElectionKey, std::move(nodes));
  const auto self = std::find(ranking.begin(), ranking.end(), m_self);
  const auto rank = static_cast<std::size_t>(self - ranking.begin());
  m_isPrimary = rank < kWatchersPerDomain;
  if (m_isPrimary) {
    m_hadEnoughReports = true;
    return true;
  }
  const auto freshReports = static_cast<std::size_t>(
    std::count_if(ranking.begin(), self, [this](const std::string& aNode) {
      return m_lastReports.contains(aNode);
    }));
  const bool hasEnoughReports = freshReports >= kWatchersPerDomain;
  if (m_hadEnoughReports && !hasEnoughReports) {
    m_shortageSince = aNow;
  }
  m_hadEnoughReports = hasEnoughReports;
  if (hasEnoughReports) {
    return false;
  }
  const bool storeAnswers = aNow - m_lastStoreAnswer <= kWatcherReportLifetime;
  const auto turn =
    1 + static_cast<std::size_t>((aNow - m_shortageSince) / kSuccessorTurn);
  // The turns wrap around, so that the first successors try again after a long
  // outage.
  const auto pairCount =
    (ranking.size() + kWatchersPerDomain - 1) / kWatchersPerDomain;
  return storeAnswers || rank / kWatchersPerDomain == turn % pairCount;
}

} // namespace bramleylock::lists
