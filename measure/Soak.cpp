// Scenario "soak": faults of every kind, two at a time, under load with floods,
// and all checks on.

#include "measure/Scenario.h"

#include <fmt/format.h>

#include <csignal>
#include <thread>

namespace bramleylock::measure {

static constexpr double kSeconds = 120;
/// Quiet time at the end, in which everything has to be normal again.
static constexpr double kCalmSeconds = 6;
static constexpr double kRoundSeconds = 6;
static constexpr Milliseconds kPause{ 4000 };
static constexpr Milliseconds kOutage{ 4000 };
static constexpr Milliseconds kStopLimit{ 60000 };
static constexpr Milliseconds kSpreadLimit{ 4000 };
static constexpr Milliseconds kPollEvery{ 50 };

namespace {

/// The faults and changes that one soak makes.
class FaultSchedule
{
public:
  FaultSchedule(Cluster& aCluster, const Deployment& aDeployment,
                std::uint64_t aSeed)
    : m_cluster(aCluster)
    , m_deployment(aDeployment)
    , m_random(aSeed)
  {
  }

  struct Event
  {
    const char* name;
    void (FaultSchedule::*run)();
  };

  /// Makes two events, one right after the other.
  auto Round() -> void
  {
    static const std::array<Event, 7> kEvents{ {
      { "edit", &FaultSchedule::EditLists },
      { "drain", &FaultSchedule::DrainBalancer },
      { "crash", &FaultSchedule::CrashBalancer },
      { "pause", &FaultSchedule::PauseBalancer },
      { "target-drain", &FaultSchedule::DrainTarget },
      { "target-crash", &FaultSchedule::CrashTarget },
      { "store-outage", &FaultSchedule::StoreOutage },
    } };
    for (int i = 0; i < 2; ++i) {
      const auto& event = kEvents[m_random() % kEvents.size()];
      ++m_counts[event.name];
      (this->*event.run)();
    }
  }

  /// Ends what is still going on.
  auto Calm() -> void
  {
    m_cluster.Control(m_cluster.StoreAddress(), "/control/fault",
                      nlohmann::json::object());
    for (auto& balancer : m_cluster.Balancers()) {
      balancer.process->Signal(SIGCONT);
    }
  }

  auto Counts() const -> const std::map<std::string, std::uint64_t>&
  {
    return m_counts;
  }

  /// Seconds until every running balancer has the newest accepted lists, or a
  /// negative number when that takes too long.
  auto SpreadSeconds() -> double
  {
    const auto started = Clock::now();
    while (Clock::now() - started < kSpreadLimit) {
      if (InForceEverywhere()) {
        return std::chrono::duration<double>(Clock::now() - started).count();
      }
      std::this_thread::sleep_for(kPollEvery);
    }
    return -1;
  }

  auto Accepted() const -> std::uint64_t { return m_accepted; }
  auto Reverted() const -> std::uint64_t { return m_reverted; }

private:
  auto InForceEverywhere() -> bool
  {
    for (auto& balancer : m_cluster.Balancers()) {
      if (!balancer.process->Running()) {
        continue;
      }
      const auto plans =
        m_cluster.Admin(balancer, "GET", "/lists")["lists"]["plans"];
      if (m_accepted > 0 &&
          (!plans.contains(EditedPlan()) ||
           plans[EditedPlan()].value("weight", 0.0) != m_weight)) {
        return false;
      }
    }
    return true;
  }

  auto EditedPlan() const -> std::string { return m_deployment.bulk.plan; }

  auto AnyBalancer() -> BalancerProcess&
  {
    auto& balancers = m_cluster.Balancers();
    for (;;) {
      auto& balancer = balancers[m_random() % balancers.size()];
      if (balancer.listed && balancer.process->Running()) {
        return balancer;
      }
    }
  }

  auto AnyTarget() -> TargetProcess&
  {
    auto& targets = m_cluster.Targets();
    for (;;) {
      auto& target = targets[m_random() % targets.size()];
      if (target.listed && !target.leaving && target.process->Running()) {
        return target;
      }
    }
  }

