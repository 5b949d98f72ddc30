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

auto WatcherElection::Heard(const std::string& aWatcher, Clock::time_point aNow)
  -> void
{
  m_heard[aWatcher] = aNow;
}

auto WatcherElection::Answered(Clock::time_point aNow) -> void
{
  m_answered = aNow;
}

auto WatcherElection::IsRegular() const -> bool
{
  return m_regular;
}

auto WatcherElection::ShouldWatch(const std::vector<std::string>& aOthers,
                                  Clock::time_point aNow) -> bool
{
  std::erase_if(m_heard, [aNow](const auto& aRow) {
    return aNow - aRow.second > kWordFresh;
  });
  auto nodes = aOthers;
  nodes.push_back(m_self);
  const auto order = RendezvousOrder(kElectionKey, std::move(nodes));
  const auto self = std::find(order.begin(), order.end(), m_self);
  const auto rank = static_cast<std::size_t>(self - order.begin());
  m_regular = rank < kWatchers;
  if (m_regular) {
    m_enough = true;
    return true;
  }
  const auto fresh = static_cast<std::size_t>(
    std::count_if(order.begin(), self, [this](const std::string& aNode) {
      return m_heard.contains(aNode);
    }));
  const bool enough = fresh >= kWatchers;
  if (m_enough && !enough) {
    m_lacking = aNow;
  }
  m_enough = enough;
  if (enough) {
    return false;
  }
  const bool serving = aNow - m_answered <= kWordFresh;
  const auto turn =
    1 + static_cast<std::size_t>((aNow - m_lacking) / kSuccession);
  // The turns wrap around, so that the first successors try again after a long
  // outage.
  const auto pairs = (order.size() + kWatchers - 1) / kWatchers;
  return serving || rank / kWatchers == turn % pairs;
}

} // namespace bramleylock::lists
