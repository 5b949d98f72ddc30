// The table of owned flows and their expiry.

#include "bramleylock/Flow/FlowTable.h"

#include <algorithm>
#include <cassert>

namespace bramleylock::flow {

/// The interval between expiry checks of one flow, and the number of flows
/// checked per call of Expire.
static constexpr std::chrono::seconds kCheckInterval{ 10 };
static constexpr std::size_t kMaxChecksPerCall = 50000;

auto FlowTable::Find(std::uint64_t aId) -> std::shared_ptr<Flow>
{
  const auto found = m_flows.find(aId);
  return found == m_flows.end() ? nullptr : found->second;
}

auto FlowTable::Add(std::shared_ptr<Flow> aFlow) -> void
{
  assert(!m_flows.contains(aFlow->id));
  m_checks.push_back({ Clock::now() + m_checkInterval, aFlow->id });
  m_flows.emplace(aFlow->id, std::move(aFlow));
}

auto FlowTable::Remove(std::uint64_t aId) -> void
{
  m_flows.erase(aId);
}

/// Removes expired outcomes and raises the flow's sequenceFloor past each of
/// them, so that a later duplicate is not run.
static auto ExpireOutcomes(Flow& aFlow, Clock::time_point aNow) -> void
{
  while (!aFlow.outcomes.empty()) {
    const auto oldest = aFlow.outcomes.begin();
    if (oldest->second.expiresAt > aNow) {
      return;
    }
    aFlow.sequenceFloor = std::max(aFlow.sequenceFloor, oldest->first);
    aFlow.outcomes.erase(oldest);
  }
}

auto FlowTable::Expire(std::chrono::seconds aIdleTimeout) -> std::size_t
{
  m_checkInterval = std::min<Clock::duration>(aIdleTimeout, kCheckInterval);
  const auto now = Clock::now();
  const auto before = m_flows.size();
  for (std::size_t i = 0; i < kMaxChecksPerCall; ++i) {
    if (m_checks.empty() || m_checks.front().at > now) {
      break;
    }
    const auto id = m_checks.front().flow;
    m_checks.pop_front();
    const auto found = m_flows.find(id);
    if (found == m_flows.end()) {
      continue;
    }
    auto& flow = *found->second;
    ExpireOutcomes(flow, now);
    if (flow.activeRequests.empty() && flow.outcomes.empty() &&
        now - flow.lastUsed > aIdleTimeout) {
      m_flows.erase(found);
      continue;
    }
    m_checks.push_back({ now + m_checkInterval, id });
  }
  return before - m_flows.size();
}

auto FlowTable::Size() const -> std::size_t
{
  return m_flows.size();
}

auto FlowTable::InFlight() const -> std::size_t
{
  return m_activeRequests;
}

auto FlowTable::CountRequestStarted() -> void
{
  ++m_activeRequests;
}

auto FlowTable::CountRequestEnded() -> void
{
  assert(m_activeRequests > 0);
  --m_activeRequests;
}

auto FlowTable::All() const
  -> const std::unordered_map<std::uint64_t, std::shared_ptr<Flow>>&
{
  return m_flows;
}

} // namespace bramleylock::flow
