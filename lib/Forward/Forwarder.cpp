// First packets get a target and its tag; later packets carry the tag.

#include "bramleylock/Forward/Forwarder.h"

#include "bramleylock/Forward/SilenceWatch.h"
#include "bramleylock/Support/Log.h"

#include <fmt/format.h>

#include <algorithm>

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

/// The same while flows move between the balancers, for one that had no packet
/// since they did: the mean work of the platform's requests takes 30 to 72 ms.
static constexpr Milliseconds kQuietMoved{ 150 };

/// Flows move at once; when none has for this long, the next move is logged.
static constexpr Milliseconds kMoveLasts{ 1000 };

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
    return;
  }
  OnOpenFlow(*packet, aData, aSize, aNow);
  if (packet->ends && !m_waiting.empty()) {
    ServeWaiting(aNow);
  }
}

auto Forwarder::Refuse(const Packet& aPacket, Counter aCounter,
                       const char* aReason) -> void
{
  m_metrics.Add(aCounter);
  if (WouldLog(LogLevel::Info, "flow-refused")) {
    LogInfo("flow-refused",
            { { "flow", FormatFlow(aPacket.flow) },
              { "sequence", std::to_string(aPacket.sequence) },
              { "copy", std::to_string(aPacket.acknowledgement) },
              { "reason", aReason },
              { "routes", std::to_string(m_routes.Current().version) } });
  }
  m_sink.ToClient(aPacket.flow.client, m_codec.MakeReset(aPacket));
}

auto Forwarder::LogOpened(const Packet& aPacket, const Route& aRoute,
                          const DirectoryEntry& aTarget,
                          std::size_t aCandidates, Clock::time_point aNow)
  -> void
{
  if (!WouldLog(LogLevel::Info, "flow-opened")) {
    return;
  }
  const auto& evidence = aTarget.evidence;
  LogInfo("flow-opened",
          { { "flow", FormatFlow(aPacket.flow) },
            { "sequence", std::to_string(aPacket.sequence) },
            { "copy", std::to_string(aPacket.acknowledgement) },
            { "route", aRoute.name },
            { "routes", std::to_string(m_routes.Current().version) },
            { "target", aTarget.record.id },
            { "address", FormatAddress(aTarget.record.At()) },
            { "tag", fmt::format("{:08x}", aTarget.tag) },
            { "target_revision", std::to_string(aTarget.record.revision) },
            { "heard_ms", AgeText(aTarget.heardAt, aNow) },
            { "in_flight", std::to_string(evidence.inFlight) },
            { "candidates", std::to_string(aCandidates) } });
}

auto Forwarder::Place(const Packet& aPacket, const Route& aRoute,
                      const DirectoryEntry* aAvoided, Clock::time_point aNow)
  -> Placement
{
  const auto& service = m_routes.ServiceFor(aRoute, aPacket.flow);
  auto entries = m_targets.Candidates(service, aNow);
  if (entries.size() > 1) {
    std::erase(entries, aAvoided);
  }
  ChoiceInput input{ {}, m_balancers };
  input.candidates.reserve(entries.size());
  for (const auto* entry : entries) {
    const auto& evidence = entry->evidence;
    input.candidates.push_back(
      { entry->record.slots, evidence.inFlight,
        entry->record.failureDomain == m_options.failureDomain,
        entry->warmAt > aNow, IsSilent(evidence, aNow) });
  }
  const auto decision = m_choice.Choose(input, m_random);
  if (!decision.chosen) {
    return { nullptr, decision.refusal };
  }
  auto* chosen = entries[*decision.chosen];
  LogOpened(aPacket, aRoute, *chosen, entries.size(), aNow);
  return { chosen, RefusalReason::None };
}

/// A further copy of a first packet goes where the first went, so that two
/// targets do not both hold the flow; unless nothing came from there while the
/// client waited.
auto Forwarder::OnCopy(TrackedFlow& aFlow, const Packet& aPacket,
                       const Route& aRoute, Clock::time_point aNow)
  -> DirectoryEntry*
{
  auto& target = *aFlow.target;
  const bool answers = target.evidence.answeredAt >= aFlow.openedAt;
  const bool mayServe = target.TakesFlows(aNow);
  if (mayServe && (answers || aNow - aFlow.openedAt < kAnswerLimit)) {
    m_metrics.Add(Counter::FlowCopies);
    return &target;
  }
  auto* other = Place(aPacket, aRoute, &target, aNow).target;
  if (other == nullptr) {
    return mayServe ? &target : nullptr;
  }
  m_metrics.Add(Counter::FlowMoved);
  LogInfo("flow-moved",
          { { "flow", FormatFlow(aPacket.flow) },
            { "from", target.record.id },
            { "to", other->record.id },
            { "waited_ms", AgeText(aFlow.openedAt, aNow) },
            { "state", std::string(
                         NameOf(kTargetStateNames, target.record.State())) } });
  return other;
}

auto Forwarder::OpenAt(DirectoryEntry& aTarget, const Packet& aPacket,
                       char* aData, std::size_t aSize, Clock::time_point aNow)
  -> void
{
  auto* known = m_flows.Find(aPacket.flow);
  if (known == nullptr || known->confirmed || known->target != &aTarget) {
    m_flows.Open(aPacket.flow, aTarget, aNow).opening.assign(aData, aSize);
    m_metrics.Add(Counter::FlowsOpened);
  } else {
    m_flows.Count(*known, aTarget);
  }
  m_unanswered.push_back({ aPacket.flow, aNow, false });
  m_codec.SetTag(aData, aTarget.tag);
  m_metrics.Add(Counter::PacketsForwarded);
  m_sink.ToTarget(aTarget, aData, aSize);
}

