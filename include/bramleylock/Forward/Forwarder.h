// Processes the packets of clients and forwards them to targets.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "bramleylock/Estimate/RoundTripTable.h"
#include "bramleylock/Forward/ContestedFlows.h"
#include "bramleylock/Forward/FlowTable.h"
#include "bramleylock/Forward/HedgeBudget.h"
#include "bramleylock/Forward/PendingFlowQueue.h"
#include "bramleylock/Forward/RouteTable.h"
#include "bramleylock/Forward/TargetDirectory.h"
#include "bramleylock/Forward/TargetSelector.h"
#include "bramleylock/Support/Counters.h"

namespace bramleylock::forward {

/// Output interface for packets to targets and clients.
class PacketSink
{
public:
  virtual ~PacketSink() = default;

  /// Queues a client's packet for aTarget, preceded by the target's prefix.
  /// aData must stay valid and unchanged until Flush.
  virtual auto SendToTarget(const DirectoryEntry& aTarget, const char* aData,
                            std::size_t aSize) -> void = 0;

  virtual auto SendToClient(const Address& aClient, std::string aPacket)
    -> void = 0;

  /// Sends all queued packets.
  virtual auto Flush() -> void = 0;
};

struct ForwarderOptions
{
  std::string failureDomain;
  /// Maximum lifetime of a flow; state of older flows may be discarded.
  std::chrono::seconds maxFlowLifetime{ 60 };
  std::uint64_t seed = 1;
  WarmUpTolerance warmUpTolerance{};
  /// Share of the first packets of idempotent routes that may also be sent to a
  /// second target; 0 for none.
  std::uint32_t hedgePercent = 0;
};

/// Makes a forwarding decision for each packet from the routes, the target
/// directory and the packet itself. Flows survive the loss of any state held
/// here.
class Forwarder
{
public:
  Forwarder(const PacketCodec& aCodec, RouteTable& aRoutes,
            TargetDirectory& aTargets, FlowChoice& aChoice, PacketSink& aSink,
            Metrics& aMetrics, ForwarderOptions aOptions);

  /// Processes one datagram, which waited in the socket for aAge, and may
  /// overwrite the tag in aData. Packets sent in response are queued until the
  /// sink's Flush.
  auto OnDatagram(char* aData, std::size_t aSize, Clock::duration aAge,
                  Clock::time_point aNow) -> void;

  /// Records that no packets were processed for aPause before aNow, so that
  /// clients may have sent the next copies of their first packets elsewhere.
  auto OnPause(Clock::duration aPause, Clock::time_point aNow) -> void;

  /// Expires tracked flows, queued first packets, removed routes and departed
  /// targets.
  auto Expire(Clock::time_point aNow) -> void;

  /// Retries the queued first packets, for example after a change of routes or
  /// targets, and flushes the sink.
  auto RetryPendingFlows(Clock::time_point aNow) -> void;

  /// Resends first packets that no target answered in time, hedges those whose
  /// client has not reacted as soon as usual, and flushes the sink. To be
  /// called when no received packet is pending.
  auto ResendUnanswered(Clock::time_point aNow) -> void;

  /// Sets the listener for targets found silent.
  auto SetSilentTargetListener(std::function<void(DirectoryEntry&)> aListener)
    -> void;

  /// Sets the listener for targets that did not answer a request of an open
  /// flow.
  auto SetUnansweredRequestListener(
    std::function<void(DirectoryEntry&)> aListener) -> void;

  /// Sets the listener for contested flows that peers have to know.
  using ContestedFlowListener =
    std::function<void(const std::vector<ContestedFlow>&)>;
  auto SetContestedFlowListener(ContestedFlowListener aListener) -> void;

  /// Sets the time from which on peers report the contested flows that they
  /// find. Flows that were opened at other balancers before it may be
  /// contested.
  auto SetContestedFlowsKnownFrom(Clock::time_point aFrom) -> void;

  /// Handles a contested flow that a peer reported.
  auto OnContestedFlow(const ContestedFlow& aFlow) -> void;

  /// Sets the number of balancers that share the targets, including this one,
  /// and the number known in each failure domain.
  auto SetBalancers(std::size_t aCount,
                    std::map<std::string, std::size_t> aByDomain = {}) -> void;

