// The scenarios of the scripts of this review.
// Usage: cases-2 SCENARIO DAEMON FOLDER RECORD TROUBLE(0|1) SEED
// Exits with 0 if the rule held, 1 if it was broken, 2 if it could not run.

#include "stage-2.hh"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <set>

#include <csignal>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace stage;

namespace {

std::string g_daemon;
std::string g_folder;
bool g_trouble = true;
std::uint64_t g_seed = 1;

/// Machines and addresses of a deployment. Balancers are named by zone and
/// number. The first one of each zone is a seed, in a single zone the first
/// three.
struct Deployment
{
  std::uint16_t packets = FreePort();
  std::uint16_t readiness = FreePort();
  std::uint16_t control = FreePort();
  std::uint16_t storePort = FreePort();
  std::uint16_t hostPort = FreePort();
  std::unique_ptr<Store> store;
  std::vector<std::unique_ptr<Balancer>> balancers;
  std::vector<std::unique_ptr<Host>> hosts;
  std::vector<std::unique_ptr<Clients>> clients;
  std::string routeIp = Net() + "200.1";
  std::uint16_t routePort = 443;

  Deployment(const std::vector<std::pair<std::string, int>>& aZones,
             Ms aDrainMs, const std::string& aExtra);
  ~Deployment();
  auto AddHost(HostOptions aOptions) -> Host&;
  auto AddClients(const std::string& aZone) -> Clients&;
  auto Start() -> void;
  auto AllInRotation() -> bool;
};

Deployment::Deployment(const std::vector<std::pair<std::string, int>>& aZones,
                       Ms aDrainMs, const std::string& aExtra)
{
  const auto storeIp = Net() + "2.1";
  store = std::make_unique<Store>(storeIp, storePort);
  std::string seeds;
  int seedCount = 0;
  int number = 0;
  std::vector<SettingsOptions> all;
  for (const auto& [zone, count] : aZones) {
    for (int i = 1; i <= count; ++i) {
      SettingsOptions options;
      options.name = "edge-" + zone + "-" + std::to_string(i);
      options.zone = zone;
      options.ip = Net() + "1." + std::to_string(++number);
      options.packets = packets;
      options.readiness = readiness;
      options.control = control;
      options.store = storeIp + ":" + std::to_string(storePort);
      options.drainMs = aDrainMs;
      options.extra = aExtra;
      if ((i == 1 || aZones.size() == 1) && seedCount < 3) {
        seeds += options.ip + ":" + std::to_string(control) + " ";
        ++seedCount;
      }
      all.push_back(options);
    }
  }
  for (auto& options : all) {
    options.seeds = seeds;
    const auto path = g_folder + "/" + options.name + ".toml";
    WriteSettings(path, options);
    balancers.push_back(std::make_unique<Balancer>(
      BalancerOptions{ options.name, options.ip, options.zone, g_daemon, path,
                       g_folder + "/" + options.name + ".log" },
      readiness));
    balancers.back()->onRotation = [](Balancer& aBalancer, bool aIn) {
      Record(aBalancer.Options().name + (aIn ? " in" : " out of") +
             " rotation");
    };
  }
}

Deployment::~Deployment()
{
  for (const auto& balancer : balancers) {
    if (balancer->IsRunning()) {
      balancer->Signal(SIGKILL);
    }
  }
  for (const auto& balancer : balancers) {
    while (balancer->IsRunning()) {
      ::usleep(10000);
    }
  }
}

auto Deployment::AddHost(HostOptions aOptions) -> Host&
{
  const auto number = hosts.size() + 1;
  char id[32];
  std::snprintf(id, sizeof id, "i-7f3a91%02zx", number);
  aOptions.id = id;
  aOptions.ip = Net() + "3." + std::to_string(number);
  aOptions.port = hostPort;
  aOptions.clientPort = packets;
  hosts.push_back(std::make_unique<Host>(*store, aOptions));
  return *hosts.back();
}

auto Deployment::AddClients(const std::string& aZone) -> Clients&
{
  std::vector<Balancer*> all;
  for (const auto& balancer : balancers) {
    all.push_back(balancer.get());
  }
  clients.push_back(std::make_unique<Clients>(
    Net() + "9." + std::to_string(clients.size() + 1), packets, aZone, all,
    g_seed * 100 + clients.size()));
  return *clients.back();
}

auto Deployment::AllInRotation() -> bool
{
  return std::all_of(balancers.begin(), balancers.end(), [](const auto& aOne) {
    return aOne->absent || aOne->InRotation();
  });
}

auto Deployment::Start() -> void
{
  for (const auto& balancer : balancers) {
    if (!balancer->absent) {
      balancer->Start();
      balancer->Probe();
    }
  }
  const auto until = Now() + 15000;
  while (!AllInRotation() && Now() < until) {
    Events().RunUntil(Now() + 50);
  }
  if (!AllInRotation()) {
    std::fprintf(stderr, "cannot run: the balancers do not become ready\n");
    std::exit(2);
  }
  for (const auto& balancer : balancers) {
    balancer->bootstrap = false;
  }
  // The balancers find each other.
  Events().RunUntil(Now() + 6000);
}

auto Route(const std::string& aName, const std::string& aIp, int aPort,
           const std::string& aType, const std::string& aService) -> std::string
{
  return "{\"name\":\"" + aName + "\",\"host\":\"" + aIp +
         "\",\"prefix\":\"/" + std::to_string(aPort) + "/\",\"type\":\"" +
         aType +
         "\",\"timeoutMs\":3000,\"latencyGoalMs\":300,\"prio\":1,\"service\":"
         "\"" +
         aService + "\",\"attempts\":2}";
}

auto Service(const std::string& aName, double aColdS, double aColdPerS,
             int aMaxFlows = 2000) -> std::string
{
  char text[200];
  std::snprintf(text, sizeof text,
                "{\"name\":\"%s\",\"healthPath\":\"/health\",\"maxFlows\":%d,"
                "\"protocol\":\"h1\",\"tls\":false,\"coldStartS\":%.1f,"
                "\"coldPerS\":%.1f}",
                aName.c_str(), aMaxFlows, aColdS, aColdPerS);
  return text;
}

auto Configuration(int aVersion, const std::string& aRoutes,
                   const std::string& aServices) -> std::string
{
  return "{\"version\":" + std::to_string(aVersion) + ",\"routes\":[" +
         aRoutes + "],\"services\":[" + aServices +
         "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
         "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
}

/// Sends requests at a mean rate until aUntil.
auto Load(Clients& aClients, const Deployment& aDeployment, double aPerSecond,
          Ms aBudget, Ms aUntil,
          std::function<void(Attempt&, Outcome)> aOnEnd) -> void
{
  static std::mt19937_64 random(g_seed);
  static std::uint64_t next = 0;
  if (Now() >= aUntil) {
    return;
  }
  aClients.Request("GET /" + std::to_string(++next), aDeployment.routeIp,
                   aDeployment.routePort, aBudget, aOnEnd);
  const auto gap =
    std::exponential_distribution<double>(aPerSecond)(random) * 1000;
  // Several requests may begin in one millisecond.
  static std::map<Clients*, double> due;
  auto& at = due[&aClients];
  at = std::max(at, static_cast<double>(Now()) - 50) + gap;
  Events().After(
    std::max<Ms>(0, static_cast<Ms>(at) - Now()),
    [&aClients, &aDeployment, aPerSecond, aBudget, aUntil, aOnEnd] {
      Load(aClients, aDeployment, aPerSecond, aBudget, aUntil, aOnEnd);
    });
}

/// Rule FLOW: balancers stop and start in turn while requests are at work. The
/// links of every second host lose 2 of 100 packets that it sends, with and
/// without the stops. Only flows of the other hosts count.
auto FlowScenario() -> int
{
  Deployment deployment({ { "za", 3 } }, 3000, "");
  deployment.store->Put(
    "op/config",
    Configuration(3, Route("r-1", deployment.routeIp, 443, "unsafe", "s1"),
                  Service("s1", 2, 0)));
  // The hosts that began to work on each request.
  std::map<std::string, std::string> runs;
  std::set<std::string> soundHosts;
  int excused = 0;
  for (int i = 0; i < 24; ++i) {
    HostOptions options;
    options.service = "s1";
    options.zone = "za";
    options.slots = 4;
    options.workMs = 300;
    options.loss = i % 2 == 0 ? 0.02 : 0;
    auto& host = deployment.AddHost(options);
    if (options.loss == 0) {
      soundHosts.insert(host.Options().ip);
    }
    host.onRun = [&runs](Host& aHost, const std::string& aId) {
      runs[aId] += aHost.Options().id + " ";
    };
    host.Start(false);
  }
  deployment.Start();
  auto& clients = deployment.AddClients("za");
  std::map<std::string, int> outcomes;
  int broken = 0;
  const auto end = Now() + 90000;
  Load(clients, deployment, 240, 3000, end - 4000,
       [&](Attempt& aAttempt, Outcome aOutcome) {
         ++outcomes[OutcomeName(aOutcome)];
         if (aOutcome == Outcome::ResetByOtherHost ||
             aOutcome == Outcome::ResetByBalancer) {
           // The flow is open once its host has the end of the handshake.
           const auto own = aAttempt.host.substr(0, aAttempt.host.find(' '));
           if (!soundHosts.contains(own) || runs[aAttempt.id].empty()) {
             ++excused;
             return;
           }
           ++broken;
           Record("FLOW broken: " + aAttempt.id + " from port " +
                  std::to_string(aAttempt.port) + ", open for " +
                  std::to_string(Now() - aAttempt.openedAt) + " ms at " +
                  aAttempt.host + ", " + OutcomeName(aOutcome) +
                  "; run by: " + runs[aAttempt.id]);
         }
       });
  // One balancer after the other is stopped and started again.
  if (g_trouble) {
    for (int i = 0; i < 24; ++i) {
      Events().After(2000 + 3400 * i, [&deployment, i] {
        auto& balancer = *deployment.balancers[static_cast<std::size_t>(i) % 3];
        balancer.Signal(SIGTERM);
        balancer.RestartAfterEnd(300);
      });
    }
  }
  Events().RunUntil(end);
  for (const auto& [name, count] : outcomes) {
    Record(std::to_string(count) + " requests: " + name);
  }
  Record("resets at hosts with lossy links, not counted: " +
         std::to_string(excused));
  Record("flows reset by others than their host: " + std::to_string(broken));
  return broken > 0 ? 1 : 0;
}

/// For each host, when the flows that it took while cold were sent, and when
/// they arrived.
using Openings = std::map<std::string, std::vector<std::pair<Ms, Ms>>>;

auto CountColdOpenings(Host& aHost, Openings& aOpenings) -> void
{
  aHost.onOpening = [&aOpenings](Host& aTaker, const Packet& aPacket) {
    if (aTaker.IsCold()) {
      aOpenings[aTaker.Options().id].push_back(
        { OpeningSentAt(aPacket), Now() });
    }
  };
}

/// Rule FAILBACK: no cold host takes more than aLimit flows that were sent and
/// arrived inside one second.
auto ColdLimitIsExceeded(const Openings& aOpenings, double aLimit) -> bool
{
  bool broken = false;
  for (const auto& [id, times] : aOpenings) {
    std::size_t most = 0;
    Ms when = 0;
    for (const auto& [from, unused] : times) {
      std::size_t count = 0;
      for (const auto& [sent, arrived] : times) {
        count += sent >= from && arrived < from + 1000 ? 1 : 0;
      }
      if (count > most) {
        most = count;
        when = from;
      }
    }
    Record("host " + id + " took " + std::to_string(times.size()) +
           " flows while cold, at most " + std::to_string(most) +
           " in one second, from " + std::to_string(when) +
           " ms on; allowed: " + std::to_string(aLimit));
    broken = broken || static_cast<double>(most) > aLimit;
  }
  return broken;
}

/// Rule FAILBACK: a zone loses power, and its machines and hosts are back after
/// a second. The hosts have the ids that they had, and are cold.
auto ColdScenario() -> int
{
  constexpr double kColdPerS = 5;
  constexpr double kLimit = kColdPerS * 1.5 + 5;
  Deployment deployment({ { "za", 2 }, { "zb", 2 }, { "zc", 2 } }, 5000,
                        "warm_up_excess = 1.5\nwarm_up_slack = 5\n");
  deployment.store->Put(
    "op/config",
    Configuration(3, Route("r-1", deployment.routeIp, 443, "safe", "s1"),
                  Service("s1", 2, kColdPerS)));
  // The balancers of this zone watch the store for the others: the order of the
  // zones depends on their names alone.
  const std::string lostZone = "zb";
  Openings openings;
  for (const auto* zone : { "za", "zb", "zc" }) {
    for (int i = 0; i < 3; ++i) {
      HostOptions options;
      options.service = "s1";
      options.zone = zone;
      options.slots = 2;
      options.workMs = 20;
      options.coldMs = 2000;
      auto& host = deployment.AddHost(options);
      CountColdOpenings(host, openings);
      host.Start(false);
    }
  }
  deployment.Start();
  std::map<std::string, int> outcomes;
  const auto begin = Now();
  const auto end = begin + 20000;
  for (const auto* zone : { "za", "zb", "zc" }) {
    auto& clients = deployment.AddClients(zone);
    Load(clients, deployment, 190, 1500, end - 2000,
         [&outcomes](Attempt&, Outcome aOutcome) {
           ++outcomes[OutcomeName(aOutcome)];
         });
  }
  if (g_trouble) {
    Events().After(8000, [&] {
      Record("zone " + lostZone + " loses power");
      for (const auto& balancer : deployment.balancers) {
        if (balancer->Options().zone == lostZone) {
          balancer->Signal(SIGKILL);
          balancer->RestartAfterEnd(1000);
        }
      }
      for (const auto& host : deployment.hosts) {
        if (host->Options().zone == lostZone) {
          host->PowerOff();
        }
      }
    });
    Events().After(9000, [&] {
      Record("the hosts of zone " + lostZone + " are back, cold for 2 s");
      for (const auto& host : deployment.hosts) {
        if (host->Options().zone == lostZone) {
          host->Start(true);
        }
      }
    });
  }
  Events().RunUntil(end);
  for (const auto& [name, count] : outcomes) {
    Record(std::to_string(count) + " requests: " + name);
  }
  return ColdLimitIsExceeded(openings, kLimit) ? 1 : 0;
}

/// Rule FAILBACK: the three seeds are replaced for good by machines at new
/// addresses, while the settings still name the old ones. The other balancers
/// are stopped and started in turn, and later the hosts crash and come back
/// cold.
auto SeedsScenario() -> int
{
  constexpr double kColdPerS = 10;
  constexpr double kLimit = kColdPerS * 1.5 + 5;
  Deployment deployment({ { "za", 9 } }, 5000,
                        "warm_up_excess = 1.5\nwarm_up_slack = 5\n");
  for (std::size_t i = 6; i < 9; ++i) {
    deployment.balancers[i]->absent = true;
  }
  deployment.store->Put(
    "op/config",
    Configuration(3, Route("r-1", deployment.routeIp, 443, "safe", "s1"),
                  Service("s1", 2, kColdPerS)));
  Openings openings;
  for (int i = 0; i < 6; ++i) {
    HostOptions options;
    options.service = "s1";
    options.zone = "za";
    options.slots = 2;
    options.workMs = 20;
    options.coldMs = 2000;
    auto& host = deployment.AddHost(options);
    CountColdOpenings(host, openings);
    host.Start(false);
  }
  deployment.Start();
  std::map<std::string, int> outcomes;
  const auto end = Now() + 40000;
  auto& clients = deployment.AddClients("za");
  Load(clients, deployment, 300, 1500, end - 2000,
       [&outcomes](Attempt&, Outcome aOutcome) {
         ++outcomes[OutcomeName(aOutcome)];
       });
  if (g_trouble) {
    for (std::size_t i = 0; i < 3; ++i) {
      auto& former = *deployment.balancers[i];
      auto& successor = *deployment.balancers[i + 6];
      Events().After(2000, [&former] {
        former.Signal(SIGKILL);
        former.absent = true;
      });
      Events().After(4000, [&successor] {
        successor.absent = false;
        successor.Start();
        successor.Probe();
      });
    }
  }
  // The other balancers are stopped and started in turn.
  for (std::size_t i = 3; i < 6; ++i) {
    auto& balancer = *deployment.balancers[i];
    Events().After(8000 + 3000 * static_cast<Ms>(i - 3), [&balancer] {
      balancer.Signal(SIGTERM);
      balancer.RestartAfterEnd(300);
    });
  }
  // The hosts are down for 5 s, their entries expire, and they are back cold.
  Events().After(25000, [&deployment] {
    Record("the hosts are down");
    for (const auto& host : deployment.hosts) {
      host->PowerOff();
    }
  });
  Events().After(28600, [&deployment] {
    for (const auto& host : deployment.hosts) {
      deployment.store->Remove("servers/" + host->Options().id);
    }
  });
  Events().After(30000, [&deployment] {
    Record("the hosts are back, cold for 2 s");
    for (const auto& host : deployment.hosts) {
      host->Start(true);
    }
  });
  Events().RunUntil(end);
  for (const auto& [name, count] : outcomes) {
    Record(std::to_string(count) + " requests: " + name);
  }
  return ColdLimitIsExceeded(openings, kLimit) ? 1 : 0;
}

/// Rule FAILBACK: a zone is evacuated and taken back. Its hosts turn cold
/// shortly before the end.
auto EvacuationScenario() -> int
{
  constexpr double kColdPerS = 10;
  constexpr double kLimit = kColdPerS * 1.5 + 5;
  Deployment deployment({ { "za", 2 }, { "zb", 2 }, { "zc", 2 } }, 5000,
                        "warm_up_excess = 1.5\nwarm_up_slack = 5\n");
  deployment.store->Put(
    "op/config",
    Configuration(3, Route("r-1", deployment.routeIp, 443, "safe", "s1"),
                  Service("s1", 2, kColdPerS)));
  Openings openings;
  for (const auto* zone : { "za", "zb", "zc" }) {
    for (int i = 0; i < 3; ++i) {
      HostOptions options;
      options.service = "s1";
      options.zone = zone;
      options.slots = 2;
      options.workMs = 20;
      options.coldMs = 2000;
      auto& host = deployment.AddHost(options);
      CountColdOpenings(host, openings);
      host.Start(false);
    }
  }
  deployment.Start();
  std::map<std::string, int> outcomes;
  const auto end = Now() + 24000;
  for (const auto* zone : { "za", "zb", "zc" }) {
    auto& clients = deployment.AddClients(zone);
    Load(clients, deployment, 190, 1500, end - 2000,
         [&outcomes](Attempt&, Outcome aOutcome) {
           ++outcomes[OutcomeName(aOutcome)];
         });
  }
  if (g_trouble) {
    Events().After(6000, [&deployment] {
      Record("the evacuation of zone zc is requested");
      deployment.store->Put("op/evacuate/zc", "{}");
    });
    Events().After(13500, [&deployment] {
      Record("the hosts of zone zc turn cold for 2 s");
      for (const auto& host : deployment.hosts) {
        if (host->Options().zone == "zc") {
          host->TurnCold();
        }
      }
    });
    Events().After(14000, [&deployment] {
      Record("the evacuation of zone zc is taken back");
      deployment.store->Remove("op/evacuate/zc");
    });
  }
  Events().RunUntil(end);
  for (const auto& [name, count] : outcomes) {
    Record(std::to_string(count) + " requests: " + name);
  }
  return ColdLimitIsExceeded(openings, kLimit) ? 1 : 0;
}

/// Rule CONFIG: the operator moves a route from a service whose hosts are full to
/// another one.
auto RouteScenario() -> int
{
  constexpr int kMaxFlows = 30;
  Deployment deployment({ { "za", 4 } }, 3000, "");
  const auto configuration = [&deployment](int aVersion,
                                           const std::string& aService) {
    return Configuration(
      aVersion, Route("r-1", deployment.routeIp, 443, "unsafe", aService),
      Service("s1", 2, 0, kMaxFlows) + "," + Service("s2", 2, 0));
  };
  deployment.store->Put("op/config", configuration(3, "s1"));
  // When a host first saw the effect of the new version, by balancer.
  std::map<std::string, Ms> effectSeen;
  int broken = 0;
  for (int i = 0; i < 8; ++i) {
    HostOptions options;
    options.service = i < 2 ? "s1" : "s2";
    options.zone = "za";
    options.slots = 32;
    options.workMs = 300;
    auto& host = deployment.AddHost(options);
    host.maxFlows = i < 2 ? kMaxFlows : 2000;
    host.onOpening = [&](Host& aHost, const Packet& aPacket) {
      const auto& balancer = aHost.lastBalancer;
      if (aHost.Options().service == "s2") {
        if (effectSeen.try_emplace(balancer, Now()).second) {
          Record("a host of s2 sees the effect of the version by " + balancer);
        }
        return;
      }
      const auto seen = effectSeen.find(balancer);
      const auto sentAt = OpeningSentAt(aPacket);
      if (seen != effectSeen.end() && sentAt > seen->second + 250) {
        ++broken;
        Record("CONFIG broken: " + aHost.Options().id + " of s1 takes copy " +
               std::to_string(aPacket.ack) + " from port " +
               std::to_string(aPacket.sport) + " by " + balancer + ", sent " +
               std::to_string(sentAt - seen->second) + " ms after the effect");
      }
    };
    host.Start(false);
  }
  deployment.Start();
  std::map<std::string, int> outcomes;
  const auto end = Now() + 12000;
  auto& clients = deployment.AddClients("za");
  const auto count = [&outcomes](Attempt&, Outcome aOutcome) {
    ++outcomes[OutcomeName(aOutcome)];
  };
  Load(clients, deployment, 150, 3000, end - 3500, count);
  auto& burst = deployment.AddClients("za");
  Events().After(4000, [&, count] {
    Record("more users come");
    Load(burst, deployment, 240, 3000, end - 3500, count);
  });
  if (g_trouble) {
    Events().After(4350, [&] {
      Record("version 8 moves the route from s1 to s2");
      deployment.store->Put("op/config", configuration(8, "s2"));
    });
  }
  Events().RunUntil(end);
  for (const auto& [name, count] : outcomes) {
    Record(std::to_string(count) + " requests: " + name);
  }
  Record("opening packets taken by s1 too late: " + std::to_string(broken));
  return broken > 0 ? 1 : 0;
}

/// A machine that is without power: connections to its control address hang.
class DarkMachine
{
public:
  DarkMachine(const std::string& aIp, std::uint16_t aPort)
    : m_listener(ListenTcp(aIp, aPort))
  {
    // With a full queue, the opening packets of further connections are dropped.
    ::listen(m_listener, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(aPort);
    address.sin_addr.s_addr = htonl(Ip(aIp));
    for (int& fd : m_queued) {
      fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
      ::connect(fd, reinterpret_cast<const sockaddr*>(&address),
                sizeof address);
    }
  }
  ~DarkMachine()
  {
    for (const int fd : m_queued) {
      ::close(fd);
    }
    ::close(m_listener);
  }

private:
  int m_listener;
  int m_queued[4] = {};
};

/// No balancer may end by itself: one loses power, and its machine returns
/// before its process listens, while the others stand still for 2.5 s.
auto ConnectScenario() -> int
{
  Deployment deployment({ { "za", 3 } }, 3000, "");
  deployment.store->Put(
    "op/config",
    Configuration(3, Route("r-1", deployment.routeIp, 443, "unsafe", "s1"),
                  Service("s1", 2, 0)));
  HostOptions options;
  options.service = "s1";
  options.zone = "za";
  deployment.AddHost(options).Start(false);
  deployment.Start();
  auto& lost = *deployment.balancers[2];
  int ended = 0;
  int freezes = 0;
  for (int round = 0; g_trouble && round < 8; ++round) {
    const auto begin = Now();
    lost.Signal(SIGKILL);
    while (lost.IsRunning()) {
      ::usleep(1000);
    }
    auto dark =
      std::make_unique<DarkMachine>(lost.Options().ip, deployment.control);
    Events().RunUntil(begin + 1500 + 200 * round);
    for (std::size_t i = 0; i < 2; ++i) {
      deployment.balancers[i]->Signal(SIGSTOP);
      ++freezes;
    }
    Events().RunUntil(Now() + 200);
    dark.reset();
    Events().RunUntil(Now() + 2300);
    for (std::size_t i = 0; i < 2; ++i) {
      deployment.balancers[i]->Signal(SIGCONT);
    }
    Events().RunUntil(Now() + 1500);
    for (std::size_t i = 0; i < 2; ++i) {
      if (!deployment.balancers[i]->IsRunning()) {
        ++ended;
        deployment.balancers[i]->Start();
      }
    }
    lost.Start();
    Events().RunUntil(Now() + 3500);
  }
  Record(std::to_string(ended) + " of " + std::to_string(freezes) +
         " balancers ended by themselves after a freeze");
  return ended > 0 ? 1 : 0;
}

} // namespace

auto main(int argc, char** argv) -> int
{
  if (argc < 7) {
    return 2;
  }
  ::signal(SIGPIPE, SIG_IGN);
  const std::string scenario = argv[1];
  g_daemon = argv[2];
  g_folder = argv[3];
  OpenRecord(argv[4]);
  g_trouble = std::string(argv[5]) != "0";
  g_seed = std::strtoull(argv[6], nullptr, 10);
  if (::access(g_daemon.c_str(), X_OK) != 0) {
    return 2;
  }
  int result = 2;
  if (scenario == "flow") {
    result = FlowScenario();
  } else if (scenario == "cold") {
    result = ColdScenario();
  } else if (scenario == "evacuation") {
    result = EvacuationScenario();
  } else if (scenario == "route") {
    result = RouteScenario();
  } else if (scenario == "connect") {
    result = ConnectScenario();
  } else if (scenario == "seeds") {
    result = SeedsScenario();
  }
  Record(result == 0 ? "the rule held" : "the rule was broken");
  return result;
}
