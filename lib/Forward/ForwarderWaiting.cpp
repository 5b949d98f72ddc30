// Queueing of first packets that wait for routes or for a free target.

#include "bramleylock/Forward/Forwarder.h"

#include "bramleylock/Support/Log.h"

#include <algorithm>
#include <array>

namespace bramleylock::forward {

/// Maximum time in the queue: a fraction of the time that the route allows for
/// a request, so that its client still has time for another attempt after the
/// refusal, and at most kMaxQueueTime.
static constexpr double kMaxQueueTimeShare = 0.4;
static constexpr Milliseconds kMaxQueueTime{ 600 };

/// Maximum number of first packets queued per slot of a balancer's share. A
/// slot serves 8 packets within the maximum queue time at 72 ms per request,
/// and one of eight balancers may receive all traffic while the others are
/// down. Clients that are refused at once retry at once and soon use up their
/// attempts.
static constexpr std::size_t kQueuedPacketsPerSlot = 64;
static constexpr std::size_t kMinQueueLimit = 8;

/// Maximum number of queued first packets while no routes are known: one second
/// of the traffic of a small machine.
static constexpr std::size_t kQueueLimitWithoutRoutes = 256;

/// Clients retransmit a first packet after 200 ms and after 600 ms, and give up
/// after 1.4 s. Indexed by copy number: the time until the next copy or until
/// the client gives up.
static constexpr std::array<Milliseconds, 3> kNextCopyInterval{
  Milliseconds{ 200 }, Milliseconds{ 400 }, Milliseconds{ 800 }
};
static constexpr std::array<Milliseconds, 3> kCopySendOffset{
  Milliseconds{ 0 }, Milliseconds{ 200 }, Milliseconds{ 600 }
};
static constexpr Milliseconds kCopyDelayMargin{ 50 };

static auto CopyNumber(const Packet& aFirstPacket) -> std::size_t
{
  return std::min<std::size_t>(aFirstPacket.acknowledgement,
                               kNextCopyInterval.size() - 1);
}

/// Returns the time after which the next copy of aFirstPacket is overdue. The
/// client has then sent it, or has given up.
static auto NextCopyOverdueAfter(const Packet& aFirstPacket) -> Clock::duration
{
  return kNextCopyInterval[CopyNumber(aFirstPacket)] + kCopyDelayMargin;
}

/// Drops a first packet that waited in the socket until its next copy was
/// overdue. Another balancer may have opened the flow with that copy; if the
/// copy is still in the socket, it opens the flow here.
auto Forwarder::DropIfStale(const Packet& aPacket, Clock::duration aAge) -> bool
{
  if (aAge <= NextCopyOverdueAfter(aPacket)) {
    return false;
  }
  m_metrics.Add(Counter::FlowStale);
  if (ShouldLog(LogLevel::Info, "flow-stale")) {
    LogInfo("flow-stale",
            { { "flow", FormatFlow(aPacket.flow) },
              { "sequence", std::to_string(aPacket.sequence) },
              { "copy", std::to_string(aPacket.acknowledgement) },
              { "age_ms",
                std::to_string(
                  std::chrono::duration_cast<Milliseconds>(aAge).count()) } });
  }
  return true;
}

auto Forwarder::LogFlowLeft(const PendingFlow& aFlow,
                            const std::string& aService) -> void
{
  m_metrics.Add(Counter::FlowLeft);
  LogInfo("flow-left", { { "flow", FormatFlow(aFlow.packet.flow) },
                         { "sequence", std::to_string(aFlow.packet.sequence) },
                         { "service", aService } });
}

/// Drops a queued packet if its next copy is overdue while flows are moving
/// between balancers. The copy went to another balancer, and opening the flow
/// here as well would give it two targets.
auto Forwarder::DropIfMoved(const PendingFlow& aFlow,
                            const std::string& aService, Clock::time_point aNow)
  -> bool
{
  if (m_lastTakeoverAt < aFlow.lastCopyAt ||
      aNow - aFlow.lastCopyAt <= NextCopyOverdueAfter(aFlow.packet)) {
    return false;
  }
  LogFlowLeft(aFlow, aService);
  return true;
}

/// Drops the queued packets whose next copies became overdue in the pause. A
/// copy that is in the socket opens the flow here; any other may have gone to
/// another balancer. The clock may not have advanced in the pause.
auto Forwarder::OnPause(Clock::duration aPause, Clock::time_point aNow) -> void
{
  m_lastPauseAt = aNow;
  for (auto& [service, queue] : m_pendingFlows) {
    const auto left = queue.ExtractIf([aPause, aNow](const PendingFlow& aFlow) {
      return std::max(aPause, aNow - aFlow.lastCopyAt) >
             NextCopyOverdueAfter(aFlow.packet);
    });
    for (const auto& flow : left) {
      LogFlowLeft(flow, service);
    }
  }
}

/// Returns whether another copy of a queued packet has opened its flow, here or
/// at a balancer from which the flow has moved here.
auto Forwarder::WasOpenedSinceArrival(const PendingFlow& aFlow) -> bool
{
  const auto* known = m_flows.Find(aFlow.packet.flow);
  return known != nullptr && known->openedAt >= aFlow.arrivedAt;
}

/// Refuses a queued packet unless its flow has been opened by another copy.
auto Forwarder::RefuseQueued(const PendingFlow& aFlow,
                             const std::string& aService, Counter aCounter,
                             const char* aReason, Clock::time_point aNow)
  -> void
{
  if (!WasOpenedSinceArrival(aFlow) && !DropIfMoved(aFlow, aService, aNow)) {
    Refuse(aFlow.packet, aCounter, aReason);
  }
}

auto Forwarder::HasQueuedPackets(const Route& aRoute,
                                 const Packet& aPacket) const -> bool
{
  if (m_pendingFlows.empty()) {
    return false;
  }
  const auto queue =
    m_pendingFlows.find(m_routes.ServiceFor(aRoute, aPacket.flow));
  return queue != m_pendingFlows.end() && queue->second.Size() > 0;
}

/// Returns how long a first packet may wait for a target.
static auto MaxQueueTime(const Route* aRoute) -> Clock::duration
{
  if (aRoute == nullptr || aRoute->timeoutMs == 0) {
    return kMaxQueueTime;
  }
  const std::chrono::duration<double, std::milli> limit(aRoute->timeoutMs);
  return std::min<Clock::duration>(
    kMaxQueueTime,
    std::chrono::duration_cast<Clock::duration>(kMaxQueueTimeShare * limit));
}

auto Forwarder::QueueLimit(const std::string& aService, Clock::time_point aNow)
  -> std::size_t
{
  std::size_t slots = 0;
  for (const auto* entry : m_targets.Candidates(aService, aNow)) {
    slots += entry->record.slots;
  }
  return std::max(kMinQueueLimit,
                  slots * kQueuedPacketsPerSlot / m_selector.Balancers());
}

/// Queues a first packet, which arrived at aArrivedAt, until a target has
/// capacity. The client waits up to 1.4 s for a response; if refused at once,
/// it would retry into the same overload.
auto Forwarder::Enqueue(const Packet& aPacket, const char* aData,
                        std::size_t aSize, const Route* aRoute,
                        Clock::time_point aArrivedAt) -> void
{
  const auto service = aRoute == nullptr
                         ? std::string()
                         : m_routes.ServiceFor(*aRoute, aPacket.flow);
  const auto limit = aRoute == nullptr ? kQueueLimitWithoutRoutes
                                       : QueueLimit(service, aArrivedAt);
  auto& queue = m_pendingFlows[service];
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
                 aArrivedAt - kCopySendOffset[CopyNumber(aPacket)], aArrivedAt,
                 aArrivedAt, aArrivedAt + MaxQueueTime(aRoute) },
               limit);
  if (refused) {
    RefuseQueued(*refused, service, Counter::FlowRefusedQueueFull, "queue-full",
                 aArrivedAt);
  }
}

