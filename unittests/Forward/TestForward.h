// Packets, a sink and targets for tests of the forwarding path.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "bramleylock/Forward/Forwarder.h"
#include "measure/PlainPackets.h"

namespace bramleylock::forward {

/// Keeps what goes out.
class FakeSink : public PacketSink
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

inline constexpr Address kOrders{ 0xc6120001, 443 };
inline constexpr Address kProofs{ 0xc6120002, 443 };

inline auto MakeRoutes(std::uint64_t aVersion) -> RouteSet
{
  RouteSet set{ aVersion, aVersion, 15000, {}, {} };
  set.routes.push_back(
    { "orders", kOrders.ip, kOrders.port, { { "orders", 1 } }, 1, 1, 2000 });
  set.routes.push_back(
    { "proofs", kProofs.ip, kProofs.port, { { "proofs", 1 } }, 2, 2, 5000 });
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
  // Addresses that differ, and are the same for one id.
  record.ip = 0x0a000000 +
              static_cast<std::uint32_t>(std::hash<std::string>{}(aId) % 60000);
  record.port = 80;
  record.failureDomain = "here";
  record.slots = 2;
  record.revision = aRevision;
  return record;
}

/// A forwarder with two routes and no targets yet.
struct TestForward
{
  explicit TestForward(bool aWithRoutes = true)
    : choice(FlowChoiceRegistry::Instance().Create("least-wait"))
    , targets(codec)
    , forwarder(codec, routes, targets, *choice, sink, metrics,
                { "here", std::chrono::seconds(60), 7 })
  {
    if (aWithRoutes) {
      routes.Install(MakeRoutes(1), now);
    }
  }

  auto Send(Packet aPacket) -> void
  {
    auto data = PlainCodec::Bytes(aPacket);
    forwarder.OnDatagram(data.data(), data.size(), now);
  }

  static auto Opening(std::uint16_t aPort, Address aService = kOrders) -> Packet
  {
    return MakeOpening(aPort, aService);
  }

  static auto Following(const Packet& aOpening, TargetTag aTag,
                        std::uint32_t aAcknowledgement = 500) -> Packet
  {
    return MakeFollowing(aOpening, aTag, aAcknowledgement);
  }

  auto Pass(Milliseconds aTime) -> void { now += aTime; }

  /// Lists target "a" and opens as many flows, from port 1 on, as it may have.
  auto FillTarget() -> void
  {
    targets.Apply(MakeTarget("a", 5), now);
    for (std::uint16_t port = 1; port <= 4; ++port) {
      Send(Opening(port));
    }
  }

  /// Ends the flow from aPort to target "a".
  auto End(std::uint16_t aPort) -> void
  {
    auto end = Following(Opening(aPort), ComputeTag("a", 1));
    end.ends = true;
    Send(end);
  }

  /// Sends a request in a flow to target "a" that was opened elsewhere.
  auto SendForeign(std::uint16_t aPort) -> void
  {
    auto foreign = Following(Opening(aPort), ComputeTag("a", 1));
    foreign.carriesData = true;
    Send(foreign);
  }

  Clock::time_point now{ std::chrono::hours(1) };
  PlainCodec codec;
  FakeSink sink;
  Metrics metrics;
  std::unique_ptr<FlowChoice> choice;
  RouteTable routes;
  TargetDirectory targets;
  Forwarder forwarder;
};

} // namespace bramleylock::forward
