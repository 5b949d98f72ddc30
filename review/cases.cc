// The scripted cases: what happens when.
#include "standin.hh"

#include <signal.h>

#include <random>
#include <thread>

static const std::vector<std::pair<std::string, int>> kNodes{
  { "tirol-ost-a", 3 },
  { "tirol-ost-b", 2 },
  { "tirol-ost-c", 2 }
};

/// Opens flows at a steady rate until aUntil, a time as of Now().
static void Traffic(World& aWorld, double aUntil, double aPerSecond,
                    int aRequests, double aPauseS)
{
  std::thread([&aWorld, aUntil, aPerSecond, aRequests, aPauseS] {
    while (Now() < aUntil) {
      aWorld.client->OpenFlow(aWorld.routeIp, kLongPort, aRequests, aPauseS);
      SleepS(1 / aPerSecond);
    }
  }).detach();
}

/// Hosts crash, one at a time, and start again under the id that they had.
static void SameIdRestart(World& aWorld, bool aTrouble)
{
  aWorld.Build(kNodes, 8, 2);
  std::mt19937 random(aWorld.seed);
  std::uniform_real_distribution<> downS(0.5, 1.5), registerS(0.1, 0.6);
  SleepS(6);
  const double start = Now();
  Traffic(aWorld, start + 72, 40, 3, 5.0);
  SleepS(4);
  for (std::size_t i = 0; i < 20; ++i) {
    const double next = Now() + 3;
    if (aTrouble) {
      auto& host = *aWorld.hosts[i % 8];
      host.Crash();
      SleepS(downS(random));
      host.Start();
      // A host listens first, and registers well within one heartbeat interval.
      SleepS(registerS(random));
      host.Beat();
    }
    SleepS(next - Now());
  }
  SleepS(start + 82 - Now());
}

/// Planned restarts of the nodes of one zone in turn, three times, while the
/// links of half of the hosts lose 2.5% of the datagrams to clients, with or
/// without restarts.
static void RollingRestart(World& aWorld, bool aTrouble)
{
  aWorld.Build(kNodes, 14, 4);
  // Resets of flows whose own host has such a link don't count.
  for (std::size_t i = 0; i < 14; i += 2)
    aWorld.hosts[i]->loss = 0.025;
  SleepS(6);
  const double start = Now();
  Traffic(aWorld, start + 64, 60, 3, 4.0);
  SleepS(12);
  for (std::size_t i = 0; aTrouble && i < 9; ++i) {
    auto& node = *aWorld.nodes[i % 3];
    node.Signal(SIGTERM);
    node.Await(6);
    SleepS(1.3);
    node.Start(false);
    SleepS(3);
  }
  SleepS(start + 76 - Now());
}

/// Another writer puts one entry whose service no desired state names. It gives
/// the address of a machine on which a host runs.
static void ForeignEntry(World& aWorld, bool aTrouble)
{
  aWorld.Build(kNodes, 6, 2);
  SleepS(6);
  const double start = Now();
  Traffic(aWorld, start + 25, 20, 8, 1.0);
  SleepS(10);
  if (aTrouble) {
    auto& host = *aWorld.hosts[0];
    json entry;
    {
      std::lock_guard lock(host.mutex);
      entry = host.Entry();
    }
    entry["service"] = "node-metrics";
    entry["seq"] = 1;
    entry["born"] = UnixMs();
    Record("another writer puts servers/m-5e1f0c21: %s", entry.dump().c_str());
    aWorld.store->Write("servers/m-5e1f0c21", entry.dump());
  }
  SleepS(start + 40 - Now());
}

/// The time of day of a host's machine is corrected by 2.4 s shortly after the
/// host has started; the host crashes and starts again under its id. Later it
/// is emptied as planned. The next hosts follow in turn.
static void ClockCorrected(World& aWorld, bool aTrouble)
{
  aWorld.Build(kNodes, 8, 2);
  SleepS(6);
  const double start = Now();
  Traffic(aWorld, start + 66, 40, 1, 0.1);
  SleepS(4);
  for (std::size_t i = 0; i < 4; ++i) {
    auto& host = *aWorld.hosts[i];
    host.Crash();
    SleepS(1.0);
    host.Start();
    host.Beat();
    SleepS(0.8);
    if (aTrouble) {
      Record("the time of day on the machine of host %s jumps back by 2.4 s",
             host.id.c_str());
      host.clockOffsetMs = -2400;
      host.Crash();
      SleepS(0.7);
      host.Start();
      host.Beat();
    }
    SleepS(4.5);
    host.clockOffsetMs = 0;
    SleepS(1.0);
    host.Drain();
    SleepS(6.0);
    host.Leave();
    SleepS(1.0);
    host.Start();
    host.Beat();
  }
  SleepS(start + 72 - Now());
}

