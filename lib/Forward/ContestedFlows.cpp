// Table of contested flows in the order of their discovery.

#include "bramleylock/Forward/ContestedFlows.h"

namespace bramleylock::forward {

/// Maximum number of contested flows. While a large part of the targets does
/// not answer, a fleet opens a few hundred such flows per second.
static constexpr std::size_t kMaxContestedFlows = 8192;

/// Maximum number of dropped packets that are remembered: more than a balancer
/// forwards within the time until clients repeat them.
static constexpr std::size_t kMaxUncertainPackets = 8192;

/// A client repeats a packet 200 ms after the first sending, and each further
/// time after twice as long, so a shorter time follows the first sending only.
static constexpr Milliseconds kMaxFirstInterval{ 300 };

auto ContestedFlows::Remove(Order::iterator aPosition) -> void
{
  m_byId.erase(aPosition->id);
  m_flows.erase(aPosition);
}

auto ContestedFlows::Record(const ContestedFlow& aFlow) -> bool
{
  const auto found = m_byId.find(aFlow.id);
  if (found != m_byId.end()) {
    auto& known = *found->second;
    if (known.openingSequence == aFlow.openingSequence) {
      const bool isNews = known.target == 0 && aFlow.target != 0;
      known.target = isNews ? aFlow.target : known.target;
      return isNews;
    }
    Remove(found->second);
  }
  if (m_flows.size() >= kMaxContestedFlows) {
    Remove(m_flows.begin());
  }
  m_byId[aFlow.id] = m_flows.insert(m_flows.end(), aFlow);
  return true;
}

auto ContestedFlows::Find(const FlowId& aFlow) const -> const ContestedFlow*
{
  // Most balancers know no contested flow most of the time.
  if (m_flows.empty()) {
    return nullptr;
  }
  const auto found = m_byId.find(aFlow);
  return found == m_byId.end() ? nullptr : &*found->second;
}

auto ContestedFlows::Expire(Clock::time_point aLimit) -> void
{
  while (!m_flows.empty() && m_flows.front().since < aLimit) {
    Remove(m_flows.begin());
  }
}

auto ContestedFlows::Size() const -> std::size_t
{
  return m_flows.size();
}

auto UncertainPackets::Record(const Packet& aPacket, Clock::time_point aNow)
  -> TargetTag
{
  if (m_dropped.size() >= kMaxUncertainPackets) {
    m_dropped.clear();
  }
  auto& dropped = m_dropped[aPacket.flow];
  const auto interval = aNow - dropped.at;
  const bool repeats = dropped.tag != 0 && dropped.sequence == aPacket.sequence;
  if (repeats && interval < kMinRepetitionDelay) {
    // A duplicate, or a packet that was delayed.
    return 0;
  }
  const auto firstTag =
    repeats && interval <= kMaxFirstInterval ? dropped.tag : TargetTag{ 0 };
  dropped = { aPacket.sequence, aPacket.tag, aNow };
  return firstTag;
}

auto UncertainPackets::Expire(Clock::time_point aLimit) -> void
{
  std::erase_if(m_dropped,
                [aLimit](const auto& aRow) { return aRow.second.at < aLimit; });
}

} // namespace bramleylock::forward
