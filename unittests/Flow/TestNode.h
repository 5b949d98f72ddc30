// A reduced balancer for tests of single components of the flow layer.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "bramleylock/Flow/SuccessorTable.h"

namespace bramleylock::flow {

/// One balancer without its caller socket: peer links, membership and successor
/// records. Datagrams to callers are collected in `sent`.
struct TestNode
{
  TestNode(asio::io_context& aContext, const std::string& aName,
           const std::string& aDomain)
    : lists(metrics)
    , hub(aContext, Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0), {},
          metrics)
    , self{ aName, aDomain, hub.Address(), 1 }
    , members(aContext, hub, self, metrics)
    , targets(aDomain,
              target::TransportRegistry::Instance().Create("http1", aContext),
              target::ChoiceRegistry::Instance().Create("two-choices"), metrics,
              1)
    , admission(
        admission::AdmissionRegistry::Instance().Create("fifo", aContext))
    , planLimits(
        admission::AllowanceSharingRegistry::Instance().Create("static"))
    , environment{ aContext,
                   metrics,
                   keys,
                   lists,
                   hub,
                   members,
                   targets,
                   *admission,
                   retries,
                   planLimits,
                   [this](const Udp::endpoint&, const std::string& aData) {
                     sent.push_back(aData);
                   } }
    , successors(environment, std::chrono::seconds(60))
  {
  }

  auto Start() -> void
  {
    hub.Start(self);
    members.Start([](wire::Heartbeat&) {});
    successors.Start();
  }

  /// Datagrams sent to callers.
  std::vector<std::string> sent;
  Metrics metrics;
  wire::KeyRing keys;
  lists::ListReplica lists;
  peer::PeerHub hub;
  wire::Hello self;
  peer::Membership members;
  target::TargetTable targets;
  std::unique_ptr<admission::AdmissionPolicy> admission;
  admission::RetryBudget retries;
  admission::PlanLimits planLimits;
  Environment environment;
  SuccessorTable successors;
};

} // namespace bramleylock::flow