/// A node stands still for 3 s and goes on.
static void FrozenNode(World& aWorld, bool aTrouble)
{
  aWorld.Build(kNodes, 14, 4);
  SleepS(6);
  const double start = Now();
  Traffic(aWorld, start + 58, 18, 2, 7.0);
  SleepS(8);
  for (std::size_t i = 0; i < 3; ++i) { // the nodes of the zone in turn
    auto& node = *aWorld.nodes[i];
    if (aTrouble) {
      node.Signal(SIGSTOP);
      node.calmSince = 1e9;
    }
    SleepS(3);
    if (aTrouble) {
      node.Signal(SIGCONT);
      node.calmSince = Now();
    }
    SleepS(14);
  }
  SleepS(start + 74 - Now());
}

/// All nodes are killed at the same moment and start again within 0.3 s of each
/// other. The links of two zones and of the node that reads for the others lose
/// a packet to the store each, which TCP sends again after 250 ms. Hosts are
/// emptied as planned at that moment.
static void DrainAtRestart(World& aWorld, bool aTrouble)
{
  aWorld.drainS = 5.0;
  aWorld.stableWindowS = 5.0;
  aWorld.Build(kNodes, 60, 4);
  SleepS(9);
  const double start = Now();
  Traffic(aWorld, start + 76, 90, 1, 0.1);
  std::map<std::string, Host*> byId;
  for (auto& host : aWorld.hosts)
    byId[host->id] = host.get();
  for (int round = 0; round < 5; ++round) {
    SleepS(5);
    const auto reader = aWorld.store->Watcher();
    Record("node %s reads for the others", reader.c_str());
    // Hosts of the clients' zone behind the first page: the last ones by id.
    std::vector<Host*> leaving;
    std::size_t behind = byId.size() + 3 - kPageItems;
    for (auto row = byId.rbegin();
         row != byId.rend() && behind > 0 && leaving.size() < 5;
         ++row, --behind)
      if (row->second->service == "einsatz" &&
          row->second->zone == aWorld.clientZone)
        leaving.push_back(row->second);
    if (aTrouble) {
      std::set<std::string> slow;
      for (auto& node : aWorld.nodes) {
        if (node->zone != aWorld.clientZone || node->name == reader)
          slow.insert(node->name);
        node->Signal(SIGKILL);
        node->calmSince = 1e9;
      }
      for (auto& node : aWorld.nodes)
        node->Await(1);
      SleepS(1.2);
      aWorld.store->DelayNext(slow, "GET /kv-range?prefix=&after=", 0.25);
      for (auto& node : aWorld.nodes)
        if (slow.contains(node->name))
          node->Start(false);
      SleepS(0.16);
      for (auto& node : aWorld.nodes)
        if (!slow.contains(node->name))
          node->Start(false);
      for (auto& node : aWorld.nodes)
        node->calmSince = Now();
      SleepS(0.05);
    }
    for (auto* host : leaving)
      host->Drain();
    SleepS(8);
    for (auto* host : leaving)
      host->Leave();
    SleepS(0.3);
    for (auto* host : leaving) {
      host->Start();
      host->Beat();
    }
  }
  SleepS(start + 82 - Now());
}

const std::map<std::string, Case>& Cases()
{
  static const std::map<std::string, Case> cases{
    { "same-id-restart", SameIdRestart },
    { "rolling-restart", RollingRestart },
    { "foreign-entry", ForeignEntry },
    { "drain-at-restart", DrainAtRestart },
    { "clock-corrected", ClockCorrected },
    { "frozen-node", FrozenNode },
  };
  return cases;
}
