// Selects a target for the first packet of each flow and writes its tag into
// the packet. Later packets carry the tag.

#include "bramleylock/Forward/Forwarder.h"

#include "bramleylock/Forward/SilentTargetProber.h"
#include "bramleylock/Support/Log.h"

#include <fmt/format.h>

#include <algorithm>

namespace bramleylock::forward {

/// Maximum number of tracked flows: 98 million open flows on 12,000 nodes are
/// 8,200 per node, with headroom for a failure domain that takes over the flows
/// of three others.
static constexpr std::size_t kMaxTrackedFlows = 32768;

/// Interval at which busy flows are checked for overdue responses.
static constexpr Milliseconds kOverdueCheckInterval{ 25 };

/// A flow without packets for this many mean think times is not expected to
/// send further requests.
static constexpr int kMaxThinkTimes = 5;

/// Additional time for which a flow is tracked beyond the idle timeout after
/// which its ends may discard it, because packets may still be in transit.
static constexpr Milliseconds kIdleTimeoutMargin{ 1000 };

Forwarder::Forwarder(const PacketCodec& aCodec, RouteTable& aRoutes,
                     TargetDirectory& aTargets, FlowChoice& aChoice,
                     PacketSink& aSink, Metrics& aMetrics,
                     ForwarderOptions aOptions)
  : m_codec(aCodec)
  , m_routes(aRoutes)
  , m_targets(aTargets)
  , m_sink(aSink)
  , m_metrics(aMetrics)
  , m_options(std::move(aOptions))
  , m_flows(kMaxTrackedFlows)
  , m_selector(m_routes, m_targets, aChoice, m_flows, m_options.failureDomain,
               m_options.warmUpTolerance, m_options.seed)
  , m_hedgeBudget(m_options.hedgePercent)
{
}

auto Forwarder::OnDatagram(char* aData, std::size_t aSize, Clock::duration aAge,
                           Clock::time_point aNow) -> void
{
  m_metrics.Add(Counter::PacketsReceived);
  const auto packet = m_codec.Decode(aData, aSize);
  if (!packet) {
    m_metrics.Add(Counter::PacketMalformed);
    return;
  }
  if (packet->opens) {
    OnFirstPacket(*packet, aData, aSize, aAge, aNow);
    return;
  }
  OnOpenFlowPacket(*packet, aData, aSize, aNow);
  if (packet->ends && !m_pendingFlows.empty()) {
    RetryPendingFlows(aNow);
  }
}

auto Forwarder::Refuse(const Packet& aPacket, Counter aCounter,
                       const char* aReason) -> void
{
  m_metrics.Add(aCounter);
  if (ShouldLog(LogLevel::Info, "flow-refused")) {
    LogInfo("flow-refused",
            { { "flow", FormatFlow(aPacket.flow) },
              { "sequence", std::to_string(aPacket.sequence) },
              { "copy", std::to_string(aPacket.acknowledgement) },
              { "reason", aReason },
              { "routes", std::to_string(m_routes.Current().version) } });
  }
  m_sink.SendToClient(aPacket.flow.client, m_codec.MakeReset(aPacket));
}

/// Refuses a first packet for whose service no target may get new flows.
auto Forwarder::RefuseWithoutTarget(const Packet& aPacket,
                                    RefusalReason aReason) -> void
{
  if (aReason == RefusalReason::Evacuated) {
    Refuse(aPacket, Counter::FlowRefusedEvacuated, "evacuated");
  } else if (aReason == RefusalReason::WarmingUp) {
    Refuse(aPacket, Counter::FlowRefusedWarmUp, "warming-up");
  } else {
    Refuse(aPacket, Counter::FlowRefusedNoTarget, "no-target");
  }
}

/// Returns the target for a further copy of a first packet. Copies go to the
/// target of the first copy, so that two targets do not both hold the flow,
/// unless that target sent nothing while the client was waiting.
auto Forwarder::TargetForCopy(TrackedFlow& aFlow, const Packet& aPacket,
                              const Route& aRoute, Clock::time_point aNow)
  -> DirectoryEntry*
{
  auto& target = *aFlow.target;
  const bool hasResponded = target.stats.lastResponseAt >= aFlow.openedAt;
  const bool acceptsFlows = m_targets.MayOpenFlows(target, aNow);
  if (acceptsFlows &&
      (hasResponded ||
       aNow - aFlow.openedAt < m_roundTrips.Timeout(aFlow.id.client.ip))) {
    m_metrics.Add(Counter::FlowCopies);
    return &target;
  }
  auto* other = m_selector.Select(aPacket, aRoute, &target, aNow).target;
  if (other == nullptr) {
    return acceptsFlows ? &target : nullptr;
  }
  m_metrics.Add(Counter::FlowMoved);
  LogInfo("flow-moved",
          { { "flow", FormatFlow(aPacket.flow) },
            { "from", target.record.id },
            { "to", other->record.id },
            { "waited_ms", FormatElapsedMs(aFlow.openedAt, aNow) },
            { "state", std::string(
                         NameOf(kTargetStateNames, target.record.State())) } });
  return other;
}

/// Starts tracking a flow with what is known about its client and its route.
auto Forwarder::TrackFlow(const Packet& aPacket, DirectoryEntry& aTarget,
                          Clock::time_point aNow) -> TrackedFlow&
{
  auto& flow = m_flows.Open(aPacket.flow, aTarget,
                            m_roundTrips.Mean(aPacket.flow.client.ip), aNow);
  if (const auto* route = m_routes.Find(aPacket.flow.service)) {
    flow.route->requestStats.SetTimeLimit(Milliseconds(route->timeoutMs));
  }
  return flow;
}

/// Sends a flow that its first target did not open to another one.
auto Forwarder::ReopenFlowAt(DirectoryEntry& aTarget, const TrackedFlow& aFlow,
                             const Packet& aFirstPacket, Clock::time_point aNow)
  -> void
{
  ContestFlow(aFirstPacket, aNow);
  const auto before = aFlow;
  auto& flow = m_flows.Open(before.id, aTarget, before.roundTrip, aNow);
  flow.firstPacket = before.firstPacket;
  flow.firstSentAt = before.firstSentAt;
  flow.hedgeTag = before.hedgeTag;
  flow.repeated = true;
}

auto Forwarder::AwaitFirstResponse(const FlowId& aFlow, bool aResent,
                                   Clock::time_point aNow) -> void
{
  m_unansweredFirstPackets.emplace(
    aNow + m_roundTrips.Timeout(aFlow.client.ip),
    UnansweredFirstPacket{ aFlow, aNow, aResent });
}

auto Forwarder::OpenFlowAt(DirectoryEntry& aTarget, const Packet& aPacket,
                           char* aData, std::size_t aSize,
                           Clock::time_point aNow) -> void
{
  auto* known = m_flows.Find(aPacket.flow);
  if (known == nullptr || known->confirmed) {
    auto& flow = TrackFlow(aPacket, aTarget, aNow);
    flow.firstPacket.assign(aData, aSize);
    PrepareHedge(flow);
    m_metrics.Add(Counter::FlowsOpened);
  } else if (known->target != &aTarget) {
    ReopenFlowAt(aTarget, *known, aPacket, aNow);
    m_metrics.Add(Counter::FlowsOpened);
  } else {
    m_flows.SetBusy(*known, aNow);
    known->repeated = true;
  }
  m_selector.RecordRequest(aTarget, aNow);
  AwaitFirstResponse(aPacket.flow, false, aNow);
  m_codec.SetTag(aData, OpeningTag(aTarget.tag, aPacket.sequence));
  m_metrics.Add(Counter::PacketsForwarded);
  m_sink.SendToTarget(aTarget, aData, aSize);
}

/// Returns whether a first packet is a copy that arrives behind later packets
/// of its flow, which another copy has opened. In a first packet, the
/// acknowledgement number is the number of the copy.
static auto IsLateCopy(const Packet& aPacket, const TrackedFlow& aFlow,
                       Clock::time_point aNow) -> bool
{
  return aFlow.confirmed && aPacket.acknowledgement > 0 &&
         aNow - aFlow.openedAt < kFirstPacketLifetime;
}

auto Forwarder::OnFirstPacket(const Packet& aPacket, char* aData,
                              std::size_t aSize, Clock::duration aAge,
                              Clock::time_point aNow) -> void
{
  if (DropIfStale(aPacket, aAge)) {
    return;
  }
  if (m_routes.Current().version == 0) {
    Enqueue(aPacket, aData, aSize, nullptr, aNow - aAge);
    return;
  }
  auto* known = FindTracked(aPacket.flow);
  if ((known != nullptr && IsLateCopy(aPacket, *known, aNow)) ||
      IsSettled(aPacket)) {
    m_metrics.Add(Counter::FlowCopies);
    return;
  }
  // Ignore the tag in the packet: the flow has no target yet.
  const auto* route = m_routes.Find(aPacket.flow.service);
  if (route == nullptr) {
    Refuse(aPacket, Counter::FlowRefusedNoRoute, "no-route");
    return;
  }
  if (known != nullptr && !known->confirmed) {
    if (auto* target = TargetForCopy(*known, aPacket, *route, aNow)) {
      OpenFlowAt(*target, aPacket, aData, aSize, aNow);
    }
    return;
  }
  if (HasQueuedPackets(*route, aPacket)) {
    // Queue the packet behind those that are already waiting.
    Enqueue(aPacket, aData, aSize, route, aNow - aAge);
    RetryPendingFlows(aNow);
    return;
  }
  const auto selection = m_selector.Select(aPacket, *route, nullptr, aNow);
  if (selection.target != nullptr) {
    if (aPacket.acknowledgement > 0) {
      // A peer may have sent an earlier copy to another target.
      ContestFlow(aPacket, aNow);
    }
    OpenFlowAt(*selection.target, aPacket, aData, aSize, aNow);
  } else if (selection.refusal == RefusalReason::Overloaded) {
    Enqueue(aPacket, aData, aSize, route, aNow - aAge);
  } else {
    RefuseWithoutTarget(aPacket, selection.refusal);
  }
}

/// Resends a first packet that was not answered. It goes to the same target if
/// that target responds to other flows, which indicates packet loss, and
/// otherwise to another target. The client itself retransmits only after 200
/// ms.
auto Forwarder::ResendFirstPacket(TrackedFlow& aFlow, Clock::time_point aNow)
  -> void
{
  auto& target = *aFlow.target;
  auto data = aFlow.firstPacket;
  const auto packet = m_codec.Decode(data.data(), data.size());
  const auto* route = m_routes.Find(aFlow.id.service);
  if (!packet || route == nullptr) {
    return;
  }
  auto* nextTarget = &target;
  if (target.stats.lastResponseAt < aFlow.openedAt) {
    if (MarkSilent(target.stats, aNow)) {
      m_silentTargetListener(target);
    }
    nextTarget = TargetForCopy(aFlow, *packet, *route, aNow);
  } else if (!m_targets.MayOpenFlows(target, aNow)) {
    nextTarget = TargetForCopy(aFlow, *packet, *route, aNow);
  }
  if (nextTarget == nullptr) {
    return;
  }
  m_metrics.Add(Counter::FlowRepeated);
  if (nextTarget != &target) {
    m_selector.RecordRequest(*nextTarget, aNow);
    ReopenFlowAt(*nextTarget, aFlow, *packet, aNow);
  } else {
    aFlow.repeated = true;
  }
  m_codec.SetTag(data.data(), OpeningTag(nextTarget->tag, packet->sequence));
  m_sink.SendToTarget(*nextTarget, data.data(), data.size());
  m_sink.Flush();
}

auto Forwarder::ResendUnanswered(Clock::time_point aNow) -> void
{
  DeactivateMovedFlows(aNow);
  if (aNow - m_lastOverdueCheckAt > kOverdueCheckInterval) {
    m_lastOverdueCheckAt = aNow;
    m_flows.RaiseLoadOfOverdue(aNow);
  }
  while (!m_unansweredFirstPackets.empty() &&
         m_unansweredFirstPackets.begin()->first < aNow) {
    const auto unanswered =
      m_unansweredFirstPackets.extract(m_unansweredFirstPackets.begin())
        .mapped();
    auto* flow = FindTracked(unanswered.flow);
    if (flow == nullptr || flow->confirmed) {
      continue;
    }
    if (unanswered.resent || m_lastTakeoverAt >= unanswered.sentAt ||
        m_lastPauseAt > unanswered.sentAt) {
      // The client may have gone away, or its packets may now arrive at another
      // balancer. If it still needs a response, its next copy will arrive here.
      m_flows.SetInactive(*flow);
      continue;
    }
    ResendFirstPacket(*flow, aNow);
    AwaitFirstResponse(unanswered.flow, true, aNow);
  }
  // Behind the resent packets: a first packet that was resent is not hedged.
  SendDueHedges(aNow);
  SendContestedFlowNews();
}

auto Forwarder::SetSilentTargetListener(
  std::function<void(DirectoryEntry&)> aListener) -> void
{
  m_silentTargetListener = std::move(aListener);
}

auto Forwarder::SetUnansweredRequestListener(
  std::function<void(DirectoryEntry&)> aListener) -> void
{
  m_unansweredRequestListener = std::move(aListener);
}

auto Forwarder::SetBalancers(std::size_t aCount,
                             std::map<std::string, std::size_t> aByDomain)
  -> void
{
  m_selector.SetBalancers(aCount, std::move(aByDomain));
}

auto Forwarder::SetDomainBalancers(DomainBalancers aBalancers) -> void
{
  m_selector.SetDomainBalancers(std::move(aBalancers));
}

/// Returns how long a flow without packets is tracked: its ends may discard it
/// after the configured idle timeout.
auto Forwarder::InactiveFlowRetention() const -> Clock::duration
{
  const Milliseconds idle(m_routes.Current().idleTimeoutMs);
  if (idle.count() == 0) {
    return m_options.maxFlowLifetime;
  }
  return std::min<Clock::duration>(m_options.maxFlowLifetime,
                                   idle + kIdleTimeoutMargin);
}

auto Forwarder::Expire(Clock::time_point aNow) -> void
{
  RefuseExpired(aNow);
  std::erase_if(m_pendingFlows,
                [](const auto& aRow) { return aRow.second.Size() == 0; });
  m_metrics.Add(Counter::FlowAnswerUnseen, m_flows.DeactivateTimedOut(aNow));
  m_longestThinkTime = m_flows.LongestThinkTime();
  m_flows.DeactivateIdleSince(aNow - kMaxThinkTimes * m_longestThinkTime);
  m_metrics.Add(Counter::FlowEvicted, m_flows.ConsumeEvictedCount());
  m_flows.RemoveInactiveSince(aNow - InactiveFlowRetention());
  // The extra second ensures that no flow refers to a directory entry that has
  // been removed.
  const auto keep = m_options.maxFlowLifetime + std::chrono::seconds(1);
  if (const auto limit = aNow - m_options.maxFlowLifetime;
      m_targets.HasDepartedBefore(limit)) {
    m_flows.RemoveFlowsOfTargetsDepartedBefore(limit);
  }
  m_contestedFlows.Expire(aNow - m_options.maxFlowLifetime);
  m_uncertainPackets.Expire(aNow - kFirstPacketLifetime);
  m_roundTrips.RemoveUnusedSince(aNow - m_options.maxFlowLifetime);
  m_targets.Expire(keep, aNow);
  m_routes.Expire(keep, aNow);
  m_selector.Expire(aNow);
  RetryPendingFlows(aNow);
  m_sink.Flush();
}

auto Forwarder::Flows() const -> const FlowTable&
{
  return m_flows;
}

} // namespace bramleylock::forward
