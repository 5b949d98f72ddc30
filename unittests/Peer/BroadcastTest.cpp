// Fleet-wide broadcast, with balancers that fail to relay messages.

#include "unittests/Peer/TestNetwork.h"

#include "bramleylock/Peer/Broadcast.h"

#include <criterion/criterion.h>

#include <fmt/format.h>

using namespace bramleylock;
using namespace bramleylock::peer;

namespace {

constexpr auto kMessageType = wire::MessageType::TargetSilence;

/// Two failure domains of twelve balancers each that know each other.
struct Fleet
{
  Fleet()
  {
    for (const auto* domain : { "north", "south" }) {
      for (int i = 0; i < 12; ++i) {
        Add(fmt::format("{}{:02}", domain, i), domain);
      }
    }
    network.RunFor(Milliseconds(2500));
  }

  auto Add(const std::string& aName, const std::string& aDomain) -> void
  {
    auto& members = network.Add(aName, aDomain);
    auto& broadcast = broadcasts[aName];
    broadcast = std::make_unique<Broadcast>(*network.links[aName + ":1"],
                                            members, network.metrics);
    broadcast->On(kMessageType,
                  [this, aName](const auto&, const std::string& aBody) {
                    received[aName].push_back(aBody);
                  });
  }

  /// Drops all messages to and from aName.
  auto Isolate(const std::string& aName) -> void
  {
    for (const auto& [name, broadcast] : broadcasts) {
      network.CutBothDirections(aName, name);
    }
  }

  /// Number of balancers that received aBody exactly once.
  auto ReceivedOnce(const std::string& aBody) -> std::size_t
  {
    std::size_t count = 0;
    for (const auto& [name, bodies] : received) {
      count += std::count(bodies.begin(), bodies.end(), aBody) == 1 ? 1 : 0;
    }
    return count;
  }

  TestNetwork network;
  std::map<std::string, std::unique_ptr<Broadcast>> broadcasts;
  std::map<std::string, std::vector<std::string>> received;
};

} // namespace

Test(Broadcast, ReachesEveryBalancerOnce)
{
  Fleet fleet;
  fleet.broadcasts["north03"]->SendToAll(kMessageType, "first");
  fleet.broadcasts["south07"]->SendToAll(kMessageType, "second");
  fleet.network.RunFor(Milliseconds(50));
  cr_assert(fleet.ReceivedOnce("first") == 23, "%zu",
            fleet.ReceivedOnce("first"));
  cr_assert(fleet.ReceivedOnce("second") == 23, "%zu",
            fleet.ReceivedOnce("second"));
  cr_assert(!fleet.received.contains("north03") ||
            fleet.received["north03"].size() == 1);
}

/// Fails each balancer in turn, before the membership has detected the failure.
Test(Broadcast, FailedBalancerPreventsNoDelivery)
{
  Fleet fleet;
  for (const auto& [failed, unused] : fleet.broadcasts) {
    if (failed == "north03") {
      continue;
    }
    fleet.network.cutLinks.clear();
    fleet.Isolate(failed);
    fleet.broadcasts["north03"]->SendToAll(kMessageType, failed);
    fleet.network.RunFor(Milliseconds(20));
    cr_assert(fleet.ReceivedOnce(failed) == 22, "%zu without %s",
              fleet.ReceivedOnce(failed), failed.c_str());
  }
}

/// An inner node of both trees would send more than kFanOut copies. Checked for
/// a domain of 857 balancers.
Test(Broadcast, TreeAndItsMirrorImageShareNoInnerNode)
{
  std::vector<std::string> nodes;
  nodes.reserve(857);
  for (int i = 0; i < 857; ++i) {
    nodes.push_back("10.0.0." + std::to_string(i));
  }
  const auto tree = TreeRootedAt(nodes[5]);
  const BroadcastTree mirror{ tree.seed, tree.root, true };
  for (const auto& node : nodes) {
    const auto children = ChildrenInTree(tree, node, nodes);
    const auto mirroredChildren = ChildrenInTree(mirror, node, nodes);
    cr_assert(children.size() <= kFanOut && mirroredChildren.size() <= kFanOut);
    cr_assert(node == nodes[5] || children.empty() || mirroredChildren.empty());
  }
}

Test(Broadcast, MalformedMessageIsCounted)
{
  Fleet fleet;
  fleet.network.links["north00:1"]->handlers.at(kMessageType)(
    wire::Hello{ "x", "north", "x:1", 1 }, "no message");
  cr_assert(fleet.network.metrics.Get(Counter::PeerFrameMalformed) == 1);
  cr_assert(fleet.received.empty());
}
