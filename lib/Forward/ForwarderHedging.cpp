// Hedging of first packets: a first packet whose client has not reacted as soon
// as usual is also sent to a second target, and the client takes the target
// that answers first.

#include "bramleylock/Forward/Forwarder.h"

#include "bramleylock/Support/Log.h"

namespace bramleylock::forward {

/// Returns whether two targets may get the requests of aRoute.
static auto MayBeHedged(const Route& aRoute) -> bool
{
  return aRoute.Kind() == RequestKind::Idempotent ||
         aRoute.Kind() == RequestKind::Download;
}

/// Counts the first packet of a new flow towards the hedges that are allowed,
/// and notes when the flow may be hedged.
auto Forwarder::PrepareHedge(const TrackedFlow& aFlow) -> void
{
  if (!m_hedgeBudget.IsEnabled()) {
    return;
  }
  const auto* route = m_routes.Find(aFlow.id.service);
  if (route == nullptr || !MayBeHedged(*route)) {
    return;
  }
  m_hedgeBudget.RecordFirstPacket();
  m_hedgeCandidates.emplace(aFlow.openedAt +
                              m_roundTrips.UsualBound(aFlow.id.client.ip),
                            UnansweredFirstPacket{ aFlow.id, aFlow.openedAt });
}

auto Forwarder::SendDueHedges(Clock::time_point aNow) -> void
{
  while (!m_hedgeCandidates.empty() &&
         m_hedgeCandidates.begin()->first < aNow) {
    const auto candidate =
      m_hedgeCandidates.extract(m_hedgeCandidates.begin()).mapped();
    auto* flow = FindTracked(candidate.flow);
    if (flow == nullptr || flow->confirmed || flow->repeated ||
        flow->openedAt != candidate.sentAt) {
      continue;
    }
    if (m_lastTakeoverAt >= candidate.sentAt ||
        m_lastPauseAt > candidate.sentAt) {
      // The client's reaction may have gone to another balancer, or may still
      // wait in the socket.
      continue;
    }
    SendHedge(*flow, aNow);
  }
}

/// Sends the first packet of aFlow to a second target, unless there is not
/// enough capacity for all first packets. The flow stays assigned to its first
/// target, and is counted there only, until its client's reaction shows which
/// target it took.
auto Forwarder::SendHedge(TrackedFlow& aFlow, Clock::time_point aNow) -> void
{
  auto data = aFlow.firstPacket;
  const auto packet = m_codec.Decode(data.data(), data.size());
  const auto* route = m_routes.Find(aFlow.id.service);
  if (!packet || route == nullptr || !MayBeHedged(*route) ||
      HasQueuedPackets(*route, *packet)) {
    return;
  }
  if (!m_hedgeBudget.HasHedge()) {
    m_metrics.Add(Counter::HedgeBudgetEmpty);
    return;
  }
  auto* second = m_selector.SelectSecond(*packet, *route, *aFlow.target, aNow);
  if (second == nullptr) {
    return;
  }
  ContestFlow(*packet, aNow);
  m_hedgeBudget.TakeHedge();
  m_metrics.Add(Counter::FlowsHedged);
  if (ShouldLog(LogLevel::Info, "flow-hedged")) {
    LogInfo("flow-hedged",
            { { "flow", FormatFlow(aFlow.id) },
              { "first", aFlow.target->record.id },
              { "second", second->record.id },
              { "waited_ms", FormatElapsedMs(aFlow.openedAt, aNow) } });
  }
  aFlow.hedgeTag = second->tag;
  aFlow.repeated = true;
  m_selector.RecordRequest(*second, aNow);
  m_codec.SetTag(data.data(), OpeningTag(second->tag, packet->sequence));
  m_metrics.Add(Counter::PacketsForwarded);
  m_sink.SendToTarget(*second, data.data(), data.size());
  m_sink.Flush();
}

} // namespace bramleylock::forward
