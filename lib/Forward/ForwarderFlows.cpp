// Packets of open flows: where they go, and what they show of the requests
// inside. Only one direction passes here: a request is seen as new data of the
// client, its answer as an acknowledgement of new data of the target.

#include "bramleylock/Forward/Forwarder.h"

#include "bramleylock/Forward/SilenceWatch.h"
#include "bramleylock/Support/Log.h"

#include <fmt/format.h>

#include <algorithm>

namespace bramleylock::forward {

/// Flows move at once; when none has for this long, the next move is logged.
static constexpr Milliseconds kMoveLasts{ 1000 };

/// While flows move between the balancers, a request that had no packet since
/// they did is another's after this: the mean work of the platform's requests
/// takes 30 to 72 ms.
static constexpr Milliseconds kBusyMoved{ 150 };

/// The same for an idle flow: most pauses are over by then.
static constexpr Milliseconds kIdleMoved{ 2000 };

/// Clients send data again 200 ms after it had no acknowledgement; what comes
/// sooner after the request waited in this machine's socket.
static constexpr Milliseconds kRepeatedAfter{ 150 };

/// Repeated requests, none answered between them, that make a target silent.
/// One alone may be a lost packet.
static constexpr std::uint32_t kRepeatsOfSilence = 2;

/// Positive when aLeft comes after aRight.
static auto Distance(std::uint32_t aLeft, std::uint32_t aRight) -> std::int32_t
{
  return static_cast<std::int32_t>(aLeft - aRight);
}

/// The first packet after the opening one shows which target the client took.
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

/// The request of aFlow has its answer.
auto Forwarder::NoteAnswer(TrackedFlow& aFlow, Clock::time_point aNow) -> void
{
  if (aFlow.phase == FlowPhase::Busy) {
    aFlow.route->work.TakeAnswer(aNow - aFlow.phaseSince);
    m_flows.SetIdle(aFlow, aNow);
  }
}

/// The client repeats a request that its target did not acknowledge. A target
/// that answers others meanwhile lost a packet; one that answers nobody may be
/// gone.
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
  if (ShouldLog(LogLevel::Info, "request-repeated")) {
    LogInfo("request-repeated",
            { { "flow", FormatFlow(aFlow.id) },
              { "sequence", std::to_string(aFlow.sequence) },
              { "target", target.record.id },
              { "waited_ms", FormatElapsedMs(aFlow.phaseSince, aNow) },
              { "unanswered", std::to_string(evidence.repeatedRequests) } });
  }
  m_onUnanswered(target);
  if (evidence.repeatedRequests >= kRepeatsOfSilence &&
      MarkSilent(evidence, aNow)) {
    m_onSilent(target);
  }
}

/// Data of the client: a new request, more of one, or a repetition.
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
    // More of a request that was given up.
    return;
  }
  if (aFlow.phase == FlowPhase::Idle) {
    aFlow.route->work.TakePause(aNow - aFlow.phaseSince);
  }
  // An answer may be acknowledged by the next request alone.
  if (aFlow.phase != FlowPhase::Busy || aAnswered) {
    m_flows.SetBusy(aFlow, aNow);
  }
}

/// Only what the client acknowledges anew shows that the target answers: a
/// client repeats its own packets towards a dead one as well.
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
      // It asks nothing yet.
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

/// A flow that was opened through another balancer comes here when the platform
/// hashes over other balancers than before. Then nearly all flows move, those
/// that were opened here too.
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
    // The request is in work or done, and its end may not be seen.
    m_flows.SetIdle(flow, aNow);
    --flow.sequence;
  }
}

/// Gives up the count of flows that probably moved to other balancers, which
/// count them now; else targets look busy here that are not.
auto Forwarder::LeaveMoved(Clock::time_point aNow) -> void
{
  m_flows.QuietWithoutPacketSince(std::min(m_movedAt, aNow - kBusyMoved));
  m_flows.QuietIdleSince(std::min(m_movedAt, aNow - kIdleMoved));
}

/// Ends a flow whose target is out of reach, where its client may ask again
/// elsewhere; else the client would repeat its request until its deadline. What
/// may run only once is not asked again after a flow was open, and waits for
/// the target to come back.
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
  if (ShouldLog(LogLevel::Info, "target-unreachable")) {
    LogInfo(
      "target-unreachable",
      { { "flow", FormatFlow(aPacket.flow) },
        { "target", aTarget.record.id },
        { "unanswered_checks", std::to_string(evidence.unansweredChecks) },
        { "checked_ms", FormatElapsedMs(evidence.checkedAt, aNow) } });
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
  if (ShouldLog(LogLevel::Info, "packet-dropped")) {
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
    // The route may stand in a version that has not come here yet, and then
    // the flow is sound.
    m_metrics.Add(Counter::PacketRouteUnknown);
    return;
  }
  auto* flow = m_flows.Find(aPacket.flow);
  DirectoryEntry* target = nullptr;
  if (flow != nullptr && flow->confirmed) {
    // A late answer of a target that was tried first may have changed the tag.
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