  /// Sets the balancers that share the targets of this failure domain while
  /// they warm up.
  auto SetDomainBalancers(DomainBalancers aBalancers) -> void;

  auto Flows() const -> const FlowTable&;
  auto PendingFlowCount() const -> std::size_t;

private:
  struct UnansweredFirstPacket
  {
    FlowId flow;
    Clock::time_point sentAt{};
    bool resent = false;
  };

  /// The target that a tag names; null if the tag is unknown, or if the target
  /// is uncertain.
  struct TargetOfTag
  {
    DirectoryEntry* target = nullptr;
    bool uncertain = false;
  };

  auto TrackFlow(const Packet& aPacket, DirectoryEntry& aTarget,
                 Clock::time_point aNow) -> TrackedFlow&;
  auto ReopenFlowAt(DirectoryEntry& aTarget, const TrackedFlow& aFlow,
                    const Packet& aFirstPacket, Clock::time_point aNow) -> void;
  auto AwaitFirstResponse(const FlowId& aFlow, bool aResent,
                          Clock::time_point aNow) -> void;
  auto RecordRoundTrip(const TrackedFlow& aFlow, Clock::time_point aNow)
    -> void;

  auto OnFirstPacket(const Packet& aPacket, char* aData, std::size_t aSize,
                     Clock::duration aAge, Clock::time_point aNow) -> void;
  auto OnOpenFlowPacket(const Packet& aPacket, char* aData, std::size_t aSize,
                        Clock::time_point aNow) -> void;
  auto ServingIncarnation(DirectoryEntry& aTarget, const Address& aService)
    -> DirectoryEntry&;
  auto OpeningSequenceOf(const Packet& aPacket, const TrackedFlow* aFlow,
                         Clock::time_point aNow) const -> std::uint32_t;
  auto TargetOf(const Packet& aPacket, const TrackedFlow* aFlow,
                Clock::time_point aNow) -> TargetOfTag;
  auto TargetOfContested(const Packet& aPacket, const ContestedFlow& aContested,
                         const TrackedFlow* aFlow, Clock::time_point aNow)
    -> TargetOfTag;
  auto TargetOfFirstSending(const Packet& aPacket,
                            std::uint32_t aOpeningSequence,
                            Clock::time_point aNow) -> DirectoryEntry*;
  auto ContestFlow(const Packet& aPacket, Clock::time_point aNow) -> void;
  /// Returns whether the tag of aPacket is that of a first packet of aFlow.
  auto HasOpeningTagOf(const Packet& aPacket, const ContestedFlow& aFlow)
    -> bool;
  auto SettleContestedFlow(const Packet& aPacket, const DirectoryEntry& aTarget)
    -> void;
  auto IsSettled(const Packet& aPacket) const -> bool;
  auto SendContestedFlowNews() -> void;
  auto FindTracked(const FlowId& aFlow) -> TrackedFlow*;
  auto TargetForCopy(TrackedFlow& aFlow, const Packet& aPacket,
                     const Route& aRoute, Clock::time_point aNow)
    -> DirectoryEntry*;
  /// aRoute is null as long as no routes are known.
  auto Enqueue(const Packet& aPacket, const char* aData, std::size_t aSize,
               const Route* aRoute, Clock::time_point aArrivedAt) -> void;
  auto HasQueuedPackets(const Route& aRoute, const Packet& aPacket) const
    -> bool;
  auto QueueLimit(const std::string& aService, Clock::time_point aNow)
    -> std::size_t;
  auto OpenFlowAt(DirectoryEntry& aTarget, const Packet& aPacket, char* aData,
                  std::size_t aSize, Clock::time_point aNow) -> void;
  auto ServePendingFlows(const std::string& aService, PendingFlowQueue& aQueue,
                         std::vector<PendingFlow>& aServedFlows,
                         Clock::time_point aNow) -> void;
  auto ResendFirstPacket(TrackedFlow& aFlow, Clock::time_point aNow) -> void;
  auto PrepareHedge(const TrackedFlow& aFlow) -> void;
  auto SendDueHedges(Clock::time_point aNow) -> void;
  auto SendHedge(TrackedFlow& aFlow, Clock::time_point aNow) -> void;
  auto RefuseExpired(Clock::time_point aNow) -> void;
  auto InactiveFlowRetention() const -> Clock::duration;
  auto TakeOverFlow(const Packet& aPacket, DirectoryEntry& aTarget,
                    Clock::time_point aNow) -> void;
  auto DeactivateMovedFlows(Clock::time_point aNow) -> void;
  auto LogFlowLeft(const PendingFlow& aFlow, const std::string& aService)
    -> void;
  auto DropIfStale(const Packet& aPacket, Clock::duration aAge) -> bool;
  auto DropIfMoved(const PendingFlow& aFlow, const std::string& aService,
                   Clock::time_point aNow) -> bool;
  auto WasOpenedSinceArrival(const PendingFlow& aFlow) -> bool;
  auto RefuseQueued(const PendingFlow& aFlow, const std::string& aService,
                    Counter aCounter, const char* aReason,
                    Clock::time_point aNow) -> void;
  auto ConfirmTarget(TrackedFlow& aFlow, DirectoryEntry& aTarget,
                     Clock::time_point aNow) -> void;
  auto UpdateFlow(TrackedFlow& aFlow, DirectoryEntry& aTarget,
                  const Packet& aPacket, Clock::time_point aNow) -> void;
  auto OnClientData(TrackedFlow& aFlow, const Packet& aPacket,
                    bool aHasNewAcknowledgement, Clock::time_point aNow)
    -> void;
  auto RecordResponseTime(const TrackedFlow& aFlow,
                          estimate::Duration aResponseTime,
                          Clock::time_point aNow) -> void;
  auto OnResponse(TrackedFlow& aFlow, Clock::time_point aNow) -> void;
  auto OnRetransmission(TrackedFlow& aFlow, Clock::time_point aNow) -> void;
  auto ResetIfUnreachable(const Packet& aPacket, const DirectoryEntry& aTarget,
                          Clock::time_point aNow) -> bool;
  auto Refuse(const Packet& aPacket, Counter aCounter, const char* aReason)
    -> void;
  auto RefuseWithoutTarget(const Packet& aPacket, RefusalReason aReason)
    -> void;
  auto LogDeadTarget(const Packet& aPacket, const DirectoryEntry& aTarget,
                     Clock::time_point aNow) -> void;
  auto DropPacket(const Packet& aPacket, Counter aCounter, const char* aReason)
    -> void;

