// The scripted cases of the review.
#include "standin.hh"

#include <arpa/inet.h>
#include <signal.h>

#include <thread>

static std::string Text(std::uint32_t aIp)
{
  in_addr a{ htonl(aIp) };
  char text[32];
  return inet_ntop(AF_INET, &a, text, sizeof text);
}

/// Opens aPerSecond flows a second for aSeconds, alternating over the routes.
static void OpenFlows(World& aWorld, double aPerSecond, double aSeconds,
                      int aRequests, double aPauseS)
{
  for (const double until = Now() + aSeconds; Now() < until;
       SleepS(1 / aPerSecond))
    aWorld.client->OpenFlow(aWorld.routeIp, kLongPort, aRequests, aPauseS);
}

/// Another program writes an entry with a service that no desired state names.
/// It gives the address of a machine on which a host runs.
static void ForeignEntry(World& aWorld, bool aTrouble)
{
  aWorld.Build({ { "a", 2 }, { "b", 2 } }, 5, 1);
  SleepS(6);
  // Flows of 20 requests with a second between them.
  OpenFlows(aWorld, 4, 5, 20, 1.0);
  if (aTrouble) {
    const auto& host = *aWorld.hosts[0];
    const json entry{ { "service", "node-metrics" },
                      { "addr", Text(host.ip) + ":" + std::to_string(kHostPort) },
                      { "zone", host.zone },
                      { "version", "v1" },
                      { "slots", 1 },
                      { "state", "ready" },
                      { "coldLeftMs", 0 },
                      { "seq", 1 },
                      { "born", UnixMs() } };
    aWorld.store->Write("servers/m-5e1f0c21", entry.dump());
    Record("another writer's entry servers/m-5e1f0c21: %s",
           entry.dump().c_str());
  }
  OpenFlows(aWorld, 4, 10, 20, 1.0);
  SleepS(25);
}

/// Planned stops and starts of balancers, one after the other, move flows
/// between balancers while the links of zone b lose packets. Only flows whose
/// host is in another zone count.
static void LateSynAck(World& aWorld, bool aTrouble)
{
  aWorld.Build({ { "a", 3 }, { "b", 1 }, { "c", 1 } }, 6, 1);
  for (auto& host : aWorld.hosts)
    host->loss = host->zone == "b" ? 0.025 : 0;
  SleepS(6);
  std::thread load([&] { OpenFlows(aWorld, 50, 80, 5, 2.5); });
  SleepS(8);
  // Three rounds over the balancers.
  for (std::size_t i = 0; i < 3 * aWorld.nodes.size(); ++i) {
    if (aTrouble) {
      auto& node = *aWorld.nodes[i % aWorld.nodes.size()];
      node.Signal(SIGTERM);
      node.Await(6);
      node.Start(false);
    }
    SleepS(2);
  }
  load.join();
  SleepS(8);
}

const std::map<std::string, Case>& Cases()
{
  static const std::map<std::string, Case> cases{
    { "foreign-entry", ForeignEntry },
    { "late-syn-ack", LateSynAck },
  };
  return cases;
}
