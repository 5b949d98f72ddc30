// Membership over simulated links that a test can cut.

#include "unittests/Peer/TestNetwork.h"

#include <criterion/criterion.h>

using namespace bramleylock;
using namespace bramleylock::peer;

Test(Membership, MembersOfOneDomainFindEachOther)
{
  TestNetwork network;
  auto& first = network.Add("a", "north");
  network.Add("b", "north");
  network.Add("c", "north");
  network.RunFor(Milliseconds(1500));
  cr_assert(first.AliveMembersInDomain().size() == 2);
  cr_assert(first.AliveCount() == 3);
}

Test(Membership, OneWayLossIsToleratedThroughIndirectProbes)
{
  TestNetwork network;
  auto& first = network.Add("a", "north");
  network.Add("b", "north");
  network.Add("c", "north");
  network.RunFor(Milliseconds(1500));
  network.cutLinks.insert({ "a:1", "b:1" });
  network.RunFor(Milliseconds(4000));
  cr_assert(first.AliveMembersInDomain().size() == 2);
  cr_assert(network.metrics.Get(Counter::MemberDied) == 0);
}

Test(Membership, PartitionedMemberIsDeclaredDeadAndRejoinsLater)
{
  TestNetwork network;
  auto& first = network.Add("a", "north");
  network.Add("b", "north");
  auto& third = network.Add("c", "north");
  network.RunFor(Milliseconds(1500));
  network.CutBothDirections("a", "c");
  network.CutBothDirections("b", "c");
  network.RunFor(Milliseconds(4500));
  cr_assert(!first.IsAlive("c:1", 1));
  cr_assert(third.AliveMembersInDomain().empty());
  network.cutLinks.clear();
  network.RunFor(Milliseconds(2500));
  cr_assert(first.IsAlive("c:1", 1));
  cr_assert(third.AliveMembersInDomain().size() == 2);
  cr_assert(network.metrics.Get(Counter::MemberRefuted) > 0);
}

Test(Membership, OtherDomainIsMarkedLostWhenPartitioned)
{
  TestNetwork network;
  auto& first = network.Add("a", "north");
  auto& other = network.Add("b", "south");
  network.RunFor(Milliseconds(2500));
  cr_assert(first.AliveCount() == 2);
  cr_assert(first.IsAlive("b:1", 1));
  network.CutBothDirections("a", "b");
  network.RunFor(Milliseconds(5000));
  cr_assert(!first.IsAlive("b:1", 1));
  cr_assert(first.LostDomains().size() == 1);
  cr_assert(other.AliveCount() == 1);
}

Test(Membership, SummariesReportTheLowestKeyIdOfAllMembers)
{
  TestNetwork network;
  const auto withNewestKeyId = [](std::uint32_t aKey) {
    return
      [aKey](wire::Heartbeat& aHeartbeat) { aHeartbeat.newestKeyId = aKey; };
  };
  std::uint32_t newestKeyIdOfC = 1;
  auto& first = network.Add("a", "north", 1, withNewestKeyId(2));
  network.Add("b", "south", 1, withNewestKeyId(2));
  network.Add("c", "south", 1, [&newestKeyIdOfC](wire::Heartbeat& aHeartbeat) {
    aHeartbeat.newestKeyId = newestKeyIdOfC;
  });
  network.RunFor(Milliseconds(3000));
  cr_assert(
    first.LowestKeyIdByDomain() ==
    (std::map<std::string, std::uint32_t>{ { "north", 2 }, { "south", 1 } }));
  newestKeyIdOfC = 2;
  network.RunFor(Milliseconds(3000));
  cr_assert(first.LowestKeyIdByDomain().at("south") == 2);
  network.CutBothDirections("a", "b");
  network.CutBothDirections("a", "c");
  network.RunFor(Milliseconds(5000));
  cr_assert(!first.LowestKeyIdByDomain().contains("south"));
}

Test(Membership, UnknownOwnerCountsAsAliveUntilConnectsFail)
{
  TestNetwork network;
  auto& first = network.Add("a", "north");
  cr_assert(first.IsAlive("z:1", 9));
  network.links["a:1"]->unreachable("z:1");
  cr_assert(first.IsAlive("z:1", 9));
  network.links["a:1"]->unreachable("z:1");
  cr_assert(!first.IsAlive("z:1", 9));
}

Test(Membership, NewIncarnationAtAnAddressReplacesTheOldOwner)
{
  TestNetwork network;
  auto& first = network.Add("a", "north");
  network.Add("b", "north", 7);
  network.RunFor(Milliseconds(1000));
  cr_assert(first.IsAlive("b:1", 7));
  wire::Gossip gossip;
  network.links["a:1"]->handlers[wire::MessageType::Heartbeat](
    { "b", "north", "b:1", 8 }, wire::PackBody(gossip));
  cr_assert(!first.IsAlive("b:1", 7));
  cr_assert(first.IsAlive("b:1", 8));
}

Test(Membership, HeartbeatListsABoundedNumberOfTargets)
{
  TestNetwork network;
  auto& first = network.Add("a", "north");
  network.Add("b", "north", 1, [](wire::Heartbeat& aHeartbeat) {
    for (std::uint32_t i = 1; i <= 1000; ++i) {
      aHeartbeat.inFlight.emplace_back("t:" + std::to_string(i), i);
    }
  });
  network.RunFor(Milliseconds(1500));
  const auto members = first.AliveMembersInDomain();
  cr_assert(members.size() == 1);
  const auto& counts = members[0].latestHeartbeat.inFlight;
  cr_assert(counts.size() == 16, "%zu targets", counts.size());
  cr_assert(counts[0].second == 1000);
}