auto Forwarder::OnOpening(const Packet& aPacket, char* aData, std::size_t aSize,
                          Clock::time_point aNow) -> void
{
  if (m_routes.Current().version == 0) {
    Wait(aPacket, aData, aSize, nullptr, aNow);
    return;
  }
  // Whatever tag it brings is none of ours: the flow has no target yet.
  const auto* route = m_routes.Find(aPacket.flow.service);
  if (route == nullptr) {
    Refuse(aPacket, Counter::FlowRefusedNoRoute, "no-route");
    return;
  }
  auto* known = m_flows.Find(aPacket.flow);
  if (known != nullptr && !known->confirmed) {
    if (auto* target = OnCopy(*known, aPacket, *route, aNow)) {
      OpenAt(*target, aPacket, aData, aSize, aNow);
    }
    return;
  }
  if (OthersWait(*route, aPacket)) {
    // It takes its turn with them.
    Wait(aPacket, aData, aSize, route, aNow);
    ServeWaiting(aNow);
    return;
  }
  const auto placement = Place(aPacket, *route, nullptr, aNow);
  if (placement.target != nullptr) {
    OpenAt(*placement.target, aPacket, aData, aSize, aNow);
  } else if (placement.refusal == RefusalReason::Busy) {
    Wait(aPacket, aData, aSize, route, aNow);
  } else {
    Refuse(aPacket, Counter::FlowRefusedNoTarget, "no-target");
  }
}

/// Sends a first packet again that nobody answered: to the same target where
/// that answers others, so that the packet was lost, and to another where it
/// does not. The client itself repeats it only after 200 ms.
auto Forwarder::Repeat(TrackedFlow& aFlow, Clock::time_point aNow) -> void
{
  auto& target = *aFlow.target;
  auto data = aFlow.opening;
  const auto packet = m_codec.Decode(data.data(), data.size());
  const auto* route = m_routes.Find(aFlow.id.service);
  if (!packet || route == nullptr) {
    return;
  }
  auto* next = &target;
  if (target.evidence.answeredAt < aFlow.openedAt) {
    if (MarkSilent(target.evidence, aNow)) {
      m_onSilent(target);
    }
    next = OnCopy(aFlow, *packet, *route, aNow);
  }
  if (next == nullptr) {
    return;
  }
  m_metrics.Add(Counter::FlowRepeated);
  if (next != &target) {
    m_flows.Open(packet->flow, *next, aNow).opening = data;
  }
  m_codec.SetTag(data.data(), next->tag);
  m_sink.ToTarget(*next, data.data(), data.size());
  m_sink.Flush();
}

auto Forwarder::RepeatUnanswered(Clock::time_point aNow) -> void
{
  FinishMoved(aNow);
  while (!m_unanswered.empty() &&
         aNow - m_unanswered.front().sentAt > kAnswerLimit) {
    const auto unanswered = m_unanswered.front();
    m_unanswered.pop_front();
    auto* flow = m_flows.Find(unanswered.flow);
    if (flow == nullptr || flow->confirmed) {
      continue;
    }
    if (unanswered.repeated || m_movedAt >= unanswered.sentAt) {
      // The client may have gone, or speak through another balancer by now. If
      // it lacks an answer, its next copy says so.
      m_flows.Finish(*flow);
      continue;
    }
    Repeat(*flow, aNow);
    m_unanswered.push_back({ unanswered.flow, aNow, true });
  }
}

auto Forwarder::OnSilent(std::function<void(DirectoryEntry&)> aListener) -> void
{
  m_onSilent = std::move(aListener);
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
  m_flows.Count(aFlow, aTarget);
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
    aTarget.evidence.silentSince = {};
    aTarget.evidence.answeredAt = aNow;
  }
  if (aPacket.ends || aPacket.resets) {
    m_flows.Finish(aFlow);
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
  // Without data the request is in work or done, and its end may not be seen.
  if (aPacket.carriesData && !aPacket.ends && !aPacket.resets) {
    auto& flow = m_flows.Open(aPacket.flow, aTarget, aNow);
    flow.confirmed = true;
    flow.acknowledged = aPacket.acknowledgement;
  }
}

/// Gives up the count of flows that probably moved to other balancers, which
/// count them now; else targets look busy here that are not.
auto Forwarder::FinishMoved(Clock::time_point aNow) -> void
{
  m_flows.FinishQuietSince(std::min(m_movedAt, aNow - kQuietMoved));
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
  } else {
    TakeOver(aPacket, *target, aNow);
  }
  m_codec.SetTag(aData, target->tag);
  m_metrics.Add(Counter::PacketsForwarded);
  m_sink.ToTarget(*target, aData, aSize);
}

auto Forwarder::SetBalancers(std::size_t aCount) -> void
{
  m_balancers = std::max<std::size_t>(aCount, 1);
}

auto Forwarder::Expire(Clock::time_point aNow) -> void
{
  RefuseOld(aNow);
  std::erase_if(m_waiting,
                [](const auto& aRow) { return aRow.second.Size() == 0; });
  m_flows.FinishQuietSince(aNow - kQuiet);
  m_flows.ForgetQuietSince(aNow - m_options.longestFlow);
  // One second between the two keeps no flow that points at a forgotten entry.
  const auto keep = m_options.longestFlow + std::chrono::seconds(1);
  if (const auto limit = aNow - m_options.longestFlow;
      m_targets.HasGoneBefore(limit)) {
    m_flows.DropTargetsGoneBefore(limit);
  }
  m_targets.Expire(keep, aNow);
  m_routes.Expire(keep, aNow);
  ServeWaiting(aNow);
  m_sink.Flush();
}

auto Forwarder::Flows() const -> const FlowTable&
{
  return m_flows;
}

} // namespace bramleylock::forward
