// What is done with each packet of a client.
#pragma once

#include <memory>
#include <string>

#include "bramleylock/Forward/FlowChoice.h"
#include "bramleylock/Forward/FlowTable.h"
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

  /// Takes one datagram; its tag may be written.
  auto OnDatagram(char* aData, std::size_t aSize, Clock::time_point aNow)
    -> void;

  /// Ages what is in flight and forgets targets that left long ago.
  auto Expire(Clock::time_point aNow) -> void;

  /// Takes the word of a reader that aTarget's entry was renewed at aAt, which
  /// clears it of silence that began before.
  static auto TakeSignOfLife(DirectoryEntry& aTarget, Clock::time_point aAt)
    -> void;

  auto Flows() const -> const FlowTable&;

private:
  auto OnOpening(const Packet& aPacket, char* aData, std::size_t aSize,
                 Clock::time_point aNow) -> void;
  auto OnOpenFlow(const Packet& aPacket, char* aData, std::size_t aSize,
                  Clock::time_point aNow) -> void;
  auto OnCopy(TrackedFlow& aFlow, const Packet& aPacket,
              Clock::time_point aNow) -> DirectoryEntry*;
  auto Choose(const Packet& aPacket, const Route& aRoute,
              const DirectoryEntry* aAvoided, Clock::time_point aNow)
    -> DirectoryEntry*;
  auto Confirm(TrackedFlow& aFlow, DirectoryEntry& aTarget,
               Clock::time_point aNow) -> void;
  auto TakeProgress(TrackedFlow& aFlow, DirectoryEntry& aTarget,
                    const Packet& aPacket, Clock::time_point aNow) -> void;
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
};

} // namespace bramleylock::forward
