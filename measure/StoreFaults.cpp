// Scenarios "store-outage", "store-restored-older", "join-in-outage" and
// "paused-watcher": faults of the platform's store and of the balancers that
// watch it.

#include "measure/EditProbe.h"

#include <csignal>

namespace bramleylock::measure {

using nlohmann::json;

static constexpr double kSettleSeconds = 3;

namespace {

class StoreOutage : public Scenario
{
public:
  auto Summary() const -> std::string override
  {
    return "the store down, slow, failing half the calls, and back";
  }

  auto Run(const ScenarioOptions& aOptions, Report& aReport) -> void override
  {
    Cluster cluster(*aOptions.deployment, EditClusterOptions(aOptions));
    cluster.Start();
    EditProbe probe(cluster, *aOptions.deployment);
    Random random(aOptions.seed);
    auto& balancers = cluster.Balancers();
    const auto anyBalancer = [&]() -> BalancerProcess& {
      return balancers[random() % balancers.size()];
    };
    const auto& plan = probe.Plans()[0];
    Load load(cluster.CallerAddress(), aOptions.seed);
    load.Add({ aOptions.deployment->reading, 40, 5, 0, 12, "reading" });
    load.Start();
    probe.EditAndWait(anyBalancer(), plan);

    cluster.SetStoreFault({ { "down", true } });
    const auto down = probe.Submit(anyBalancer(), probe.NextEdit(plan));
    const auto before = StoreCalls(cluster);
    SleepSeconds(4);
    const auto callsPerSecond =
      static_cast<double>(StoreCalls(cluster) - before) / 4;

    cluster.SetStoreFault({ { "fail_ratio", 0.5 } });
    const auto callsAtRecovery = StoreCalls(cluster);
    SleepSeconds(1);
    const auto callsAfterRecovery = StoreCalls(cluster) - callsAtRecovery;
    for (int i = 0; i < 5; ++i) {
      probe.EditAndWait(anyBalancer(), plan);
    }

    cluster.SetStoreFault({ { "slow_ms", 2000 } });
    const auto slow = probe.EditAndWait(anyBalancer(), plan);
    cluster.SetStoreFault(json::object());
    probe.EditAndWait(anyBalancer(), plan);
    load.Join();
    const auto checks = CheckRecords(load.Records(), cluster);
    aReport.AddChecks(checks);
    aReport.Require("broken_flows=0", checks.brokenFlows == 0);
    const auto domains =
      static_cast<double>(aOptions.deployment->failureDomains.size());
    aReport.Add("edit_while_down", down.value("status", "none"));
    aReport.Add("edit_while_slow_s", slow);
    aReport.Add("calls_per_s_and_domain_down", callsPerSecond / domains);
    aReport.Add("calls_per_domain_in_first_s_back",
                static_cast<double>(callsAfterRecovery) / domains);
    aReport.Require("edit_while_down=unavailable",
                    down.value("status", "") == "unavailable");
    // A failure domain has at most four watchers, each with three kinds of
    // calls and one retry per second.
    aReport.Require("calls_per_domain_in_first_s_back<=24",
                    static_cast<double>(callsAfterRecovery) / domains <= 24);
    probe.AddResults(aReport);
  }
};

class StoreRestoredOlder : public Scenario
{
public:
  auto Summary() const -> std::string override
  {
    return "the store is restored to an older state between edits";
  }

  auto Run(const ScenarioOptions& aOptions, Report& aReport) -> void override
  {
    Cluster cluster(*aOptions.deployment, EditClusterOptions(aOptions));
    cluster.Start();
    EditProbe probe(cluster, *aOptions.deployment);
    Random random(aOptions.seed);
    auto& balancers = cluster.Balancers();
    const auto& plans = probe.Plans();
    probe.EditAndWait(balancers[0], plans[0]);
    cluster.Control(cluster.StoreAddress(), "/control/save", {});
    for (int i = 0; i < 4; ++i) {
      probe.EditAndWait(balancers[random() % balancers.size()],
                        plans[i % plans.size()]);
    }
    cluster.Control(cluster.StoreAddress(), "/control/restore", {});
    // Edits are made before and after the balancers detect the older state.
    for (int i = 0; i < 4; ++i) {
      probe.EditAndWait(balancers[random() % balancers.size()],
                        plans[i % plans.size()]);
      SleepSeconds(0.3);
    }
    cluster.Control(cluster.StoreAddress(), "/control/restore", {});
    SleepSeconds(3);
    probe.Poll();
    // A balancer that starts now has only the store's document until its peers
    // answer.
    auto& newBalancer = cluster.AddBalancer(balancers[0].failureDomain);
    cluster.Publish();
    cluster.WaitReady(newBalancer);
    probe.WaitInForce(kPropagationLimitSeconds);
    aReport.Add("written_back", cluster.CounterSum("lists_written_back"));
    aReport.Add("store_older", cluster.CounterSum("lists_store_older"));
    aReport.Add("superseded", cluster.CounterSum("lists_edit_superseded"));
    const auto inStore = StoreHasCurrentLists(cluster);
    aReport.Add("store_holds_all", std::uint64_t{ inStore ? 1U : 0U });
    aReport.Require("store_holds_all=1", inStore);
    aReport.Require("written_back>0",
                    cluster.CounterSum("lists_written_back") > 0);
    probe.AddResults(aReport);
  }
};

class JoinInOutage : public Scenario
{
public:
  auto Summary() const -> std::string override
  {
    return "balancers start, and all but one restart, while the store is down";
  }

