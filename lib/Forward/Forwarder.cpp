// First packets get a target and its tag; later packets carry the tag.

#include "bramleylock/Forward/Forwarder.h"

#include "bramleylock/Forward/SilenceWatch.h"
#include "bramleylock/Support/Log.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace bramleylock::forward {

/// Flows tracked at a time: 98 million open flows on 12,000 nodes are 8,200
/// each, with room for a domain that takes over from three others.
static constexpr std::size_t kTrackedFlows = 32768;

/// A client's answer to a target's first packet arrives within two round
/// trips; the platform's clients are 3 ms away.
static constexpr Milliseconds kAnswerLimit{ 60 };

/// A request without an answer for this long lost its target, or its answer was
/// seen by another balancer. The longest work of the platform's requests takes
/// 430 ms, and a target queues up to four for each slot.
static constexpr Milliseconds kAnswerExpected{ 800 };

/// A flow that pauses for this long is expected to ask nothing more: the
/// platform's clients pause for about a second on average.
static constexpr Milliseconds kLongestPause{ 5000 };

/// How long after its last packet a flow is forgotten, beyond the time after
/// which its ends may discard it: packets may be under way.
static constexpr Milliseconds kIdleMargin{ 1000 };

/// Flows beyond the even share of a target's limit that a balancer may have
/// there, in standard deviations of a random share.
static constexpr double kOpenDeviations = 3;

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
  if (ShouldLog(LogLevel::Info, "flow-refused")) {
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
  if (!ShouldLog(LogLevel::Info, "flow-opened")) {
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
            { "heard_ms", FormatElapsedMs(aTarget.heardAt, aNow) },
            { "in_flight", std::to_string(evidence.inFlight) },
            { "idle", std::to_string(evidence.idle) },
            { "idle_load", fmt::format("{:.2f}", evidence.idleLoad) },
            { "candidates", std::to_string(aCandidates) } });
}

/// Flows that this balancer may have open at one target of aService: its share
/// of what the target holds. A target that holds all that it can does not
/// answer and would pass for a silent one.
auto Forwarder::MostOpen(const std::string& aService) const -> std::uint32_t
{
  const auto most = m_routes.MostFlows(aService);
  if (most == 0) {
    return std::numeric_limits<std::uint32_t>::max();
  }
  const double share = most / static_cast<double>(m_balancers);
  const double limit = share + kOpenDeviations * std::sqrt(share);
  return static_cast<std::uint32_t>(std::min<double>(most, limit));
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
  ChoiceInput input{ {},
                     Sharing(entries, aNow),
                     m_flows.WorkOf(aPacket.flow.service).LaterRequests() };
  input.candidates.reserve(entries.size());
  const auto mostOpen = MostOpen(service);
  for (const auto* entry : entries) {
    const auto& evidence = entry->evidence;
    input.candidates.push_back(
      { entry->record.slots, evidence.inFlight, evidence.idleLoad,
        evidence.open >= mostOpen,
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
            { "waited_ms", FormatElapsedMs(aFlow.openedAt, aNow) },
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
    m_flows.SetBusy(*known, aNow);
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
  LeaveMoved(aNow);
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
      m_flows.SetQuiet(*flow);
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

auto Forwarder::OnUnanswered(std::function<void(DirectoryEntry&)> aListener)
  -> void
{
  m_onUnanswered = std::move(aListener);
}

auto Forwarder::SetBalancers(std::size_t aCount,
                             std::map<std::string, std::size_t> aByDomain)
  -> void
{
  m_balancers = std::max<std::size_t>(aCount, 1);
  m_balancersByDomain = std::move(aByDomain);
}

/// How many balancers share those of aTargets that answer. Where all targets of
/// another failure domain are silent and others are not, that domain is out of
/// reach, and its balancers do not reach the others either. Before any member
/// is found, the domains are taken to be of one size.
auto Forwarder::Sharing(const std::vector<DirectoryEntry*>& aTargets,
                        Clock::time_point aNow) const -> std::size_t
{
  bool someSilent = false;
  bool someAnswer = false;
  for (const auto* target : aTargets) {
    const bool silent = IsSilent(target->evidence, aNow);
    someSilent = someSilent || silent;
    someAnswer = someAnswer || !silent;
  }
  if (!someSilent || !someAnswer) {
    return m_balancers;
  }
  std::map<std::string, bool> answers;
  for (const auto* target : aTargets) {
    auto& answering = answers[target->record.failureDomain];
    answering = answering || !IsSilent(target->evidence, aNow);
  }
  std::size_t sharing = m_balancers;
  for (const auto& [domain, answering] : answers) {
    if (answering || domain == m_options.failureDomain) {
      continue;
    }
    const auto found = m_balancersByDomain.find(domain);
    const auto known = found == m_balancersByDomain.end() ? 0 : found->second;
    const auto theirs =
      m_balancersByDomain.empty() ? m_balancers / answers.size() : known;
    sharing -= std::min(theirs, sharing - 1);
  }
  return sharing;
}

/// How long a flow without packets is tracked: its ends may discard it after
/// the idle limit of the configuration.
auto Forwarder::LongestQuiet() const -> Clock::duration
{
  const Milliseconds idle(m_routes.Current().idleTimeoutMs);
  if (idle.count() == 0) {
    return m_options.longestFlow;
  }
  return std::min<Clock::duration>(m_options.longestFlow, idle + kIdleMargin);
}

auto Forwarder::Expire(Clock::time_point aNow) -> void
{
  RefuseOld(aNow);
  std::erase_if(m_waiting,
                [](const auto& aRow) { return aRow.second.Size() == 0; });
  m_metrics.Add(Counter::FlowAnswerUnseen,
                m_flows.QuietBusySince(aNow - kAnswerExpected));
  m_flows.QuietIdleSince(aNow - kLongestPause);
  m_metrics.Add(Counter::FlowEvicted, m_flows.TakeEvicted());
  m_flows.ForgetQuietSince(aNow - LongestQuiet());
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
