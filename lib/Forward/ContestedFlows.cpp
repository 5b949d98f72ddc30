// Table of contested flows in the order of their discovery.

#include "bramleylock/Forward/ContestedFlows.h"

namespace bramleylock::forward {

/// Maximum number of contested flows. While a large part of the targets does
/// not answer, a fleet opens a few hundred such flows per second.
static constexpr std::size_t kMaxContestedFlows = 8192;

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

} // namespace bramleylock::forward