  auto Run(const ScenarioOptions& aOptions, Report& aReport) -> void override
  {
    Cluster cluster(*aOptions.deployment, EditClusterOptions(aOptions));
    cluster.Start();
    EditProbe probe(cluster, *aOptions.deployment);
    const auto& domains = aOptions.deployment->failureDomains;
    for (const auto& plan : probe.Plans()) {
      probe.EditAndWait(cluster.Balancers()[0], plan);
    }
    cluster.SetStoreFault({ { "down", true } });
    CheckIsolated(cluster, aOptions, aReport);

    // Every balancer but the first is replaced.
    const auto survivor = cluster.Balancers()[0].process->Value("peers");
    for (std::size_t i = 1; i < cluster.Balancers().size(); ++i) {
      auto& balancer = cluster.Balancers()[i];
      balancer.process->Signal(SIGKILL);
      balancer.listed = false;
      balancer.sprayed = false;
    }
    cluster.SetSettings("peers", "seeds = \"" + survivor + "\"\n");
    const auto started = Clock::now();
    std::vector<std::string> joined;
    for (std::size_t i = 0; i < domains.size(); ++i) {
      joined.push_back(cluster.AddBalancer(domains[i]).name);
    }
    cluster.Publish();
    for (auto& balancer : cluster.Balancers()) {
      if (balancer.process->Running()) {
        cluster.WaitReady(balancer);
      }
    }
    const std::chrono::duration<double> ready = Clock::now() - started;
    aReport.Add("joined", std::uint64_t{ joined.size() });
    aReport.Add("all_ready_s", ready.count());
    Load load(cluster.CallerAddress(), aOptions.seed);
    load.Add({ aOptions.deployment->reading, 40, 5, 0, 3, "reading" });
    load.Start();
    load.Join();
    const auto checks = CheckRecords(load.Records(), cluster);
    aReport.AddChecks(checks);
    aReport.Require("broken_flows=0", checks.brokenFlows == 0);
    cluster.SetStoreFault(json::object());
    SleepSeconds(kSettleSeconds);
    probe.EditAndWait(cluster.Balancers()[0], probe.Plans()[0]);
    probe.AddResults(aReport);
  }

private:
  /// Requires that a balancer without store and peers refuses requests and
  /// reports the reason.
  static auto CheckIsolated(Cluster& aCluster, const ScenarioOptions& aOptions,
                            Report& aReport) -> void
  {
    auto& isolated =
      aCluster.AddBalancer(aOptions.deployment->failureDomains[0]);
    Load load(isolated.process->Value("callers"), aOptions.seed);
    auto shape = aOptions.deployment->reading;
    shape.deadlineMs = 1000;
    load.Add({ shape, 20, 1, 0, 1, "alone" });
    load.Start();
    load.Join();
    const auto health = aCluster.Admin(isolated, "GET", "/healthz");
    const auto refused = aCluster.Admin(isolated, "GET", "/counters")
                           .value("refused_not_ready", std::uint64_t{ 0 });
    aReport.Add("alone_refused", refused);
    aReport.Add("alone_why", health.value("why", ""));
    aReport.Require("alone_refused>0", refused > 0);
    aReport.Require("alone_why",
                    health.value("why", "").find("store does not answer") !=
                      std::string::npos);
    isolated.process->Signal(SIGKILL);
    isolated.process->Wait(Milliseconds(2000));
    isolated.listed = false;
    isolated.sprayed = false;
  }
};

class PausedWatcher : public Scenario
{
public:
  auto Summary() const -> std::string override
  {
    return "both watchers of a failure domain are suspended and resumed";
  }

  auto Run(const ScenarioOptions& aOptions, Report& aReport) -> void override
  {
    Cluster cluster(*aOptions.deployment, EditClusterOptions(aOptions));
    cluster.Start();
    SleepSeconds(kSettleSeconds);
    EditProbe probe(cluster, *aOptions.deployment);
    const auto& domains = aOptions.deployment->failureDomains;
    const auto& plan = probe.Plans()[0];
    probe.EditAndWait(cluster.Balancers()[0], plan);
    std::uint64_t paused = 0;
    for (int round = 0; round < 3; ++round) {
      const auto& domain = domains[round % domains.size()];
      const auto watchers = WatchersOf(cluster, domain);
      for (auto* watcher : watchers) {
        watcher->process->Signal(SIGSTOP);
        probe.SetSkipped(watcher->name, true);
        ++paused;
      }
      auto* through = &cluster.Balancers()[0];
      for (auto& balancer : cluster.Balancers()) {
        if (balancer.failureDomain != domain) {
          through = &balancer;
        }
      }
      probe.EditAndWait(*through, plan);
      SleepSeconds(3);
      probe.EditAndWait(*through, plan);
      for (auto* watcher : watchers) {
        watcher->process->Signal(SIGCONT);
        probe.SetSkipped(watcher->name, false);
      }
      const auto woken = probe.WaitInForce(kPropagationLimitSeconds * 2);
      aReport.Add("woken_current_s", woken);
      aReport.Require("woken_current_s<=4", woken <= kPropagationLimitSeconds);
    }
    aReport.Add("paused", paused);
    aReport.Add("takeovers", cluster.CounterSum("watch_takeover"));
    aReport.Require("paused>=6", paused >= 6);
    probe.AddResults(aReport);
  }
};

const Registration<ScenarioRegistry, StoreOutage> kStoreOutage("store-outage");
const Registration<ScenarioRegistry, StoreRestoredOlder> kRestored(
  "store-restored-older");
const Registration<ScenarioRegistry, JoinInOutage> kJoin("join-in-outage");
const Registration<ScenarioRegistry, PausedWatcher> kPaused("paused-watcher");

} // namespace

} // namespace bramleylock::measure
