// Fixture for tests of the forwarding path: packets, routes, targets and a
// packet sink.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "bramleylock/Forward/Forwarder.h"
#include "measure/PlainPackets.h"

namespace bramleylock::forward {

/// Records the packets that the forwarder sends.
class RecordingSink : public PacketSink
{
public:
  struct Sent
  {
    std::string target;
    std::uint64_t incarnation = 0;
    Packet packet;
  };

  auto SendToTarget(const DirectoryEntry& aTarget, const char* aData,
                    std::size_t aSize) -> void override
  {
    const auto packet = PlainCodec{}.Decode(aData, aSize);
    toTargets.push_back(
      { aTarget.record.id, aTarget.record.incarnation, *packet });
  }

  auto SendToClient(const Address&, std::string aPacket) -> void override
  {
    resets.push_back(*PlainCodec{}.Decode(aPacket.data(), aPacket.size()));
  }

  auto Flush() -> void override {}

  std::vector<Sent> toTargets;
  std::vector<Packet> resets;
};

inline constexpr Address kOrdersAddress{ 0xc6120001, 443 };
inline constexpr Address kProofsAddress{ 0xc6120002, 443 };

inline auto MakeRoutes(std::uint64_t aVersion) -> RouteSet
{
  RouteSet set{ aVersion, aVersion, 15000, {}, {} };
  set.routes.push_back({ "orders",
                         kOrdersAddress.ip,
                         kOrdersAddress.port,
                         { { "orders", 1 } },
                         1,
                         1,
                         2000 });
  set.routes.push_back({ "proofs",
                         kProofsAddress.ip,
                         kProofsAddress.port,
                         { { "proofs", 1 } },
                         2,
                         2,
                         5000 });
  return set;
}

inline auto MakeTarget(const std::string& aId, std::uint64_t aRevision,
                       const std::string& aService = "orders",
                       std::uint64_t aIncarnation = 1) -> TargetRecord
{
  TargetRecord record;
  record.id = aId;
  record.incarnation = aIncarnation;
  record.service = aService;
  // Derive the address from the id: equal ids get equal addresses, and
  // different ids usually get different ones.
  record.ip = 0x0a000000 +
              static_cast<std::uint32_t>(std::hash<std::string>{}(aId) % 60000);
  record.port = 80;
  record.failureDomain = "here";
  record.slots = 2;
  record.revision = aRevision;
  return record;
}

/// A forwarder with two routes, if aWithRoutes is set, and initially no
/// targets.
struct TestForward
{
  explicit TestForward(bool aWithRoutes = true, std::uint32_t aHedgePercent = 0)
    : choice(FlowChoiceRegistry::Instance().Create("least-wait"))
    , targets(codec)
    , forwarder(codec, routes, targets, *choice, sink, metrics,
                { "here", std::chrono::seconds(60), 7, {}, aHedgePercent })
  {
    if (aWithRoutes) {
      routes.Install(MakeRoutes(1), now);
    }
  }

  /// Sends a packet that waited in the balancer's socket for aAge.
  auto Send(Packet aPacket, Milliseconds aAge = {}) -> void
  {
    auto data = PlainCodec::Bytes(aPacket);
    forwarder.OnDatagram(data.data(), data.size(), aAge, now);
  }

  static auto Opening(std::uint16_t aPort, Address aService = kOrdersAddress)
    -> Packet
  {
    return MakeOpening(aPort, aService);
  }

  static auto Following(const Packet& aOpening, TargetTag aTag,
                        std::uint32_t aAcknowledgement = 500) -> Packet
  {
    return MakeFollowing(aOpening, aTag, aAcknowledgement);
  }

  auto AdvanceTime(Milliseconds aTime) -> void { now += aTime; }

  /// Opens a flow whose client reacts after aRoundTrip, and ends it, so that
  /// the round trip of the client is known.
  auto LearnRoundTrip(Milliseconds aRoundTrip) -> void
  {
    const auto opening = Opening(60000);
    Send(opening);
    AdvanceTime(aRoundTrip);
    auto ending = Following(opening, sink.toTargets.back().packet.tag);
    ending.ends = true;
    Send(ending);
    sink.toTargets.clear();
    AdvanceTime(Milliseconds(1));
  }

  /// Adds target "a" and opens the four flows that it accepts, from the client
  /// ports 1 to 4.
  auto FillTargetA() -> void
  {
    targets.Apply(MakeTarget("a", 5), now);
    for (std::uint16_t port = 1; port <= 4; ++port) {
      Send(Opening(port));
    }
  }

  /// Ends the flow from the client port aPort to target "a".
  auto EndFlow(std::uint16_t aPort) -> void
  {
    auto ending = Following(Opening(aPort), ComputeTag("a", 1));
    ending.ends = true;
    Send(ending);
  }

  /// Sends a request in a flow to target "a" that another balancer opened.
  auto SendRequestOfForeignFlow(std::uint16_t aPort) -> void
  {
    auto foreign = Following(Opening(aPort), ComputeTag("a", 1));
    foreign.carriesData = true;
    Send(foreign);
  }

  Clock::time_point now{ std::chrono::hours(1) };
  PlainCodec codec;
  RecordingSink sink;
  Metrics metrics;
  std::unique_ptr<FlowChoice> choice;
  RouteTable routes;
  TargetDirectory targets;
  Forwarder forwarder;
};

} // namespace bramleylock::forward
