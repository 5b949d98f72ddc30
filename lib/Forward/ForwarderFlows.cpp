// Handles packets of open flows: forwards them and infers the state of the
// requests inside. Only packets from the client pass through the balancer: new
// client data indicates a request, and an acknowledgement of new target data
// indicates its response.

#include "bramleylock/Forward/Forwarder.h"

#include "bramleylock/Forward/SilentTargetProber.h"
#include "bramleylock/Support/Log.h"

#include <fmt/format.h>

#include <algorithm>

namespace bramleylock::forward {

/// All flows move at the same time. A takeover is logged only if there was none
/// for this long before it.
static constexpr Milliseconds kTakeoverLogInterval{ 1000 };

/// Number of mean think times after which an idle flow without a packet since
/// the move is assumed to be at another balancer: most pauses between requests
/// are shorter.
static constexpr int kMovedIdleThinkTimes = 2;

/// Number of repeated requests, without a response in between, after which a
/// target is considered silent. A single one may be due to a lost packet.
static constexpr std::uint32_t kRetransmissionsUntilSilent = 2;

/// Returns the signed distance of two sequence numbers; positive if aLeft is
/// after aRight.
static auto SequenceDistance(std::uint32_t aLeft, std::uint32_t aRight)
  -> std::int32_t
{
  return static_cast<std::int32_t>(aLeft - aRight);
}

/// Records the time from the flow's first packet to the client's reaction. If
/// the first packet was repeated, that time may be too long. It is used only if
/// nothing is known about the client: one whose round trip exceeds the interval
/// of its own repetitions gives no other sample.
auto Forwarder::RecordRoundTrip(const TrackedFlow& aFlow,
                                Clock::time_point aNow) -> void
{
  const auto client = aFlow.id.client.ip;
  if (!aFlow.repeated || !m_roundTrips.Contains(client)) {
    m_roundTrips.Record(client, aNow - aFlow.firstSentAt, aNow);
  }
}

/// Records that a target answered a packet that was sent at aSentAt or later.
static auto RecordAnsweredSend(TargetStats& aStats, Clock::time_point aSentAt)
  -> void
{
  aStats.answeredSendAt = std::max(aStats.answeredSendAt, aSentAt);
}

/// Handles the first packet after the one that opened the flow: it shows which
/// target the client accepted.
auto Forwarder::ConfirmTarget(TrackedFlow& aFlow, DirectoryEntry& aTarget,
                              Clock::time_point aNow) -> void
{
  if (aFlow.confirmed) {
    return;
  }
  aFlow.confirmed = true;
  aFlow.firstPacket.clear();
  RecordRoundTrip(aFlow, aNow);
  if (aFlow.target == &aTarget) {
    RecordAnsweredSend(aTarget.stats,
                       aFlow.repeated ? aFlow.firstSentAt : aFlow.openedAt);
  }
  if (aFlow.hedgeTag != 0 && aFlow.hedgeTag == aTarget.tag) {
    m_metrics.Add(Counter::HedgesWon);
  }
  aFlow.roundTrip = m_roundTrips.Mean(aFlow.id.client.ip);
  m_flows.AssignTarget(aFlow, aTarget);
  m_metrics.Observe(Latency::FlowOpening, aNow - aFlow.openedAt);
}

/// Adds a response time to the estimates of the route and of the target.
auto Forwarder::RecordResponseTime(const TrackedFlow& aFlow,
                                   estimate::Duration aResponseTime,
                                   Clock::time_point aNow) -> void
{
  auto& requestStats = aFlow.route->requestStats;
  const auto& usual = requestStats.ServiceTime();
  if (usual.IsSettled() && usual.Mean().count() > 0) {
    const std::chrono::duration<double> serviceTime =
      aResponseTime - aFlow.roundTrip;
    m_selector.RecordSlowness(*aFlow.target, serviceTime / usual.Mean(), aNow);
  }
  requestStats.RecordResponse(aResponseTime, aFlow.roundTrip);
}

/// Records that the request of aFlow received a response. One that arrives
/// after its timeout is recorded as well, so that the timeout can grow, unless
/// the beginning of the response may have been seen by another balancer.
auto Forwarder::OnResponse(TrackedFlow& aFlow, Clock::time_point aNow) -> void
{
  const bool timedOut = aFlow.phase == FlowPhase::Inactive &&
                        aFlow.lastRequestUnanswered && !aFlow.ended &&
                        m_lastTakeoverAt < aFlow.phaseSince;
  if (aFlow.phase != FlowPhase::Busy && !timedOut) {
    return;
  }
  if (m_roundTrips.AdmitSharedSample(aFlow.id.client.ip, aNow)) {
    RecordResponseTime(aFlow, aNow - aFlow.phaseSince, aNow);
  }
  m_flows.SetIdle(aFlow, aNow);
}

/// Handles a retransmission of a request that the target has not acknowledged.
/// If the target responds to other flows, a packet was lost; if it responds to
/// none, it may be gone.
auto Forwarder::OnRetransmission(TrackedFlow& aFlow, Clock::time_point aNow)
  -> void
{
  auto& target = *aFlow.target;
  auto& stats = target.stats;
  m_metrics.Add(Counter::RequestRepeated);
  // A client that is farther away than the interval of its retransmissions
  // repeats each request before it can know of the response.
  const auto minDelay = std::max<Clock::duration>(
    kMinRepetitionDelay, m_roundTrips.Timeout(aFlow.id.client.ip));
  if (stats.lastResponseAt >= aFlow.phaseSince ||
      aNow - aFlow.phaseSince < minDelay) {
    return;
  }
  ++stats.retransmittedRequests;
  if (ShouldLog(LogLevel::Info, "request-repeated")) {
    LogInfo("request-repeated",
            { { "flow", FormatFlow(aFlow.id) },
              { "sequence", std::to_string(aFlow.sequence) },
              { "target", target.record.id },
              { "waited_ms", FormatElapsedMs(aFlow.phaseSince, aNow) },
              { "unanswered", std::to_string(stats.retransmittedRequests) } });
  }
  m_unansweredRequestListener(target);
  if (stats.retransmittedRequests >= kRetransmissionsUntilSilent &&
      MarkSilent(stats, aNow)) {
    m_silentTargetListener(target);
  }
}

/// Handles client data: a new request, more data of the current one, or a
/// retransmission.
auto Forwarder::OnClientData(TrackedFlow& aFlow, const Packet& aPacket,
                             bool aHasNewAcknowledgement,
                             Clock::time_point aNow) -> void
{
  if (SequenceDistance(aPacket.sequence, aFlow.sequence) <= 0) {
    if (aFlow.phase == FlowPhase::Busy && !aHasNewAcknowledgement) {
      OnRetransmission(aFlow, aNow);
    }
    return;
  }
  aFlow.sequence = aPacket.sequence;
  if (aFlow.phase == FlowPhase::Inactive && aFlow.lastRequestUnanswered &&
      !aHasNewAcknowledgement) {
    // More data of a request for which the balancer no longer waits.
    return;
  }
  const bool wasIdle =
    aFlow.phase == FlowPhase::Idle ||
    (aFlow.phase == FlowPhase::Inactive && !aFlow.lastRequestUnanswered &&
     !aFlow.ended && m_lastTakeoverAt < aFlow.phaseSince);
  if (wasIdle && aFlow.requests > 0) {
    aFlow.route->requestStats.RecordNextRequest(aNow - aFlow.phaseSince);
  }
  // The only acknowledgement of a response may be in the next request.
  if (aFlow.phase != FlowPhase::Busy || aHasNewAcknowledgement) {
    if (aFlow.requests > 0) {
      m_selector.RecordRequest(*aFlow.target, aNow);
    }
    m_flows.BeginRequest(aFlow, aNow);
  }
}

/// Updates the flow from a client packet. Only an acknowledgement of new data
/// shows that the target responds: a client retransmits its own packets to a
/// failed target as well.
auto Forwarder::UpdateFlow(TrackedFlow& aFlow, DirectoryEntry& aTarget,
                           const Packet& aPacket, Clock::time_point aNow)
  -> void
{
  const bool confirmsTarget = !aFlow.confirmed;
  const bool hasNewAcknowledgement =
    !confirmsTarget &&
    SequenceDistance(aPacket.acknowledgement, aFlow.acknowledged) > 0;
  // The request of a flow that has just been taken over may be a repetition,
  // and the answer may belong to its first copy, which another balancer sent.
  if (hasNewAcknowledgement && aFlow.phase == FlowPhase::Busy &&
      aFlow.phaseSince > aFlow.openedAt) {
    RecordAnsweredSend(aTarget.stats, aFlow.phaseSince);
  }
  m_flows.RecordPacket(aFlow, aNow);
  ConfirmTarget(aFlow, aTarget, aNow);
  if (confirmsTarget || hasNewAcknowledgement) {
    aFlow.acknowledged = aPacket.acknowledgement;
    EndSilence(aTarget, m_targets, m_routes, aNow);
    aTarget.stats.lastResponseAt = aNow;
    aTarget.stats.retransmittedRequests = 0;
  }
  if (confirmsTarget) {
    aFlow.sequence = aPacket.sequence;
    if (aPacket.carriesData) {
      m_flows.BeginRequest(aFlow, aNow);
    } else {
      // The client has not sent a request yet.
      m_flows.SetIdle(aFlow, aNow);
      --aFlow.sequence;
    }
  } else if (aPacket.carriesData) {
    OnClientData(aFlow, aPacket, hasNewAcknowledgement, aNow);
  } else if (hasNewAcknowledgement) {
    OnResponse(aFlow, aNow);
  }
  if (aPacket.ends || aPacket.resets) {
    if (!aFlow.ended) {
      aFlow.route->requestStats.RecordFlowEnd();
    }
    m_flows.MarkEnded(aFlow);
  }
}

/// Starts tracking a flow that was opened at another balancer. This happens
/// when the set of balancers over which the platform hashes flows changes.
/// Nearly all flows move then, including those that were opened here.
auto Forwarder::TakeOverFlow(const Packet& aPacket, DirectoryEntry& aTarget,
                             Clock::time_point aNow) -> void
{
  m_metrics.Add(Counter::FlowTakenOver);
  if (aNow - m_lastTakeoverAt > kTakeoverLogInterval) {
    LogInfo("flows-move", { { "flow", FormatFlow(aPacket.flow) },
                            { "target", aTarget.record.id },
                            { "tracked", std::to_string(m_flows.Size()) } });
  }
  m_lastTakeoverAt = aNow;
  if (aPacket.ends || aPacket.resets) {
    return;
  }
  auto& flow = TrackFlow(aPacket, aTarget, aNow);
  flow.confirmed = true;
  // Earlier requests were seen by other balancers.
  flow.requests = 1;
  flow.acknowledged = aPacket.acknowledgement;
  flow.sequence = aPacket.sequence;
  if (aPacket.carriesData) {
    m_selector.RecordRequest(aTarget, aNow);
    m_flows.BeginRequest(flow, aNow);
  } else {
    // The request is in progress or complete, and its response may not be
    // visible here.
    m_flows.SetIdle(flow, aNow);
    --flow.sequence;
  }
}

/// Stops counting flows that probably moved to other balancers, which count
/// them now. Otherwise targets would appear busier than they are.
auto Forwarder::DeactivateMovedFlows(Clock::time_point aNow) -> void
{
  m_flows.DeactivateMovedBusy(m_lastTakeoverAt, aNow);
  m_flows.DeactivateIdleSince(std::min(
    m_lastTakeoverAt, aNow - kMovedIdleThinkTimes * m_longestThinkTime));
}

/// Returns whether the client of aFlow reacts to a first packet that aTarget
/// answered although it was sent after the last health check.
static auto ShowsAnswerSinceCheck(const TrackedFlow& aFlow,
                                  const DirectoryEntry& aTarget) -> bool
{
  const auto sentAt =
    aFlow.target == &aTarget ? aFlow.openedAt : aFlow.firstSentAt;
  return !aFlow.confirmed && sentAt >= aTarget.stats.lastCheckSentAt;
}

/// Resets a flow whose target is unreachable if its client may retry at another
/// target; otherwise the client would retransmit its request until its
/// deadline. At-most-once requests are not retried once the flow was open, so
/// their flows wait for the target to return.
auto Forwarder::ResetIfUnreachable(const Packet& aPacket,
                                   const DirectoryEntry& aTarget,
                                   Clock::time_point aNow) -> bool
{
  const auto& stats = aTarget.stats;
  const auto* route = m_routes.Find(aPacket.flow.service);
  if (!aPacket.carriesData || aPacket.resets || route == nullptr ||
      route->Kind() == RequestKind::AtMostOnce || !IsUnreachable(stats, aNow)) {
    return false;
  }
  if (ShouldLog(LogLevel::Info, "target-unreachable")) {
    LogInfo("target-unreachable",
            { { "flow", FormatFlow(aPacket.flow) },
              { "target", aTarget.record.id },
              { "unreachable_checks", std::to_string(stats.unreachableChecks) },
              { "checked_ms", FormatElapsedMs(stats.lastCheckAt, aNow) } });
  }
  Refuse(aPacket, Counter::FlowTargetUnreachable, "target-unreachable");
  if (auto* flow = m_flows.Find(aPacket.flow)) {
    m_flows.MarkEnded(*flow);
  }
  return true;
}

/// Logs why a packet is refused because its target has ended: the incarnation
/// that the packet names, the latest one of its id and the present owner of its
/// address.
auto Forwarder::LogDeadTarget(const Packet& aPacket,
                              const DirectoryEntry& aTarget,
                              Clock::time_point aNow) -> void
{
  if (!ShouldLog(LogLevel::Info, "target-dead")) {
    return;
  }
  const auto& record = aTarget.record;
  const auto* latest = m_targets.Find(record.id);
  const auto* owner = m_targets.OwnerOf(record.EndpointAddress());
  const auto* flow = m_flows.Find(aPacket.flow);
  LogInfo("target-dead",
          { { "flow", FormatFlow(aPacket.flow) },
            { "tag", fmt::format("{:08x}", aPacket.tag) },
            { "target", record.id },
            { "incarnation", std::to_string(record.incarnation) },
            { "address", FormatAddress(record.EndpointAddress()) },
            { "dead_ms", FormatElapsedMs(aTarget.departedAt, aNow) },
            { "latest", latest == nullptr
                          ? std::string()
                          : std::to_string(latest->record.incarnation) },
            { "owner", owner == nullptr ? std::string() : owner->record.id },
            { "opened_ms", flow == nullptr
                             ? std::string()
                             : FormatElapsedMs(flow->openedAt, aNow) } });
}

auto Forwarder::DropPacket(const Packet& aPacket, Counter aCounter,
                           const char* aReason) -> void
{
  m_metrics.Add(aCounter);
  if (ShouldLog(LogLevel::Info, "packet-dropped")) {
    LogInfo("packet-dropped",
            { { "flow", FormatFlow(aPacket.flow) },
              { "tag", fmt::format("{:08x}", aPacket.tag) },
              { "sequence", std::to_string(aPacket.sequence) },
              { "data", aPacket.carriesData ? "true" : "false" },
              { "ends", aPacket.ends || aPacket.resets ? "true" : "false" },
              { "reason", aReason } });
  }
}

/// Returns the incarnation that serves the flows of aTarget. A target that
/// started again under its id and address may have opened flows before its new
/// record arrived here, and only the target itself knows which ones: it resets
/// the flows that it does not hold.
auto Forwarder::ServingIncarnation(DirectoryEntry& aTarget,
                                   const Address& aService) -> DirectoryEntry&
{
  const auto& record = aTarget.record;
  if (record.State() != TargetState::Dead) {
    return aTarget;
  }
  auto* latest = m_targets.Find(record.id);
  const bool serves =
    latest != nullptr &&
    latest->record.EndpointAddress() == record.EndpointAddress() &&
    m_routes.Allows(aService, latest->record.service);
  return serves ? *latest : aTarget;
}

/// Returns the tracked flow, assigned to the incarnation that serves it, or
/// null.
auto Forwarder::FindTracked(const FlowId& aFlow) -> TrackedFlow*
{
  auto* flow = m_flows.Find(aFlow);
  if (flow != nullptr) {
    m_flows.AssignTarget(*flow,
                         ServingIncarnation(*flow->target, aFlow.service));
  }
  return flow;
}

auto Forwarder::OnOpenFlowPacket(const Packet& aPacket, char* aData,
                                 std::size_t aSize, Clock::time_point aNow)
  -> void
{
  const auto state = m_routes.StateOf(aPacket.flow.service);
  if (state == RouteState::Removed) {
    if (!aPacket.resets) {
      Refuse(aPacket, Counter::FlowRouteRemoved, "route-removed");
    }
    return;
  }
  if (state == RouteState::Unknown) {
    // The route may be part of a configuration version that this balancer has
    // not received yet, in which case the flow is valid.
    m_metrics.Add(Counter::PacketRouteUnknown);
    return;
  }
  auto* flow = FindTracked(aPacket.flow);
  // A late response of the target that was tried first may have changed the
  // tag, so the tracked target takes precedence.
  const auto found = flow != nullptr && flow->confirmed
                       ? TargetOfTag{ flow->target, false }
                       : TargetOf(aPacket, flow, aNow);
  auto* target = found.target;
  if (target == nullptr) {
    if (found.uncertain) {
      DropPacket(aPacket, Counter::PacketTagUncertain, "tag-uncertain");
    } else {
      DropPacket(aPacket, Counter::PacketTagUnknown, "tag-unknown");
    }
    return;
  }
  auto& serving = ServingIncarnation(*target, aPacket.flow.service);
  if (&serving != target) {
    m_metrics.Add(Counter::PacketEarlierIncarnation);
    target = &serving;
  }
  if (target->record.State() == TargetState::Dead) {
    if (!aPacket.resets) {
      LogDeadTarget(aPacket, *target, aNow);
      Refuse(aPacket, Counter::FlowTargetDead, "target-dead");
    }
    return;
  }
  const bool hasAnswered =
    flow != nullptr && ShowsAnswerSinceCheck(*flow, *target);
  if (!hasAnswered && ResetIfUnreachable(aPacket, *target, aNow)) {
    return;
  }
  SettleContestedFlow(aPacket, *target);
  if (flow != nullptr) {
    UpdateFlow(*flow, *target, aPacket, aNow);
  } else {
    TakeOverFlow(aPacket, *target, aNow);
  }
  m_codec.SetTag(aData, target->tag);
  m_metrics.Add(Counter::PacketsForwarded);
  m_sink.SendToTarget(*target, aData, aSize);
}

} // namespace bramleylock::forward