auto Forwarder::ServePendingFlows(const std::string& aService,
                                  PendingFlowQueue& aQueue,
                                  std::vector<PendingFlow>& aServedFlows,
                                  Clock::time_point aNow) -> void
{
  while (auto pendingFlow = aQueue.Pop()) {
    const auto& packet = pendingFlow->packet;
    if (WasOpenedSinceArrival(*pendingFlow)) {
      continue;
    }
    if (DropIfMoved(*pendingFlow, aService, aNow)) {
      continue;
    }
    const auto* route = m_routes.Find(packet.flow.service);
    if (route == nullptr) {
      Refuse(packet, Counter::FlowRefusedNoRoute, "no-route");
      continue;
    }
    const auto selection = m_selector.Select(packet, *route, nullptr, aNow);
    if (selection.target != nullptr) {
      m_metrics.Observe(Latency::FlowWait, aNow - pendingFlow->arrivedAt);
      aServedFlows.push_back(std::move(*pendingFlow));
      auto& served = aServedFlows.back();
      if (served.sentAt < served.arrivedAt) {
        // The first copy that arrived here was not the client's first.
        ContestFlow(served.packet, aNow);
      }
      OpenFlowAt(*selection.target, served.packet, served.data.data(),
                 served.data.size(), aNow);
      continue;
    }
    if (selection.refusal != RefusalReason::Overloaded) {
      RefuseWithoutTarget(packet, selection.refusal);
      continue;
    }
    if (aService.empty()) {
      // The packet arrived before the routes and now waits for a target.
      Enqueue(packet, pendingFlow->data.data(), pendingFlow->data.size(), route,
              pendingFlow->arrivedAt);
      continue;
    }
    aQueue.Requeue(std::move(*pendingFlow));
    return;
  }
}

auto Forwarder::RefuseExpired(Clock::time_point aNow) -> void
{
  for (auto& [service, queue] : m_pendingFlows) {
    for (const auto& expired :
         queue.ExtractIf([aNow](const PendingFlow& aFlow) {
           return aFlow.refuseAt <= aNow;
         })) {
      RefuseQueued(expired, service, Counter::FlowRefusedWaited,
                   "waited-too-long", aNow);
    }
  }
}

auto Forwarder::RetryPendingFlows(Clock::time_point aNow) -> void
{
  if (m_routes.Current().version == 0) {
    return;
  }
  // The packet data must stay valid until the sink is flushed.
  std::vector<PendingFlow> served;
  served.reserve(PendingFlowCount());
  for (auto& [service, queue] : m_pendingFlows) {
    ServePendingFlows(service, queue, served, aNow);
  }
  if (!served.empty()) {
    m_sink.Flush();
  }
}

auto Forwarder::PendingFlowCount() const -> std::size_t
{
  std::size_t waiting = 0;
  for (const auto& [service, queue] : m_pendingFlows) {
    waiting += queue.Size();
  }
  return waiting;
}

} // namespace bramleylock::forward
