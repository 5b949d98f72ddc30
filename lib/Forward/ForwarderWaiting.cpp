// Queueing of first packets that wait for routes or for a free target.

#include "bramleylock/Forward/Forwarder.h"

#include "bramleylock/Support/Log.h"

#include <algorithm>
#include <array>

namespace bramleylock::forward {

/// Maximum time in the queue. A client with the shortest deadline of 1.5 s
/// still has time for another attempt after this refusal, and that attempt is
/// served first as the newest.
static constexpr Milliseconds kLongestWait{ 600 };

/// Maximum number of first packets queued per slot of a balancer's share. A
/// slot serves 8 packets within the maximum queue time at 72 ms per request,
/// and one of eight balancers may receive all traffic while the others are
/// down. Clients that are refused at once retry at once and soon use up their
/// attempts.
static constexpr std::size_t kWaitingPerSlot = 64;
static constexpr std::size_t kLeastWaiting = 8;

/// Maximum number of queued first packets while no routes are known: one second
/// of the traffic of a small machine.
static constexpr std::size_t kWaitingForRoutes = 256;

/// Clients retransmit a first packet after 200 ms and after 600 ms, and give up
/// after 1.4 s. Indexed by copy number: the time until the next copy or until
/// the client gives up.
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

/// Drops a queued packet if its next copy is overdue while flows are moving
/// between balancers. The copy went to another balancer, and opening the flow
/// here as well would give it two targets.
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

/// Queues a first packet until a target has capacity. The client waits up to
/// 1.4 s for a response; if refused at once, it would retry into the same
/// overload.
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
  if (WouldLog(LogLevel::Info, "flow-waits")) {
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
      // A later copy of the packet was served before it.
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
      // The packet arrived before the routes and now waits for a target.
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
  // The packet data must stay valid until the sink is flushed.
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
