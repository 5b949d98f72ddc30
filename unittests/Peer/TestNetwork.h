// A simulated network of memberships within one process.
#pragma once

#include "bramleylock/Peer/Membership.h"

#include <set>

namespace bramleylock::peer {

class TestNetwork;

/// The links of one balancer of a TestNetwork.
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

  auto UpdateIdentity(const wire::Hello& aSelf) -> void override
  {
    self = aSelf;
  }

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

/// Delivers messages between the memberships of one test, except over links
/// that the test has cut.
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
    std::vector<MemberCandidate> candidates;
    for (const auto& [address, link] : links) {
      candidates.push_back(
        { link->self.vm, link->self.failureDomain, address });
    }
    for (const auto& [address, each] : members) {
      each->SetCandidates(candidates);
    }
    member->Start(std::move(aFill));
    return *member;
  }

  auto RunFor(Milliseconds aTime) -> void { context.run_for(aTime); }

  auto CutBothDirections(const std::string& aLeft, const std::string& aRight)
    -> void
  {
    cutLinks.insert({ aLeft + ":1", aRight + ":1" });
    cutLinks.insert({ aRight + ":1", aLeft + ":1" });
  }

  asio::io_context context{ 1 };
  Metrics metrics;
  std::map<std::string, std::unique_ptr<TestLinks>> links;
  std::map<std::string, std::unique_ptr<Membership>> members;
  std::set<std::pair<std::string, std::string>> cutLinks;
};

inline auto TestLinks::Send(const std::string& aAddress,
                            wire::MessageType aType, std::string aBody) -> bool
{
  if (m_network.cutLinks.contains({ self.address, aAddress })) {
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

} // namespace bramleylock::peer