  auto EditLists() -> void
  {
    auto& balancer = AnyBalancer();
    auto current = m_cluster.Admin(balancer, "GET", "/lists");
    if (!current.contains("lists")) {
      return;
    }
    const auto seen =
      current["lists"]["plans"][EditedPlan()].value("weight", 0.0);
    if (m_accepted > 0 && seen < m_weight) {
      // Weights only rise, so a lower one is an older list; it may still be on
      // its way, so an edit on top of it must be refused.
      ++m_behind;
    }
    const double next = m_weight + 1;
    current["lists"]["plans"][EditedPlan()]["weight"] = next;
    const auto answer = m_cluster.Admin(
      balancer, "PUT",
      fmt::format("/lists?expected={}",
                  current.value("revision", std::uint64_t{ 0 })),
      current["lists"].dump());
    if (answer.contains("revision")) {
      m_reverted += m_accepted > 0 && seen < m_weight ? 1 : 0;
      m_weight = next;
      ++m_accepted;
    }
  }

  auto Replace(BalancerProcess& aOld) -> BalancerProcess&
  {
    // Adding may move the vector, so the domain is copied first.
    const auto domain = aOld.failureDomain;
    return m_cluster.AddBalancer(domain);
  }

  auto DrainBalancer() -> void
  {
    const auto name = AnyBalancer().name;
    Replace(Find(name));
    m_cluster.Publish();
    auto& old = Find(name);
    old.listed = false;
    old.sprayed = false;
    m_cluster.Publish();
    old.process->Signal(SIGTERM);
    if (!old.process->Wait(kStopLimit)) {
      ++m_counts["drain_too_long"];
    }
  }

  auto CrashBalancer() -> void
  {
    const auto name = AnyBalancer().name;
    Find(name).process->Signal(SIGKILL);
    Find(name).process->Wait(kStopLimit);
    Replace(Find(name));
    auto& old = Find(name);
    old.listed = false;
    old.sprayed = false;
    m_cluster.Publish();
  }

  auto PauseBalancer() -> void
  {
    auto& balancer = AnyBalancer();
    balancer.process->Signal(SIGSTOP);
    std::this_thread::sleep_for(kPause);
    balancer.process->Signal(SIGCONT);
  }

  auto DrainTarget() -> void
  {
    auto& old = AnyTarget();
    const auto name = old.name;
    const auto service = old.service;
    m_cluster.AddTarget(service, old.failureDomain);
    for (auto& target : m_cluster.Targets()) {
      target.leaving = target.leaving || target.name == name;
    }
    m_cluster.Publish();
  }

  auto CrashTarget() -> void
  {
    auto& old = AnyTarget();
    const auto name = old.name;
    const auto service = old.service;
    const auto domain = old.failureDomain;
    // The journal is read first; what runs between that and the crash is not
    // counted, which can hide a run but never invent one.
    m_cluster.SaveJournal(old);
    old.process->Signal(SIGKILL);
    m_cluster.AddTarget(service, domain);
    for (auto& target : m_cluster.Targets()) {
      target.listed = target.listed && target.name != name;
    }
    m_cluster.Publish();
  }

  auto StoreOutage() -> void
  {
    m_cluster.Control(m_cluster.StoreAddress(), "/control/fault",
                      { { "down", true } });
    std::this_thread::sleep_for(kOutage);
    m_cluster.Control(m_cluster.StoreAddress(), "/control/fault",
                      nlohmann::json::object());
  }

  auto Find(const std::string& aName) -> BalancerProcess&
  {
    for (auto& balancer : m_cluster.Balancers()) {
      if (balancer.name == aName) {
        return balancer;
      }
    }
    throw std::logic_error("no balancer " + aName);
  }

