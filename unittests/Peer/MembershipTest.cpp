// Probing over links that a test controls.

#include "bramleylock/Peer/Membership.h"

#include <criterion/criterion.h>

using namespace bramleylock;
using namespace bramleylock::peer;

namespace {

/// Delivers messages between the memberships of one test, except those that
/// are cut.
class TestNetwork;

class TestLinks : public PeerLinks
{
public:
  TestLinks(TestNetwork& aNetwork, wire::Hello aSelf)
    : m_network(aNetwork)
    , self(std::move(aSelf))
  {
  }

  auto On(wire::MessageType aType, MessageHandler aHandler) -> void override
  {
    handlers[aType] = std::move(aHandler);
  }

  auto Send(const std::string& aAddress, wire::MessageType aType,
            std::string aBody) -> bool override;

  auto OnUnreachable(std::function<void(const std::string&)> aListener)
    -> void override
  {
    unreachable = std::move(aListener);
  }

private:
  TestNetwork& m_network;

public:
  wire::Hello self;
  std::map<wire::MessageType, MessageHandler> handlers;
  std::function<void(const std::string&)> unreachable;
};

class TestNetwork
{
public:
  auto Add(
    const std::string& aName, const std::string& aDomain,
    std::uint64_t aIncarnation = 1,
    std::function<void(wire::Heartbeat&)> aFill = [](wire::Heartbeat&) {})
    -> Membership&
  {
    const wire::Hello self{ aName, aDomain, aName + ":1", aIncarnation };
    links[self.address] = std::make_unique<TestLinks>(*this, self);
    auto& member = members[self.address];
    member = std::make_unique<Membership>(context, *links[self.address], self,
                                          metrics);
    std::vector<MemberHint> hints;
    for (const auto& [address, link] : links) {
      hints.push_back({ link->self.vm, link->self.failureDomain, address });
    }
    for (const auto& [address, each] : members) {
      each->SetHints(hints);
    }
    member->Start(std::move(aFill));
    return *member;
  }

  auto RunFor(Milliseconds aTime) -> void { context.run_for(aTime); }

  auto CutBoth(const std::string& aLeft, const std::string& aRight) -> void
  {
    cuts.insert({ aLeft + ":1", aRight + ":1" });
    cuts.insert({ aRight + ":1", aLeft + ":1" });
  }

  asio::io_context context{ 1 };
  Metrics metrics;
  std::map<std::string, std::unique_ptr<TestLinks>> links;
  std::map<std::string, std::unique_ptr<Membership>> members;
  std::set<std::pair<std::string, std::string>> cuts;
};

auto TestLinks::Send(const std::string& aAddress, wire::MessageType aType,
                     std::string aBody) -> bool
{
  if (m_network.cuts.contains({ self.address, aAddress })) {
    return false;
  }
  asio::post(m_network.context, [this, aAddress, aType, aBody] {
    auto& receiver = m_network.links[aAddress];
    if (receiver && receiver->handlers.contains(aType)) {
      receiver->handlers[aType](self, aBody);
    }
  });
  return true;
}

} // namespace

Test(Membership, MembersOfOneDomainFindEachOther)
{
  TestNetwork network;
  auto& first = network.Add("a", "north");
  network.Add("b", "north");
  network.Add("c", "north");
  network.RunFor(Milliseconds(1500));
  cr_assert(first.AliveInDomain().size() == 2);
  cr_assert(first.AliveCount() == 3);
}

Test(Membership, OneWayLossIsBridgedByOtherMembers)
{
  TestNetwork network;
  auto& first = network.Add("a", "north");
  network.Add("b", "north");
  network.Add("c", "north");
  network.RunFor(Milliseconds(1500));
  network.cuts.insert({ "a:1", "b:1" });
  network.RunFor(Milliseconds(4000));
  cr_assert(first.AliveInDomain().size() == 2);
  cr_assert(network.metrics.Get(Counter::MemberDied) == 0);
}

