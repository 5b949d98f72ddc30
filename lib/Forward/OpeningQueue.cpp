// Order in which queued first packets are served and refused.

#include "bramleylock/Forward/OpeningQueue.h"

#include <algorithm>

namespace bramleylock::forward {

/// Every n-th packet is taken from the least urgent class.
static constexpr std::uint32_t kLeastUrgentEvery = 4;

auto OpeningQueue::Find(const FlowId& aFlow) -> WaitingOpening*
{
  for (auto& [urgency, waiting] : m_byUrgency) {
    const auto found = std::find_if(waiting.begin(), waiting.end(),
                                    [&aFlow](const WaitingOpening& aOpening) {
                                      return aOpening.packet.flow == aFlow;
                                    });
    if (found != waiting.end()) {
      return &*found;
    }
  }
  return nullptr;
}

auto OpeningQueue::Insert(WaitingOpening aOpening) -> void
{
  auto& waiting = m_byUrgency[aOpening.urgency];
  const auto place = std::upper_bound(
    waiting.begin(), waiting.end(), aOpening,
    [](const WaitingOpening& aLeft, const WaitingOpening& aRight) {
      return aLeft.sentAt < aRight.sentAt;
    });
  waiting.insert(place, std::move(aOpening));
}

auto OpeningQueue::Push(WaitingOpening aOpening, std::size_t aLimit)
  -> std::optional<WaitingOpening>
{
  if (auto* waiting = Find(aOpening.packet.flow)) {
    waiting->packet = aOpening.packet;
    waiting->data = std::move(aOpening.data);
    waiting->copiedAt = aOpening.copiedAt;
    return std::nullopt;
  }
  Insert(std::move(aOpening));
  if (Size() <= aLimit) {
    return std::nullopt;
  }
  const auto last = std::prev(m_byUrgency.end());
  auto refused = std::move(last->second.front());
  last->second.pop_front();
  if (last->second.empty()) {
    m_byUrgency.erase(last);
  }
  return refused;
}

auto OpeningQueue::Pop() -> std::optional<WaitingOpening>
{
  if (m_byUrgency.empty()) {
    return std::nullopt;
  }
  ++m_turn;
  const auto place = m_turn % kLeastUrgentEvery == 0
                       ? std::prev(m_byUrgency.end())
                       : m_byUrgency.begin();
  auto opening = std::move(place->second.back());
  place->second.pop_back();
  if (place->second.empty()) {
    m_byUrgency.erase(place);
  }
  return opening;
}

auto OpeningQueue::Return(WaitingOpening aOpening) -> void
{
  --m_turn;
  Insert(std::move(aOpening));
}

auto OpeningQueue::TakeOlderThan(Clock::time_point aLimit)
  -> std::vector<WaitingOpening>
{
  std::vector<WaitingOpening> old;
  for (auto place = m_byUrgency.begin(); place != m_byUrgency.end();) {
    auto& waiting = place->second;
    for (auto opening = waiting.begin(); opening != waiting.end();) {
      if (opening->arrivedAt >= aLimit) {
        ++opening;
        continue;
      }
      old.push_back(std::move(*opening));
      opening = waiting.erase(opening);
    }
    place = waiting.empty() ? m_byUrgency.erase(place) : std::next(place);
  }
  return old;
}

auto OpeningQueue::Size() const -> std::size_t
{
  std::size_t size = 0;
  for (const auto& [urgency, waiting] : m_byUrgency) {
    size += waiting.size();
  }
  return size;
}

} // namespace bramleylock::forward