  const PacketCodec& m_codec;
  RouteTable& m_routes;
  TargetDirectory& m_targets;
  PacketSink& m_sink;
  Metrics& m_metrics;
  ForwarderOptions m_options;
  FlowTable m_flows;
  ContestedFlows m_contestedFlows;
  UncertainPackets m_uncertainPackets;
  /// Contested flows that the listener has not received yet.
  std::vector<ContestedFlow> m_contestedFlowNews;
  Clock::time_point m_contestedFlowsKnownFrom{};
  ContestedFlowListener m_contestedFlowListener =
    [](const std::vector<ContestedFlow>&) {};
  TargetSelector m_selector;
  /// Queued first packets by service. The empty name holds packets that arrived
  /// before any route was known.
  std::map<std::string, PendingFlowQueue> m_pendingFlows;
  estimate::RoundTripTable m_roundTrips;
  /// First packets that were sent to a target, by the time at which a response
  /// is overdue.
  std::multimap<Clock::time_point, UnansweredFirstPacket>
    m_unansweredFirstPackets;
  HedgeBudget m_hedgeBudget;
  /// Flows that may be hedged, by the time from which on they may be.
  std::multimap<Clock::time_point, UnansweredFirstPacket> m_hedgeCandidates;
  /// Time of the last packet of a flow that was opened at another balancer,
  /// which shows that flows are moving between the balancers.
  Clock::time_point m_lastTakeoverAt{};
  /// End of the last pause of this process or machine.
  Clock::time_point m_lastPauseAt{};
  Clock::time_point m_lastOverdueCheckAt{};
  /// Longest mean think time of the routes, as of the last Expire.
  estimate::Duration m_longestThinkTime = std::chrono::seconds(1);
  std::function<void(DirectoryEntry&)> m_silentTargetListener =
    [](DirectoryEntry&) {};
  std::function<void(DirectoryEntry&)> m_unansweredRequestListener =
    [](DirectoryEntry&) {};
};

} // namespace bramleylock::forward