Test(Membership, MemberLearnsThatItWasDeclaredDeadAndRefutes)
{
  TestNetwork network;
  auto& first = network.Add("a", "north");
  auto& second = network.Add("b", "north");
  network.RunFor(Milliseconds(1000));
  network.CutBothDirections("a", "b");
  network.RunFor(Milliseconds(4500));
  cr_assert(!first.IsAlive("b:1", 1));
  network.cutLinks.clear();
  network.RunFor(Milliseconds(1500));
  cr_assert(first.IsAlive("b:1", 1));
  cr_assert(second.IsAlive("a:1", 1));
}

Test(Membership, MemberOfALostDomainCountsAsAliveWhileItSendsMessages)
{
  TestNetwork network;
  auto& observer = network.Add("a", "north");
  const wire::Hello sender{ "b", "south", "b:1", 1 };
  // The summary of its domain arrives once and is not renewed.
  wire::Gossip gossip;
  wire::DomainSummary summary{ "south", 1, 7, 1, {} };
  summary.members.push_back({ "b", "south", "b:1", 1, 0, 1, false });
  gossip.domains.push_back(summary);
  for (int i = 0; i < 10; ++i) {
    network.links["a:1"]->handlers[wire::MessageType::Heartbeat](
      sender, wire::PackBody(gossip));
    gossip.domains.clear();
    for (int j = 0; j < 10; ++j) {
      network.RunFor(Milliseconds(50));
      cr_assert(observer.IsAlive("b:1", 1));
    }
  }
  cr_assert(observer.LostDomains().size() == 1);
  network.RunFor(Milliseconds(3000));
  cr_assert(!observer.IsAlive("b:1", 1));
}

/// If a machine's clock is set back, its balancer restarts with a lower
/// incarnation than before. Other members then took its messages for those of
/// the former process and ignored it until that one's record had expired.
Test(Membership, BalancerThatRestartsWithALowerIncarnationRenewsIt)
{
  TestNetwork network;
  auto& first = network.Add("a", "north");
  const wire::MemberRecord formerRecord{
    "b", "north", "b:1", 100, 0, 1, false
  };
  network.links["a:1"]->handlers[wire::MessageType::MemberSync](
    wire::Hello{ "c", "north", "c:1", 1 },
    wire::PackBody(wire::MemberSync{ false, { formerRecord } }));
  auto& restarted = network.Add("b", "north", 7);
  restarted.AllowIncarnationRenewal();
  network.RunFor(Milliseconds(3000));
  cr_assert(restarted.Self().incarnation == 101);
  cr_assert(first.AliveMembersInDomain().size() == 1);
  cr_assert(first.AliveMembersInDomain().front().incarnation == 101);
  cr_assert(network.metrics.Get(Counter::MemberRenewed) == 1);
}

/// Tokens name the incarnation of a flow owner, so it must not change unless
/// the balancer has allowed that.
Test(Membership, IncarnationIsNotRenewedUnlessAllowed)
{
  TestNetwork network;
  network.Add("a", "north");
  const wire::MemberRecord formerRecord{
    "b", "north", "b:1", 100, 0, 1, false
  };
  network.links["a:1"]->handlers[wire::MessageType::MemberSync](
    wire::Hello{ "c", "north", "c:1", 1 },
    wire::PackBody(wire::MemberSync{ false, { formerRecord } }));
  auto& restarted = network.Add("b", "north", 7);
  network.RunFor(Milliseconds(2000));
  cr_assert(restarted.Self().incarnation == 7);
}

namespace {

/// A fleet whose members initially know only the addresses of three seeds.
struct SeededFleet
{
  SeededFleet(const std::vector<std::string>& aDomains, int aMembers)
  {
    for (const auto& domain : aDomains) {
      for (int i = 0; i < aMembers; ++i) {
        const auto address = domain + std::to_string(i) + ":1";
        const wire::Hello self{ domain + std::to_string(i), domain, address,
                                1 };
        network.links[address] = std::make_unique<TestLinks>(network, self);
        auto& member = network.members[address];
        member = std::make_unique<Membership>(
          network.context, *network.links[address], self, network.metrics);
        member->SetCandidates(CandidatesFromSeeds("a0:1 b0:1 c0:1"));
        member->Start([](wire::Heartbeat&) {});
      }
    }
  }

  /// Number of domains marked as lost, summed over all members.
  auto LostDomainCount() -> std::size_t
  {
    std::size_t lost = 0;
    for (const auto& [address, member] : network.members) {
      lost += member->LostDomains().size();
    }
    return lost;
  }

  TestNetwork network;
};

} // namespace

/// Balancers in domains without a seed marked the other domains as lost without
/// any fault, and then read the store themselves.
Test(Membership, DomainsWithoutASeedDoNotMarkOthersAsLost, .timeout = 60)
{
  SeededFleet fleet({ "a", "b", "c", "d", "e" }, 17);
  fleet.network.RunFor(Milliseconds(6000));
  std::size_t lost = 0;
  for (int second = 0; second < 12; ++second) {
    fleet.network.RunFor(Milliseconds(1000));
    lost = std::max(lost, fleet.LostDomainCount());
  }
  cr_assert(lost == 0, "%zu", lost);
  for (const auto& [address, member] : fleet.network.members) {
    cr_assert(member->AliveCount() == 85, "%zu", member->AliveCount());
  }
}
