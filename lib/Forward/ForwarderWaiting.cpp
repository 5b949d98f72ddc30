// First packets that wait for routes or for room at a target.

#include "bramleylock/Forward/Forwarder.h"

#include "bramleylock/Support/Log.h"

#include <algorithm>
#include <array>

namespace bramleylock::forward {

/// What has waited this long is refused: its client, with the shortest deadline
/// of 1.5 s, then still has time for another try, which is served as the
/// newest.
static constexpr Milliseconds kLongestWait{ 600 };

/// First packets that may wait for each slot of a balancer's share. A slot
/// serves 8 in the longest wait at 72 ms of work, and one balancer of eight may
/// get all traffic while the others are away. Refused at once, clients come
/// again at once and have soon used up their tries.
static constexpr std::size_t kWaitingPerSlot = 64;
static constexpr std::size_t kLeastWaiting = 8;

/// First packets that may wait while no routes are known: a second of the
/// traffic of a small machine.
static constexpr std::size_t kWaitingForRoutes = 256;

/// Clients send a first packet again after 200 ms and after 600 ms, and give up
/// after 1.4 s; by the number of the copy, how long until the next sign.
static constexpr std::array<Milliseconds, 3> kNextCopy{ Milliseconds{ 200 },
                                                        Milliseconds{ 400 },
                                                        Milliseconds{ 800 } };
static constexpr std::array<Milliseconds, 3> kCopySentAfter{
  Milliseconds{ 0 }, Milliseconds{ 200 }, Milliseconds{ 600 }
};
static constexpr Milliseconds kCopyLate{ 50 };

static auto CopyOf(const Packet& aOpening) -> std::size_t
{
  return std::min<std::size_t>(aOpening.acknowledgement, kNextCopy.size() - 1);
}

/// Drops a waiting packet whose next copy is overdue although flows move: the
/// copy went to another balancer, and opening the flow here as well would give
/// it two targets.
auto Forwarder::LeaveIfElsewhere(const WaitingOpening& aOpening,
                                 const std::string& aService,
                                 Clock::time_point aNow) -> bool
{
  const auto& packet = aOpening.packet;
  const auto next = kNextCopy[CopyOf(packet)];
  if (m_movedAt < aOpening.copiedAt ||
      aNow - aOpening.copiedAt <= next + kCopyLate) {
    return false;
  }
  m_metrics.Add(Counter::FlowLeft);
  LogInfo("flow-left", { { "flow", FormatFlow(packet.flow) },
                         { "sequence", std::to_string(packet.sequence) },
                         { "service", aService } });
  return true;
}

auto Forwarder::OthersWait(const Route& aRoute, const Packet& aPacket) const
  -> bool
{
  if (m_waiting.empty()) {
    return false;
  }
  const auto queue = m_waiting.find(m_routes.ServiceFor(aRoute, aPacket.flow));
  return queue != m_waiting.end() && queue->second.Size() > 0;
}

auto Forwarder::WaitingLimit(const std::string& aService,
                             Clock::time_point aNow) -> std::size_t
{
  std::size_t slots = 0;
  for (const auto* entry : m_targets.Candidates(aService, aNow)) {
    slots += entry->record.slots;
  }
  return std::max(kLeastWaiting, slots * kWaitingPerSlot / m_balancers);
}

/// Holds a first packet back until a target has room. The client waits for its
/// answer up to 1.4 s; refusing it at once would have it come again into the
/// same crowd.
auto Forwarder::Wait(const Packet& aPacket, const char* aData,
                     std::size_t aSize, const Route* aRoute,
                     Clock::time_point aNow) -> void
{
  const auto service = aRoute == nullptr
                         ? std::string()
                         : m_routes.ServiceFor(*aRoute, aPacket.flow);
  const auto limit =
    aRoute == nullptr ? kWaitingForRoutes : WaitingLimit(service, aNow);
  auto& queue = m_waiting[service];
  m_metrics.Add(Counter::FlowWaited);
  if (ShouldLog(LogLevel::Info, "flow-waits")) {
    LogInfo("flow-waits", { { "flow", FormatFlow(aPacket.flow) },
                            { "sequence", std::to_string(aPacket.sequence) },
                            { "service", service },
                            { "waiting", std::to_string(queue.Size()) },
                            { "limit", std::to_string(limit) } });
  }
  const auto refused =
    queue.Push({ aPacket, std::string(aData, aSize),
                 aRoute == nullptr ? 0 : aRoute->urgency,
                 aNow - kCopySentAfter[CopyOf(aPacket)], aNow, aNow },
               limit);
  if (refused) {
    Refuse(refused->packet, Counter::FlowRefusedQueueFull, "queue-full");
  }
}

auto Forwarder::ServeQueue(const std::string& aService, OpeningQueue& aQueue,
                           std::vector<WaitingOpening>& aServed,
                           Clock::time_point aNow) -> void
{
  while (auto opening = aQueue.Pop()) {
    const auto& packet = opening->packet;
    const auto* known = m_flows.Find(packet.flow);
    if (known != nullptr && known->openedAt >= opening->arrivedAt) {
      // A copy that came later found room before it.
      continue;
    }
    if (LeaveIfElsewhere(*opening, aService, aNow)) {
      continue;
    }
    const auto* route = m_routes.Find(packet.flow.service);
    if (route == nullptr) {
      Refuse(packet, Counter::FlowRefusedNoRoute, "no-route");
      continue;
    }
    const auto placement = Place(packet, *route, nullptr, aNow);
    if (placement.target != nullptr) {
      m_metrics.Observe(Latency::FlowWait, aNow - opening->arrivedAt);
      aServed.push_back(std::move(*opening));
      auto& served = aServed.back();
      OpenAt(*placement.target, served.packet, served.data.data(),
             served.data.size(), aNow);
      continue;
    }
    if (placement.refusal == RefusalReason::NoTarget) {
      Refuse(packet, Counter::FlowRefusedNoTarget, "no-target");
      continue;
    }
    if (aService.empty()) {
      // It came before the routes and now waits for a target.
      Wait(packet, opening->data.data(), opening->data.size(), route,
           opening->arrivedAt);
      continue;
    }
    aQueue.Return(std::move(*opening));
    return;
  }
}

auto Forwarder::RefuseOld(Clock::time_point aNow) -> void
{
  for (auto& [service, queue] : m_waiting) {
    for (const auto& old : queue.TakeOlderThan(aNow - kLongestWait)) {
      if (!LeaveIfElsewhere(old, service, aNow)) {
        Refuse(old.packet, Counter::FlowRefusedWaited, "waited-too-long");
      }
    }
  }
}

auto Forwarder::ServeWaiting(Clock::time_point aNow) -> void
{
  if (m_routes.Current().version == 0) {
    return;
  }
  // The data of what is served has to last until it is sent.
  std::vector<WaitingOpening> served;
  served.reserve(Waiting());
  for (auto& [service, queue] : m_waiting) {
    ServeQueue(service, queue, served, aNow);
  }
  if (!served.empty()) {
    m_sink.Flush();
  }
}

auto Forwarder::Waiting() const -> std::size_t
{
  std::size_t waiting = 0;
  for (const auto& [service, queue] : m_waiting) {
    waiting += queue.Size();
  }
  return waiting;
}

} // namespace bramleylock::forward
