// Handles packets of open flows: forwards them and infers the state of the
// requests inside. Only packets from the client pass through the balancer: new
// client data indicates a request, and an acknowledgement of new target data
// indicates its response.

#include "bramleylock/Forward/Forwarder.h"

#include "bramleylock/Forward/SilenceWatch.h"
#include "bramleylock/Support/Log.h"

#include <fmt/format.h>

#include <algorithm>

namespace bramleylock::forward {

/// All flows move at the same time. A takeover is logged only if there was none
/// for this long before it.
static constexpr Milliseconds kMoveLasts{ 1000 };

/// While flows move between balancers, a request without a packet since the
/// move is assumed to be handled by another balancer after this time. The
/// platform's requests take 30 to 72 ms on average.
static constexpr Milliseconds kBusyMoved{ 150 };

/// The same for an idle flow: most pauses between requests are shorter.
static constexpr Milliseconds kIdleMoved{ 2000 };

/// Clients retransmit data 200 ms after sending it without an acknowledgement.
/// Repeated data that arrives sooner after the request had been delayed in this
/// machine's socket.
static constexpr Milliseconds kRepeatedAfter{ 150 };

/// Number of repeated requests, without a response in between, after which a
/// target is considered silent. A single one may be due to a lost packet.
static constexpr std::uint32_t kRepeatsOfSilence = 2;

/// Returns the signed distance of two sequence numbers; positive if aLeft is
/// after aRight.
static auto Distance(std::uint32_t aLeft, std::uint32_t aRight) -> std::int32_t
{
  return static_cast<std::int32_t>(aLeft - aRight);
}

/// Handles the first packet after the one that opened the flow: it shows which
/// target the client accepted.
auto Forwarder::Confirm(TrackedFlow& aFlow, DirectoryEntry& aTarget,
                        Clock::time_point aNow) -> void
{
  if (aFlow.confirmed) {
    return;
  }
  aFlow.confirmed = true;
  aFlow.opening.clear();
  m_flows.MoveTo(aFlow, aTarget);
  m_metrics.Observe(Latency::FlowOpening, aNow - aFlow.openedAt);
}

/// Records that the request of aFlow received a response.
auto Forwarder::NoteAnswer(TrackedFlow& aFlow, Clock::time_point aNow) -> void
{
  if (aFlow.phase == FlowPhase::Busy) {
    aFlow.route->work.TakeAnswer(aNow - aFlow.phaseSince);
    m_flows.SetIdle(aFlow, aNow);
  }
}

/// Handles a retransmission of a request that the target has not acknowledged.
/// If the target responds to other flows, a packet was lost; if it responds to
/// none, it may be gone.
auto Forwarder::NoteRepeated(TrackedFlow& aFlow, Clock::time_point aNow) -> void
{
  auto& target = *aFlow.target;
  auto& evidence = target.evidence;
  m_metrics.Add(Counter::RequestRepeated);
  if (evidence.answeredAt >= aFlow.phaseSince ||
      aNow - aFlow.phaseSince < kRepeatedAfter) {
    return;
  }
  ++evidence.repeatedRequests;
  if (WouldLog(LogLevel::Info, "request-repeated")) {
    LogInfo("request-repeated",
            { { "flow", FormatFlow(aFlow.id) },
              { "sequence", std::to_string(aFlow.sequence) },
              { "target", target.record.id },
              { "waited_ms", AgeText(aFlow.phaseSince, aNow) },
              { "unanswered", std::to_string(evidence.repeatedRequests) } });
  }
  m_onUnanswered(target);
  if (evidence.repeatedRequests >= kRepeatsOfSilence &&
      MarkSilent(evidence, aNow)) {
    m_onSilent(target);
  }
}

/// Handles client data: a new request, more data of the current one, or a
/// retransmission.
auto Forwarder::TakeData(TrackedFlow& aFlow, const Packet& aPacket,
                         bool aAnswered, Clock::time_point aNow) -> void
{
  if (Distance(aPacket.sequence, aFlow.sequence) <= 0) {
    if (aFlow.phase == FlowPhase::Busy && !aAnswered) {
      NoteRepeated(aFlow, aNow);
    }
    return;
  }
  aFlow.sequence = aPacket.sequence;
  if (aFlow.phase == FlowPhase::Quiet && aFlow.unanswered && !aAnswered) {
    // More data of a request for which the balancer no longer waits.
    return;
  }
  if (aFlow.phase == FlowPhase::Idle) {
    aFlow.route->work.TakePause(aNow - aFlow.phaseSince);
  }
  // The only acknowledgement of a response may be in the next request.
  if (aFlow.phase != FlowPhase::Busy || aAnswered) {
    m_flows.SetBusy(aFlow, aNow);
  }
}

/// Updates the flow from a client packet. Only an acknowledgement of new data
/// shows that the target responds: a client retransmits its own packets to a
/// failed target as well.
auto Forwarder::TakeProgress(TrackedFlow& aFlow, DirectoryEntry& aTarget,
                             const Packet& aPacket, Clock::time_point aNow)
  -> void
{
  const bool first = !aFlow.confirmed;
  const bool answered =
    !first && Distance(aPacket.acknowledgement, aFlow.acknowledged) > 0;
  m_flows.Touch(aFlow, aNow);
  Confirm(aFlow, aTarget, aNow);
  if (first || answered) {
    aFlow.acknowledged = aPacket.acknowledgement;
    aTarget.evidence.silentSince = {};
    aTarget.evidence.answeredAt = aNow;
    aTarget.evidence.repeatedRequests = 0;
  }
  if (first) {
    aFlow.sequence = aPacket.sequence;
    if (aPacket.carriesData) {
      m_flows.SetBusy(aFlow, aNow);
    } else {
      // The client has not sent a request yet.
      m_flows.SetIdle(aFlow, aNow);
      --aFlow.sequence;
    }
  } else if (aPacket.carriesData) {
    TakeData(aFlow, aPacket, answered, aNow);
  } else if (answered) {
    NoteAnswer(aFlow, aNow);
  }
  if (aPacket.ends || aPacket.resets) {
    if (!aFlow.ended) {
      aFlow.route->work.TakeEnd();
    }
    m_flows.End(aFlow);
  }
}

/// Starts tracking a flow that was opened at another balancer. This happens
/// when the set of balancers over which the platform hashes flows changes.
/// Nearly all flows move then, including those that were opened here.
auto Forwarder::TakeOver(const Packet& aPacket, DirectoryEntry& aTarget,
                         Clock::time_point aNow) -> void
{
  m_metrics.Add(Counter::FlowTakenOver);
  if (aNow - m_movedAt > kMoveLasts) {
    LogInfo("flows-move", { { "flow", FormatFlow(aPacket.flow) },
                            { "target", aTarget.record.id },
                            { "tracked", std::to_string(m_flows.Size()) } });
  }
  m_movedAt = aNow;
  if (aPacket.ends || aPacket.resets) {
    return;
  }
  auto& flow = m_flows.Open(aPacket.flow, aTarget, aNow);
  flow.confirmed = true;
  flow.acknowledged = aPacket.acknowledgement;
  flow.sequence = aPacket.sequence;
  if (!aPacket.carriesData) {
    // The request is in progress or complete, and its response may not be
    // visible here.
    m_flows.SetIdle(flow, aNow);
    --flow.sequence;
  }
}

/// Stops counting flows that probably moved to other balancers, which count
/// them now. Otherwise targets would appear busier than they are.
auto Forwarder::LeaveMoved(Clock::time_point aNow) -> void
{
  m_flows.QuietWithoutPacketSince(std::min(m_movedAt, aNow - kBusyMoved));
  m_flows.QuietIdleSince(std::min(m_movedAt, aNow - kIdleMoved));
}

/// Resets a flow whose target is unreachable if its client may retry at another
/// target; otherwise the client would retransmit its request until its
/// deadline. At-most-once requests are not retried once the flow was open, so
/// their flows wait for the target to return.
auto Forwarder::ResetUnreachable(const Packet& aPacket,
                                 const DirectoryEntry& aTarget,
                                 Clock::time_point aNow) -> bool
{
  const auto& evidence = aTarget.evidence;
  const auto* route = m_routes.Find(aPacket.flow.service);
  if (!aPacket.carriesData || aPacket.resets || route == nullptr ||
      route->Kind() == RequestKind::AtMostOnce ||
      !IsUnreachable(evidence, aNow)) {
    return false;
  }
  if (WouldLog(LogLevel::Info, "target-unreachable")) {
    LogInfo(
      "target-unreachable",
      { { "flow", FormatFlow(aPacket.flow) },
        { "target", aTarget.record.id },
        { "unanswered_checks", std::to_string(evidence.unansweredChecks) },
        { "checked_ms", AgeText(evidence.checkedAt, aNow) } });
  }
  Refuse(aPacket, Counter::FlowTargetUnreachable, "target-unreachable");
  if (auto* flow = m_flows.Find(aPacket.flow)) {
    m_flows.End(*flow);
  }
  return true;
}

auto Forwarder::DropUnknownTag(const Packet& aPacket) -> void
{
  m_metrics.Add(Counter::PacketTagUnknown);
  if (WouldLog(LogLevel::Info, "packet-dropped")) {
    LogInfo("packet-dropped", { { "flow", FormatFlow(aPacket.flow) },
                                { "tag", fmt::format("{:08x}", aPacket.tag) },
                                { "reason", "tag-unknown" } });
  }
}

auto Forwarder::OnOpenFlow(const Packet& aPacket, char* aData,
                           std::size_t aSize, Clock::time_point aNow) -> void
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
  auto* flow = m_flows.Find(aPacket.flow);
  DirectoryEntry* target = nullptr;
  if (flow != nullptr && flow->confirmed) {
    // A late response of the target that was tried first may have changed the
    // tag, so the tracked target takes precedence.
    target = flow->target;
  } else {
    target = m_targets.Lookup(aPacket.tag, aPacket.flow.service, m_routes);
  }
  if (target == nullptr) {
    DropUnknownTag(aPacket);
    return;
  }
  if (target->record.State() == TargetState::Dead) {
    if (!aPacket.resets) {
      Refuse(aPacket, Counter::FlowTargetDead, "target-dead");
    }
    return;
  }
  if (ResetUnreachable(aPacket, *target, aNow)) {
    return;
  }
  if (flow != nullptr) {
    TakeProgress(*flow, *target, aPacket, aNow);
  } else {
    TakeOver(aPacket, *target, aNow);
  }
  m_codec.SetTag(aData, target->tag);
  m_metrics.Add(Counter::PacketsForwarded);
  m_sink.ToTarget(*target, aData, aSize);
}

} // namespace bramleylock::forward
