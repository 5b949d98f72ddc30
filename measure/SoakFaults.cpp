// Runs the events of a soak and logs those that explain unknown outcomes.

#include "measure/SoakFaults.h"

#include <fmt/format.h>

#include <algorithm>
#include <csignal>

namespace bramleylock::measure {

static constexpr double kPauseSeconds = 4;
static constexpr double kOutageSeconds = 4;
static constexpr double kCutSeconds = 5;
static constexpr double kStopLimitSeconds = 60;
static constexpr double kCheckIntervalSeconds = 0.5;
static constexpr Milliseconds kKillTimeout{ 5000 };

SoakFaults::SoakFaults(Cluster& aCluster, const Deployment& aDeployment,
                       const Load& aLoad, std::uint64_t aSeed)
  : m_cluster(aCluster)
  , m_deployment(aDeployment)
  , m_load(aLoad)
  , m_random(aSeed)
  , m_schedule(FaultKinds(), m_random, [&aLoad] { return aLoad.Elapsed(); })
  , m_edits(aCluster, aDeployment.bulk.plan)
{
}

auto SoakFaults::FaultKinds() -> std::vector<FaultKind>
{
  return {
    { "edit", [this] { EditLists(); } },
    { "drain", [this] { DrainBalancer(); } },
    { "crash", [this] { CrashBalancer(); } },
    { "pause", [this] { PauseBalancer(); } },
    { "target_drain", [this] { DrainTarget(); } },
    { "target_crash", [this] { CrashTarget(); } },
    { "store_outage", [this] { StoreOutage(); } },
    { "cut", [this] { CutDomain(); } },
    { "forget", [this] { BlackholeConnections(); } },
  };
}

auto SoakFaults::Poll() -> void
{
  std::erase_if(m_stoppingBalancers, [this](const Stopping& aStopping) {
    return !Find(aStopping.name).process->Running();
  });
  if (m_load.Elapsed() >= m_nextPoll) {
    m_revisions.Poll(m_cluster);
    m_nextPoll = m_load.Elapsed() + kCheckIntervalSeconds;
  }
}

auto SoakFaults::Run(double aUntil) -> void
{
  m_schedule.Run(aUntil, [this] { Poll(); });
  m_schedule.EndAll();
}

auto SoakFaults::AwaitStops() -> void
{
  for (const auto& stopping : m_stoppingBalancers) {
    const double left = stopping.since + kStopLimitSeconds - m_load.Elapsed();
    const auto limit = std::chrono::duration_cast<Milliseconds>(
      std::chrono::duration<double>(std::max(0.0, left)));
    if (!Find(stopping.name).process->Wait(limit)) {
      ++m_counts["drain_too_long"];
    }
  }
}

auto SoakFaults::Counts() const -> std::map<std::string, std::uint64_t>
{
  auto counts = m_schedule.Counts();
  counts.insert(m_counts.begin(), m_counts.end());
  return counts;
}

auto SoakFaults::Log() const -> const FaultLog&
{
  return m_log;
}

auto SoakFaults::Reverted() const -> std::uint64_t
{
  return m_edits.Reverted() + m_revisions.Reverted();
}

auto SoakFaults::ConvergenceSeconds(double aLimit) -> double
{
  return SecondsUntilConverged(m_cluster, m_revisions, aLimit);
}

auto SoakFaults::PickBalancer() -> BalancerProcess&
{
  auto& balancers = m_cluster.Balancers();
  for (;;) {
    auto& balancer = balancers[m_random() % balancers.size()];
    if (balancer.listed && !balancer.paused && balancer.process->Running()) {
      return balancer;
    }
  }
}

auto SoakFaults::PickTarget() -> TargetProcess&
{
  auto& targets = m_cluster.Targets();
  for (;;) {
    auto& target = targets[m_random() % targets.size()];
    if (target.listed && !target.leaving && target.process->Running()) {
      return target;
    }
  }
}

auto SoakFaults::Find(const std::string& aName) -> BalancerProcess&
{
  for (auto& balancer : m_cluster.Balancers()) {
    if (balancer.name == aName) {
      return balancer;
    }
  }
  throw std::logic_error("no balancer " + aName);
}

/// Starts a balancer in the failure domain of aName, to which the current cuts
/// apply too, and takes aName off the platform's lists.
auto SoakFaults::Replace(const std::string& aName) -> void
{
  // Adding a balancer may reallocate the vector, so the domain is copied first.
  const auto domain = Find(aName).failureDomain;
  m_cluster.AddBalancer(domain);
  if (!m_cutDomains.empty()) {
    ApplyCuts();
  }
  m_cluster.Publish();
  auto& old = Find(aName);
  old.listed = false;
  old.sprayed = false;
  m_cluster.Publish();
}

auto SoakFaults::EditLists() -> void
{
  m_edits.Edit(PickBalancer());
}

auto SoakFaults::Edits() -> RisingEdits&
{
  return m_edits;
}

auto SoakFaults::DrainBalancer() -> void
{
  const auto name = PickBalancer().name;
  m_lastEventAt[name] = m_load.Elapsed();
  Replace(name);
  Find(name).process->Signal(SIGTERM);
  m_stoppingBalancers.push_back({ name, m_load.Elapsed() });
}

auto SoakFaults::CrashBalancer() -> void
{
  auto& killed = PickBalancer();
  const auto name = killed.name;
  const auto now = m_load.Elapsed();
  m_lastEventAt[name] = now;
  m_log.owners.push_back({ killed.process->Value("peers"), now, now });
  killed.process->Signal(SIGKILL);
  killed.process->Wait(kKillTimeout);
  Replace(name);
}

auto SoakFaults::PauseBalancer() -> void
{
  auto& paused = PickBalancer();
  const auto name = paused.name;
  const auto from = m_load.Elapsed();
  m_lastEventAt[name] = from;
  paused.paused = true;
  paused.process->Signal(SIGSTOP);
  m_schedule.ScheduleEnd(from + kPauseSeconds, [this, name, from] {
    auto& woken = Find(name);
    woken.process->Signal(SIGCONT);
    woken.paused = false;
    m_lastEventAt[name] = m_load.Elapsed();
    m_log.owners.push_back(
      { woken.process->Value("peers"), from, m_load.Elapsed() });
  });
}

/// Makes a target report that it is draining, and marks it as leaving in the
/// platform's list.
auto SoakFaults::DrainTarget() -> void
{
  auto& leaving = PickTarget();
  const auto name = leaving.name;
  m_cluster.Control(leaving.process->Value("target"), "/control/behave",
                    { { "draining", true } });
  m_log.leaving.push_back({ name, UnixTimeMs() });
  leaving.leaving = true;
  const auto service = leaving.service;
  const auto domain = leaving.failureDomain;
  m_cluster.AddTarget(service, domain);
  m_cluster.Publish();
}

auto SoakFaults::CrashTarget() -> void
{
  auto& killed = PickTarget();
  const auto service = killed.service;
  const auto domain = killed.failureDomain;
  const auto from = m_load.Elapsed();
  // The journal is read before the kill. Runs that start in between are not
  // counted, so a run may be missed, but none is counted that did not happen.
  m_cluster.SaveJournal(killed);
  killed.process->Signal(SIGKILL);
  killed.process->Wait(kKillTimeout);
  // Connections to a crashed host fail, so its proxy is killed too.
  killed.proxy->Signal(SIGKILL);
  killed.proxy->Wait(kKillTimeout);
  m_log.crashes.push_back({ killed.name, from, m_load.Elapsed() });
  killed.listed = false;
  m_cluster.AddTarget(service, domain);
  m_cluster.Publish();
}

auto SoakFaults::StoreOutage() -> void
{
  ++m_storeOutages;
  m_cluster.SetStoreFault({ { "down", true } });
  m_schedule.ScheduleEnd(m_load.Elapsed() + kOutageSeconds, [this] {
    if (--m_storeOutages == 0) {
      m_cluster.SetStoreFault(nlohmann::json::object());
    }
  });
}

auto SoakFaults::BlackholeConnections() -> void
{
  m_cluster.BlackholeConnections();
}

auto SoakFaults::CutDomain() -> void
{
  const auto& domains = m_deployment.failureDomains;
  const auto domain = domains[m_random() % domains.size()];
  const auto from = m_load.Elapsed();
  m_cutDomains.insert(domain);
  ApplyCuts();
  m_schedule.ScheduleEnd(
    m_load.Elapsed() + kCutSeconds,
    [this, domain, from, before = AnsweredByBalancer(domain)] {
      EndCut(domain, from, before);
    });
}

auto SoakFaults::EndCut(const std::string& aDomain, double aFrom,
                        const std::map<std::string, std::uint64_t>& aBefore)
  -> void
{
  CheckServed(aDomain, aBefore);
  m_cutDomains.erase(m_cutDomains.find(aDomain));
  ApplyCuts();
  m_log.cuts.push_back({ aDomain, aFrom, m_load.Elapsed() });
}

auto SoakFaults::ApplyCuts() -> void
{
  m_cluster.CutDomains({ m_cutDomains.begin(), m_cutDomains.end() });
}

auto SoakFaults::AnsweredByBalancer(const std::string& aDomain)
  -> std::map<std::string, std::uint64_t>
{
  std::map<std::string, std::uint64_t> answered;
  for (auto& balancer : m_cluster.Balancers()) {
    if (balancer.failureDomain != aDomain || !balancer.listed ||
        balancer.paused || !balancer.process->Running()) {
      continue;
    }
    const auto counters = m_cluster.Admin(balancer, "GET", "/counters");
    answered[balancer.name] =
      counters.value("requests_answered", std::uint64_t{ 0 });
  }
  return answered;
}

/// Counts whether a domain that was cut off answered requests during the cut,
/// by the balancers that no other event affected.
auto SoakFaults::CheckServed(
  const std::string& aDomain,
  const std::map<std::string, std::uint64_t>& aBefore) -> void
{
  const auto from = m_load.Elapsed() - kCutSeconds;
  std::uint64_t answersInCut = 0;
  bool anyUnaffected = false;
  for (const auto& [name, after] : AnsweredByBalancer(aDomain)) {
    const auto before = aBefore.find(name);
    if (before == aBefore.end() || m_lastEventAt[name] >= from) {
      continue;
    }
    anyUnaffected = true;
    answersInCut += after - before->second;
  }
  if (!anyUnaffected) {
    return;
  }
  ++m_counts["cuts_watched"];
  m_counts["cuts_served"] += answersInCut > 0 ? 1 : 0;
}

} // namespace bramleylock::measure