  Cluster& m_cluster;
  const Deployment& m_deployment;
  Random m_random;
  std::map<std::string, std::uint64_t> m_counts;
  double m_weight = 1;
  std::uint64_t m_accepted = 0;
  std::uint64_t m_behind = 0;
  std::uint64_t m_reverted = 0;
};

/// Repeatable requests that ended as unknown, and at-most-once ones.
auto CountUnknown(const std::map<std::string, std::vector<Record>>& aRecords,
                  bool aAtMostOnce) -> std::uint64_t
{
  std::uint64_t count = 0;
  for (const auto& [label, records] : aRecords) {
    for (const auto& record : records) {
      count += record.atMostOnce == aAtMostOnce &&
                   record.outcome == caller::CallOutcome::Unknown
                 ? 1
                 : 0;
    }
  }
  return count;
}

auto AddLoad(Load& aLoad, const Deployment& aDeployment, double aSeconds)
  -> void
{
  aLoad.Add({ aDeployment.booking, 60, 5, 0, aSeconds, "booking" });
  aLoad.Add({ aDeployment.reading, 120, 5, 0, aSeconds, "reading" });
  aLoad.Add({ aDeployment.bulk, 4, 1, 0, aSeconds, "bulk" });
  // The least urgent flood comes first, then the most urgent, twice, and the
  // second time together.
  const auto slice = aSeconds / 10;
  aLoad.Add({ aDeployment.bulk, 80, 1, slice, 2 * slice, "flood_bulk" });
  aLoad.Add(
    { aDeployment.booking, 1500, 5, 3 * slice, 4 * slice, "flood_booking" });
  aLoad.Add({ aDeployment.bulk, 80, 1, 6 * slice, 7 * slice, "flood_bulk" });
  aLoad.Add(
    { aDeployment.booking, 1500, 5, 6 * slice, 7 * slice, "flood_booking" });
}

class Soak : public Scenario
{
public:
  auto Summary() const -> std::string override
  {
    return "edits, drains, crashes, pauses, outages and floods, two at a time";
  }

  auto Run(const ScenarioOptions& aOptions, Report& aReport) -> void override
  {
    const auto& deployment = *aOptions.deployment;
    const double seconds = aOptions.seconds > 0 ? aOptions.seconds : kSeconds;
    Cluster cluster(deployment, { aOptions.seed, {}, 0, 0 });
    cluster.Start();
    Load load(cluster.CallerAddress(), aOptions.seed);
    AddLoad(load, deployment, seconds);
    FaultSchedule faults(cluster, deployment, aOptions.seed);
    load.Start();
    double next = 1;
    while (load.Elapsed() < seconds - kCalmSeconds) {
      std::this_thread::sleep_for(kPollEvery);
      if (load.Elapsed() >= next) {
        faults.Round();
        next = std::max(next + kRoundSeconds, load.Elapsed() + 1);
      }
    }
    faults.Calm();
    load.Join();
    const double spread = faults.SpreadSeconds();
    for (const auto& [name, count] : faults.Counts()) {
      aReport.Add("events_" + name, count);
    }
    aReport.AddChecks(CheckRecords(load.Records(), cluster));
    const auto broken = CountUnknown(load.Records(), false);
    aReport.Add("repeatable_unknown", broken);
    aReport.Add("at_most_once_unknown", CountUnknown(load.Records(), true));
    aReport.Add("edits_accepted", faults.Accepted());
    aReport.Add("reverted", faults.Reverted());
    aReport.Add("spread_s", spread);
    aReport.Require("repeatable_unknown=0", broken == 0);
    aReport.Require("reverted=0", faults.Reverted() == 0);
    aReport.Require("spread_s<=4", spread >= 0);
    aReport.Require("drain_too_long=0",
                    !faults.Counts().contains("drain_too_long"));
    aReport.AddReasons(load.Records());
    aReport.AddLatencies(load.Records());
  }
};

const Registration<ScenarioRegistry, Soak> kRegistration("soak");

} // namespace

} // namespace bramleylock::measure
