// Order in which queued first packets are served and refused.

#include "bramleylock/Forward/PendingFlowQueue.h"

#include <algorithm>

namespace bramleylock::forward {

/// Every n-th packet is taken from the least urgent class.
static constexpr std::uint32_t kLeastUrgentInterval = 4;

auto PendingFlowQueue::Find(const FlowId& aFlow) -> PendingFlow*
{
  for (auto& [urgency, pending] : m_byUrgency) {
    const auto found = std::find_if(pending.begin(), pending.end(),
                                    [&aFlow](const PendingFlow& aPending) {
                                      return aPending.packet.flow == aFlow;
                                    });
    if (found != pending.end()) {
      return &*found;
    }
  }
  return nullptr;
}

auto PendingFlowQueue::Insert(PendingFlow aFlow) -> void
{
  auto& pending = m_byUrgency[aFlow.urgency];
  const auto position =
    std::upper_bound(pending.begin(), pending.end(), aFlow,
                     [](const PendingFlow& aLeft, const PendingFlow& aRight) {
                       return aLeft.sentAt < aRight.sentAt;
                     });
  pending.insert(position, std::move(aFlow));
}

auto PendingFlowQueue::Push(PendingFlow aFlow, std::size_t aLimit)
  -> std::optional<PendingFlow>
{
  if (auto* pending = Find(aFlow.packet.flow)) {
    pending->packet = aFlow.packet;
    pending->data = std::move(aFlow.data);
    pending->lastCopyAt = aFlow.lastCopyAt;
    return std::nullopt;
  }
  Insert(std::move(aFlow));
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

auto PendingFlowQueue::Pop() -> std::optional<PendingFlow>
{
  if (m_byUrgency.empty()) {
    return std::nullopt;
  }
  ++m_popCount;
  const auto position = m_popCount % kLeastUrgentInterval == 0
                          ? std::prev(m_byUrgency.end())
                          : m_byUrgency.begin();
  auto flow = std::move(position->second.back());
  position->second.pop_back();
  if (position->second.empty()) {
    m_byUrgency.erase(position);
  }
  return flow;
}

auto PendingFlowQueue::Requeue(PendingFlow aFlow) -> void
{
  --m_popCount;
  Insert(std::move(aFlow));
}

auto PendingFlowQueue::ExtractIf(
  const std::function<bool(const PendingFlow&)>& aCondition)
  -> std::vector<PendingFlow>
{
  std::vector<PendingFlow> extracted;
  for (auto position = m_byUrgency.begin(); position != m_byUrgency.end();) {
    auto& pending = position->second;
    for (auto flow = pending.begin(); flow != pending.end();) {
      if (!aCondition(*flow)) {
        ++flow;
        continue;
      }
      extracted.push_back(std::move(*flow));
      flow = pending.erase(flow);
    }
    position =
      pending.empty() ? m_byUrgency.erase(position) : std::next(position);
  }
  return extracted;
}

auto PendingFlowQueue::Size() const -> std::size_t
{
  std::size_t size = 0;
  for (const auto& [urgency, pending] : m_byUrgency) {
    size += pending.size();
  }
  return size;
}

} // namespace bramleylock::forward