Test(Membership, CutMemberDiesAndComesBackAfterHealing)
{
  TestNetwork network;
  auto& first = network.Add("a", "north");
  network.Add("b", "north");
  auto& third = network.Add("c", "north");
  network.RunFor(Milliseconds(1500));
  network.CutBoth("a", "c");
  network.CutBoth("b", "c");
  network.RunFor(Milliseconds(4500));
  cr_assert(!first.IsAlive("c:1", 1));
  cr_assert(third.AliveInDomain().empty());
  network.cuts.clear();
  network.RunFor(Milliseconds(2500));
  cr_assert(first.IsAlive("c:1", 1));
  cr_assert(third.AliveInDomain().size() == 2);
  cr_assert(network.metrics.Get(Counter::MemberRefuted) > 0);
}

Test(Membership, OtherDomainIsKnownAndLostWhenCut)
{
  TestNetwork network;
  auto& first = network.Add("a", "north");
  auto& other = network.Add("b", "south");
  network.RunFor(Milliseconds(2500));
  cr_assert(first.AliveCount() == 2);
  cr_assert(first.IsAlive("b:1", 1));
  network.CutBoth("a", "b");
  network.RunFor(Milliseconds(5000));
  cr_assert(!first.IsAlive("b:1", 1));
  cr_assert(first.LostDomains().size() == 1);
  cr_assert(other.AliveCount() == 1);
}

Test(Membership, UnknownOwnerIsTriedUntilConnectsFail)
{
  TestNetwork network;
  auto& first = network.Add("a", "north");
  cr_assert(first.IsAlive("z:1", 9));
  network.links["a:1"]->unreachable("z:1");
  cr_assert(first.IsAlive("z:1", 9));
  network.links["a:1"]->unreachable("z:1");
  cr_assert(!first.IsAlive("z:1", 9));
}

Test(Membership, NewRunAtAnAddressReplacesTheOldOwner)
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
  const auto members = first.AliveInDomain();
  cr_assert(members.size() == 1);
  const auto& counts = members[0].latest.inFlight;
  cr_assert(counts.size() == 16, "%zu targets", counts.size());
  cr_assert(counts[0].second == 1000);
}

Test(Membership, PausedMemberLearnsThatItWasHeldDeadAndRefutes)
{
  TestNetwork network;
  auto& first = network.Add("a", "north");
  auto& second = network.Add("b", "north");
  network.RunFor(Milliseconds(1000));
  network.CutBoth("a", "b");
  network.RunFor(Milliseconds(4500));
  cr_assert(!first.IsAlive("b:1", 1));
  network.cuts.clear();
  network.RunFor(Milliseconds(1500));
  cr_assert(first.IsAlive("b:1", 1));
  cr_assert(second.IsAlive("a:1", 1));
}

Test(Membership, MemberOfALostDomainCountsAsAliveWhileItIsHeard)
{
  TestNetwork network;
  auto& here = network.Add("a", "north");
  const wire::Hello there{ "b", "south", "b:1", 1 };
  // Its domain's summary comes once and then stands still.
  wire::Gossip gossip;
  wire::DomainSummary summary{ "south", 1, 7, 1, {} };
  summary.members.push_back({ "b", "south", "b:1", 1, 0, 1, false });
  gossip.domains.push_back(summary);
  for (int i = 0; i < 10; ++i) {
    network.links["a:1"]->handlers[wire::MessageType::Heartbeat](
      there, wire::PackBody(gossip));
    gossip.domains.clear();
    for (int j = 0; j < 10; ++j) {
      network.RunFor(Milliseconds(50));
      cr_assert(here.IsAlive("b:1", 1));
    }
  }
  cr_assert(here.LostDomains().size() == 1);
  network.RunFor(Milliseconds(3000));
  cr_assert(!here.IsAlive("b:1", 1));
}
