// What is done with each packet of a client.
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

/// Where packets go out.
class PacketSink
{
public:
  virtual ~PacketSink() = default;

  /// Sends a client's packet on, after the prefix of its target. aData has to
  /// stay as it is until Flush.
  virtual auto ToTarget(const DirectoryEntry& aTarget, const char* aData,
                        std::size_t aSize) -> void = 0;

  virtual auto ToClient(const Address& aClient, std::string aPacket)
    -> void = 0;

  /// Sends what was given.
  virtual auto Flush() -> void = 0;
};

struct ForwarderOptions
{
  std::string failureDomain;
  /// How long a flow may be open; older ones may be forgotten.
  std::chrono::seconds longestFlow{ 60 };
  std::uint64_t seed = 1;
};

/// Decides packet by packet from the routes, the directory and the packet
/// itself; holds no state that a flow cannot do without.
class Forwarder
{
public:
  Forwarder(const PacketCodec& aCodec, RouteTable& aRoutes,
            TargetDirectory& aTargets, FlowChoice& aChoice, PacketSink& aSink,
            Metrics& aMetrics, ForwarderOptions aOptions);

  /// Takes one datagram; its tag may be written. What goes out for it waits
  /// for the sink's Flush.
  auto OnDatagram(char* aData, std::size_t aSize, Clock::time_point aNow)
    -> void;

  /// Ages what is in flight and forgets targets that left long ago.
  auto Expire(Clock::time_point aNow) -> void;

  /// Tries first packets that wait, as after a change of routes or targets,
  /// and flushes the sink.
  auto ServeWaiting(Clock::time_point aNow) -> void;

  /// Sends the first packets again that no target answered in time, and
  /// flushes the sink; to be called when no packet waits to be read.
  auto RepeatUnanswered(Clock::time_point aNow) -> void;

  /// Sets who is told of a target that does not answer.
  auto OnSilent(std::function<void(DirectoryEntry&)> aListener) -> void;

  /// Sets who is told of a target that did not answer a request of an open
  /// flow.
  auto OnUnanswered(std::function<void(DirectoryEntry&)> aListener) -> void;

  /// Sets how many balancers share the targets, this one too, and how many of
  /// them are known to be in each failure domain.
  auto SetBalancers(std::size_t aCount,
                    std::map<std::string, std::size_t> aByDomain = {}) -> void;

  auto Flows() const -> const FlowTable&;
  auto Waiting() const -> std::size_t;

private:
  /// A target, or why there is none now.
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
  /// aRoute is null while no routes are known.
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
  /// First packets that wait, by service; under no name those that came before
  /// any route was known.
  std::map<std::string, OpeningQueue> m_waiting;
  std::size_t m_balancers = 1;
  std::map<std::string, std::size_t> m_balancersByDomain;
  /// Flows whose first packet was sent, the oldest first.
  std::deque<UnansweredFlow> m_unanswered;
  /// When a packet of a flow that was open elsewhere came last: flows move
  /// between the balancers.
  Clock::time_point m_movedAt{};
  std::function<void(DirectoryEntry&)> m_onSilent = [](DirectoryEntry&) {};
  std::function<void(DirectoryEntry&)> m_onUnanswered = [](DirectoryEntry&) {};
};

} // namespace bramleylock::forward
