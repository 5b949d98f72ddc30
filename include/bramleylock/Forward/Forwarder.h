// Processes the packets of clients and forwards them to targets.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "bramleylock/Forward/FlowChoice.h"
#include "bramleylock/Forward/FlowTable.h"
#include "bramleylock/Forward/OpeningQueue.h"
#include "bramleylock/Forward/RouteTable.h"
#include "bramleylock/Forward/TargetDirectory.h"
#include "bramleylock/Support/Counters.h"

namespace bramleylock::forward {

/// Output interface for packets to targets and clients.
class PacketSink
{
public:
  virtual ~PacketSink() = default;

  /// Queues a client's packet for aTarget, preceded by the target's prefix.
  /// aData must stay valid and unchanged until Flush.
  virtual auto ToTarget(const DirectoryEntry& aTarget, const char* aData,
                        std::size_t aSize) -> void = 0;

  virtual auto ToClient(const Address& aClient, std::string aPacket)
    -> void = 0;

  /// Sends all queued packets.
  virtual auto Flush() -> void = 0;
};

struct ForwarderOptions
{
  std::string failureDomain;
  /// Maximum lifetime of a flow; state of older flows may be discarded.
  std::chrono::seconds longestFlow{ 60 };
  std::uint64_t seed = 1;
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

  /// Processes one datagram and may overwrite the tag in aData. Packets sent in
  /// response are queued until the sink's Flush.
  auto OnDatagram(char* aData, std::size_t aSize, Clock::time_point aNow)
    -> void;

  /// Expires tracked flows, queued first packets, removed routes and departed
  /// targets.
  auto Expire(Clock::time_point aNow) -> void;

  /// Retries the queued first packets, for example after a change of routes or
  /// targets, and flushes the sink.
  auto ServeWaiting(Clock::time_point aNow) -> void;

  /// Resends first packets that no target answered in time, and flushes the
  /// sink. To be called when no received packet is pending.
  auto RepeatUnanswered(Clock::time_point aNow) -> void;

  /// Sets the listener for targets found silent.
  auto OnSilent(std::function<void(DirectoryEntry&)> aListener) -> void;

  /// Sets the listener for targets that did not answer a request of an open
  /// flow.
  auto OnUnanswered(std::function<void(DirectoryEntry&)> aListener) -> void;

  /// Sets the number of balancers that share the targets, including this one,
  /// and the number known in each failure domain.
  auto SetBalancers(std::size_t aCount,
                    std::map<std::string, std::size_t> aByDomain = {}) -> void;

  auto Flows() const -> const FlowTable&;
  auto Waiting() const -> std::size_t;

private:
  /// The selected target, or the reason why there is none at present.
  struct Placement
  {
    DirectoryEntry* target = nullptr;
    RefusalReason refusal = RefusalReason::None;
  };

  struct UnansweredFlow
  {
    FlowId flow;
    Clock::time_point sentAt{};
    bool repeated = false;
  };

  auto OnOpening(const Packet& aPacket, char* aData, std::size_t aSize,
                 Clock::time_point aNow) -> void;
  auto OnOpenFlow(const Packet& aPacket, char* aData, std::size_t aSize,
                  Clock::time_point aNow) -> void;
  auto OnCopy(TrackedFlow& aFlow, const Packet& aPacket, const Route& aRoute,
              Clock::time_point aNow) -> DirectoryEntry*;
  auto Place(const Packet& aPacket, const Route& aRoute,
             const DirectoryEntry* aAvoided, Clock::time_point aNow)
    -> Placement;
  auto LogOpened(const Packet& aPacket, const Route& aRoute,
                 const DirectoryEntry& aTarget, std::size_t aCandidates,
                 Clock::time_point aNow) -> void;
  /// aRoute is null as long as no routes are known.
  auto Wait(const Packet& aPacket, const char* aData, std::size_t aSize,
            const Route* aRoute, Clock::time_point aNow) -> void;
  auto OthersWait(const Route& aRoute, const Packet& aPacket) const -> bool;
  auto WaitingLimit(const std::string& aService, Clock::time_point aNow)
    -> std::size_t;
  auto OpenAt(DirectoryEntry& aTarget, const Packet& aPacket, char* aData,
              std::size_t aSize, Clock::time_point aNow) -> void;
  auto ServeQueue(const std::string& aService, OpeningQueue& aQueue,
                  std::vector<WaitingOpening>& aServed, Clock::time_point aNow)
    -> void;
  auto Repeat(TrackedFlow& aFlow, Clock::time_point aNow) -> void;
  auto RefuseOld(Clock::time_point aNow) -> void;
  auto MostOpen(const std::string& aService) const -> std::uint32_t;
  auto Sharing(const std::vector<DirectoryEntry*>& aTargets,
               Clock::time_point aNow) const -> std::size_t;
  auto LongestQuiet() const -> Clock::duration;
  auto TakeOver(const Packet& aPacket, DirectoryEntry& aTarget,
                Clock::time_point aNow) -> void;
  auto LeaveMoved(Clock::time_point aNow) -> void;
  auto LeaveIfElsewhere(const WaitingOpening& aOpening,
                        const std::string& aService, Clock::time_point aNow)
    -> bool;
  auto Confirm(TrackedFlow& aFlow, DirectoryEntry& aTarget,
               Clock::time_point aNow) -> void;
  auto TakeProgress(TrackedFlow& aFlow, DirectoryEntry& aTarget,
                    const Packet& aPacket, Clock::time_point aNow) -> void;
  auto TakeData(TrackedFlow& aFlow, const Packet& aPacket, bool aAnswered,
                Clock::time_point aNow) -> void;
  auto NoteAnswer(TrackedFlow& aFlow, Clock::time_point aNow) -> void;
  auto NoteRepeated(TrackedFlow& aFlow, Clock::time_point aNow) -> void;
  auto ResetUnreachable(const Packet& aPacket, const DirectoryEntry& aTarget,
                        Clock::time_point aNow) -> bool;
  auto Refuse(const Packet& aPacket, Counter aCounter, const char* aReason)
    -> void;
  auto DropUnknownTag(const Packet& aPacket) -> void;

  const PacketCodec& m_codec;
  RouteTable& m_routes;
  TargetDirectory& m_targets;
  FlowChoice& m_choice;
  PacketSink& m_sink;
  Metrics& m_metrics;
  ForwarderOptions m_options;
  FlowTable m_flows;
  Random m_random;
  /// Queued first packets by service. The empty name holds packets that arrived
  /// before any route was known.
  std::map<std::string, OpeningQueue> m_waiting;
  std::size_t m_balancers = 1;
  std::map<std::string, std::size_t> m_balancersByDomain;
  /// Flows whose first packet was sent to a target, the oldest first.
  std::deque<UnansweredFlow> m_unanswered;
  /// Time of the last packet of a flow that was opened at another balancer,
  /// which shows that flows are moving between the balancers.
  Clock::time_point m_movedAt{};
  std::function<void(DirectoryEntry&)> m_onSilent = [](DirectoryEntry&) {};
  std::function<void(DirectoryEntry&)> m_onUnanswered = [](DirectoryEntry&) {};
};

} // namespace bramleylock::forward
