// Election of the balancers of a failure domain that watch the store.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "bramleylock/Support/Asio.h"

namespace bramleylock::lists {

/// Number of balancers of a failure domain that watch the platform's store
/// while it answers them.
inline constexpr std::size_t kWatchersPerDomain = 2;

/// Time after which a watcher's report that the store answered it expires.
inline constexpr Milliseconds kWatcherReportLifetime{ 1500 };

/// Duration of the turn of a pair of successors before the next pair's turn.
inline constexpr Milliseconds kSuccessorTurn{ 1000 };

/// Decides, without agreement between balancers, whether this one watches the
/// platform's store. The kWatchersPerDomain balancers with the highest
/// rendezvous hashes always do. While fewer than kWatchersPerDomain of the
/// balancers ranked before this one report that the store answers them, pairs
/// of successors take turns, so that the number of calls stays bounded while
/// the store is down.
class WatcherElection
{
public:
  explicit WatcherElection(std::string aSelf);

  /// Records aWatcher's report that the store answered it.
  auto RecordWatcherReport(const std::string& aWatcher, Clock::time_point aNow)
    -> void;

  /// Records that the store answered this balancer.
  auto RecordStoreAnswer(Clock::time_point aNow) -> void;

  /// Returns whether this balancer watches now. aOthers are the other live
  /// balancers of the failure domain.
  auto ShouldWatch(const std::vector<std::string>& aOthers,
                   Clock::time_point aNow) -> bool;

  /// Returns whether this balancer was one of the kWatchersPerDomain with the
  /// highest hashes in the last call of ShouldWatch.
  auto IsPrimary() const -> bool;

private:
  std::string m_self;
  std::map<std::string, Clock::time_point> m_lastReports;
  Clock::time_point m_lastStoreAnswer{};
  Clock::time_point m_shortageSince{};
  bool m_hadEnoughReports = true;
  bool m_isPrimary = true;
};

} // namespace bramleylock::lists
