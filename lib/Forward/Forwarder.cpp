// First packets get a target and its tag; later packets carry the tag.

#include "bramleylock/Forward/Forwarder.h"

#include "bramleylock/Support/Log.h"

#include <fmt/format.h>

namespace bramleylock::forward {

/// Flows tracked at a time: 98 million open flows on 12,000 nodes are 8,200
/// each, with room for a domain that takes over from three others.
static constexpr std::size_t kTrackedFlows = 32768;

/// A client's answer to a target's first packet arrives within two round
/// trips; the platform's clients are 3 ms away.
static constexpr Milliseconds kAnswerLimit{ 60 };

/// A flow without a packet for this long has its answer, or lost its target.
/// The longest work of the platform's requests takes 400 ms.
static constexpr Milliseconds kQuiet{ 800 };

/// Silence that nothing confirms is forgotten after this time, so that a
/// target cannot stay unused on old evidence alone.
static constexpr Milliseconds kSilenceKept{ 4000 };

Forwarder::Forwarder(const PacketCodec& aCodec, RouteTable& aRoutes,
                     TargetDirectory& aTargets, FlowChoice& aChoice,
                     PacketSink& aSink, Metrics& aMetrics,
                     ForwarderOptions aOptions)
  : m_codec(aCodec)
  , m_routes(aRoutes)
  , m_targets(aTargets)
  , m_choice(aChoice)
  , m_sink(aSink)
  , m_metrics(aMetrics)
  , m_options(std::move(aOptions))
  , m_flows(kTrackedFlows)
  , m_random(m_options.seed)
{
}

static auto IsSilent(const TargetEvidence& aEvidence, Clock::time_point aNow)
  -> bool
{
  if (aEvidence.unansweredSince == Clock::time_point{}) {
    return false;
  }
  const auto silence = aNow - aEvidence.unansweredSince;
  return silence > kAnswerLimit && silence < kSilenceKept;
}

static auto NoteOpened(DirectoryEntry& aTarget, Clock::time_point aNow) -> void
{
  auto& evidence = aTarget.evidence;
  if (evidence.unansweredSince == Clock::time_point{} ||
      aNow - evidence.unansweredSince >= kSilenceKept) {
    evidence.unansweredSince = aNow;
  }
}

auto Forwarder::TakeSignOfLife(DirectoryEntry& aTarget, Clock::time_point aAt)
  -> void
{
  auto& evidence = aTarget.evidence;
  if (evidence.unansweredSince != Clock::time_point{} &&
      evidence.unansweredSince < aAt) {
    evidence.unansweredSince = {};
  }
}

/// The fields by which a flow is found in the clients' and targets' logs.
static auto FlowText(const FlowId& aFlow) -> std::string
{
  return FormatAddress(aFlow.client) + ">" + FormatAddress(aFlow.service);
}

static auto AgeText(Clock::time_point aSince, Clock::time_point aNow)
  -> std::string
{
  return std::to_string(
    std::chrono::duration_cast<Milliseconds>(aNow - aSince).count());
}

auto Forwarder::OnDatagram(char* aData, std::size_t aSize,
                           Clock::time_point aNow) -> void
{
  m_metrics.Add(Counter::PacketsReceived);
  const auto packet = m_codec.Decode(aData, aSize);
  if (!packet) {
    m_metrics.Add(Counter::PacketMalformed);
    return;
  }
  if (packet->opens) {
    OnOpening(*packet, aData, aSize, aNow);
  } else {
    OnOpenFlow(*packet, aData, aSize, aNow);
  }
}

auto Forwarder::Refuse(const Packet& aPacket, Counter aCounter,
                       const char* aReason) -> void
{
  m_metrics.Add(aCounter);
  if (WouldLog(LogLevel::Info, "flow-refused")) {
    LogInfo("flow-refused",
            { { "flow", FlowText(aPacket.flow) },
              { "sequence", std::to_string(aPacket.sequence) },
              { "copy", std::to_string(aPacket.acknowledgement) },
              { "reason", aReason },
              { "routes", std::to_string(m_routes.Current().version) } });
  }
  m_sink.ToClient(aPacket.flow.client, m_codec.MakeReset(aPacket));
}

auto Forwarder::Choose(const Packet& aPacket, const Route& aRoute,
                       const DirectoryEntry* aAvoided, Clock::time_point aNow)
  -> DirectoryEntry*
{
  const auto& service = m_routes.ServiceFor(aRoute, aPacket.flow);
  auto entries = m_targets.Candidates(service, aNow);
  if (entries.size() > 1) {
    std::erase(entries, aAvoided);
  }
  std::vector<Candidate> candidates;
  candidates.reserve(entries.size());
  for (const auto* entry : entries) {
    const auto& evidence = entry->evidence;
    candidates.push_back(
      { entry->record.slots, evidence.inFlight, evidence.peersInFlight,
        entry->record.failureDomain == m_options.failureDomain,
        entry->warmAt > aNow, IsSilent(evidence, aNow) });
  }
  const auto decision =
    m_choice.Choose(candidates, aRoute.Kind(), m_random);
  if (!decision.chosen) {
    Refuse(aPacket,
           decision.refusal == RefusalReason::Full ? Counter::FlowRefusedFull
                                                   : Counter::FlowRefusedNoTarget,
           NameOf(kRefusalReasonNames, decision.refusal).data());
    return nullptr;
  }
  auto* chosen = entries[*decision.chosen];
  if (WouldLog(LogLevel::Info, "flow-opened")) {
    const auto& candidate = candidates[*decision.chosen];
    LogInfo("flow-opened",
            { { "flow", FlowText(aPacket.flow) },
              { "sequence", std::to_string(aPacket.sequence) },
              { "copy", std::to_string(aPacket.acknowledgement) },
              { "route", aRoute.name },
              { "routes", std::to_string(m_routes.Current().version) },
              { "target", chosen->record.id },
              { "address", FormatAddress(chosen->record.At()) },
              { "tag", fmt::format("{:08x}", chosen->tag) },
              { "target_revision", std::to_string(chosen->record.revision) },
              { "heard_ms", AgeText(chosen->heardAt, aNow) },
              { "in_flight", std::to_string(candidate.inFlight) },
              { "peers_in_flight", std::to_string(candidate.peersInFlight) },
              { "candidates", std::to_string(candidates.size()) } });
  }
  return chosen;
}

/// A further copy of a first packet goes where the first went, so that two
/// targets do not both hold the flow; unless nothing came from there while the
/// client waited.
auto Forwarder::OnCopy(TrackedFlow& aFlow, const Packet& aPacket,
                       Clock::time_point aNow) -> DirectoryEntry*
{
  auto& target = *aFlow.target;
  const auto& evidence = target.evidence;
  const bool answers = evidence.answeredAt >= aFlow.openedAt;
  const bool mayServe = target.TakesFlows(aNow);
  if (mayServe && (answers || aNow - aFlow.openedAt < kAnswerLimit)) {
    m_metrics.Add(Counter::FlowCopies);
    return &target;
  }
  const auto* route = m_routes.Find(aPacket.flow.service);
  if (route == nullptr) {
    return nullptr;
  }
  m_metrics.Add(Counter::FlowMoved);
  auto* other = Choose(aPacket, *route, &target, aNow);
  if (other != nullptr) {
    LogInfo("flow-moved",
            { { "flow", FlowText(aPacket.flow) },
              { "from", target.record.id },
              { "to", other->record.id },
              { "waited_ms", AgeText(aFlow.openedAt, aNow) },
              { "state", std::string(NameOf(kTargetStateNames,
                                            target.record.State())) } });
  }
  return other;
}

auto Forwarder::OnOpening(const Packet& aPacket, char* aData,
                          std::size_t aSize, Clock::time_point aNow) -> void
{
  // Whatever tag it brings is none of ours: the flow has no target yet.
  const auto* route = m_routes.Find(aPacket.flow.service);
  if (route == nullptr) {
    Refuse(aPacket, Counter::FlowRefusedNoRoute, "no-route");
    return;
  }
  auto* known = m_flows.Find(aPacket.flow);
  DirectoryEntry* target =
    known != nullptr && !known->confirmed
      ? OnCopy(*known, aPacket, aNow)
      : Choose(aPacket, *route, nullptr, aNow);
  if (target == nullptr) {
    return;
  }
  if (known == nullptr || known->confirmed || known->target != target) {
    m_flows.Open(aPacket.flow, *target, aNow);
    m_metrics.Add(Counter::FlowsOpened);
  }
  NoteOpened(*target, aNow);
  m_codec.SetTag(aData, target->tag);
  m_metrics.Add(Counter::PacketsForwarded);
  m_sink.ToTarget(*target, aData, aSize);
}

/// The first packet after the opening one shows which target the client took.
auto Forwarder::Confirm(TrackedFlow& aFlow, DirectoryEntry& aTarget,
                        Clock::time_point aNow) -> void
{
  if (aFlow.confirmed) {
    return;
  }
  aFlow.confirmed = true;
  if (aFlow.target != &aTarget) {
    m_flows.Finish(aFlow);
    aFlow.target = &aTarget;
    aFlow.counted = true;
    ++aTarget.evidence.inFlight;
  }
  m_metrics.Observe(Latency::FlowOpening, aNow - aFlow.openedAt);
}

/// Only what the client acknowledges anew shows that the target answers: a
/// client repeats its own packets towards a dead one as well.
auto Forwarder::TakeProgress(TrackedFlow& aFlow, DirectoryEntry& aTarget,
                             const Packet& aPacket, Clock::time_point aNow)
  -> void
{
  const bool first = !aFlow.confirmed;
  const auto advance =
    static_cast<std::int32_t>(aPacket.acknowledgement - aFlow.acknowledged);
  m_flows.Touch(aFlow, aNow);
  Confirm(aFlow, aTarget, aNow);
  if (first || advance > 0) {
    aFlow.acknowledged = aPacket.acknowledgement;
    aTarget.evidence.unansweredSince = {};
    aTarget.evidence.answeredAt = aNow;
  }
  if (aPacket.ends || aPacket.resets) {
    m_flows.Finish(aFlow);
  }
}

auto Forwarder::DropUnknownTag(const Packet& aPacket) -> void
{
  m_metrics.Add(Counter::PacketTagUnknown);
  if (WouldLog(LogLevel::Info, "packet-dropped")) {
    LogInfo("packet-dropped", { { "flow", FlowText(aPacket.flow) },
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
  if (flow != nullptr) {
    TakeProgress(*flow, *target, aPacket, aNow);
  }
  m_codec.SetTag(aData, target->tag);
  m_metrics.Add(Counter::PacketsForwarded);
  m_sink.ToTarget(*target, aData, aSize);
}

auto Forwarder::Expire(Clock::time_point aNow) -> void
{
  m_flows.Expire(kQuiet, m_options.longestFlow, aNow);
  // One second between the two keeps no flow that points at a forgotten entry.
  const auto keep = m_options.longestFlow + std::chrono::seconds(1);
  m_flows.DropTargetsGoneBefore(aNow - m_options.longestFlow);
  m_targets.Expire(keep, aNow);
}

auto Forwarder::Flows() const -> const FlowTable&
{
  return m_flows;
}

} // namespace bramleylock::forward
