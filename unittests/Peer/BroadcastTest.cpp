// Fleet-wide broadcast, with balancers that fail to relay messages.

#include "unittests/Peer/TestNetwork.h"

#include "bramleylock/Peer/Broadcast.h"

#include <criterion/criterion.h>

#include <fmt/format.h>

using namespace bramleylock;
using namespace bramleylock::peer;

namespace {

constexpr auto kType = wire::MessageType::TargetSilence;

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
    broadcast->On(kType, [this, aName](const auto&, const std::string& aBody) {
      heard[aName].push_back(aBody);
    });
  }

  /// Drops all messages to and from aName.
  auto Isolate(const std::string& aName) -> void
  {
    for (const auto& [name, broadcast] : broadcasts) {
      network.CutBoth(aName, name);
    }
  }

  /// Number of balancers that received aBody exactly once.
  auto HeardOnce(const std::string& aBody) -> std::size_t
  {
    std::size_t count = 0;
    for (const auto& [name, bodies] : heard) {
      count += std::count(bodies.begin(), bodies.end(), aBody) == 1 ? 1 : 0;
    }
    return count;
  }

  TestNetwork network;
  std::map<std::string, std::unique_ptr<Broadcast>> broadcasts;
  std::map<std::string, std::vector<std::string>> heard;
};

} // namespace

Test(Broadcast, ReachesEveryBalancerOnce)
{
  Fleet fleet;
  fleet.broadcasts["north03"]->Announce(kType, "first");
  fleet.broadcasts["south07"]->Announce(kType, "second");
  fleet.network.RunFor(Milliseconds(50));
  cr_assert(fleet.HeardOnce("first") == 23, "%zu", fleet.HeardOnce("first"));
  cr_assert(fleet.HeardOnce("second") == 23, "%zu", fleet.HeardOnce("second"));
  cr_assert(!fleet.heard.contains("north03") ||
            fleet.heard["north03"].size() == 1);
}

/// Fails each balancer in turn, before the membership has detected the failure.
Test(Broadcast, BalancerThatIsGoneCutsOffNobody)
{
  Fleet fleet;
  for (const auto& [gone, unused] : fleet.broadcasts) {
    if (gone == "north03") {
      continue;
    }
    fleet.network.cuts.clear();
    fleet.Isolate(gone);
    fleet.broadcasts["north03"]->Announce(kType, gone);
    fleet.network.RunFor(Milliseconds(20));
    cr_assert(fleet.HeardOnce(gone) == 22, "%zu without %s",
              fleet.HeardOnce(gone), gone.c_str());
  }
}

/// An inner node of both trees would send more than kFanOut copies. Checked for
/// a domain of 857 balancers.
Test(Broadcast, MirrorImageOfATreeHasOtherInnerNodes)
{
  std::vector<std::string> nodes;
  nodes.reserve(857);
  for (int i = 0; i < 857; ++i) {
    nodes.push_back("10.0.0." + std::to_string(i));
  }
  const auto tree = TreeOf(nodes[5]);
  const SpreadTree mirror{ tree.seed, tree.root, true };
  for (const auto& node : nodes) {
    const auto children = ChildrenInTree(tree, node, nodes);
    const auto others = ChildrenInTree(mirror, node, nodes);
    cr_assert(children.size() <= kFanOut && others.size() <= kFanOut);
    cr_assert(node == nodes[5] || children.empty() || others.empty());
  }
}

Test(Broadcast, MessageThatIsNoneIsCounted)
{
  Fleet fleet;
  fleet.network.links["north00:1"]->handlers.at(kType)(
    wire::Hello{ "x", "north", "x:1", 1 }, "no message");
  cr_assert(fleet.network.metrics.Get(Counter::PeerFrameMalformed) == 1);
  cr_assert(fleet.heard.empty());
}
