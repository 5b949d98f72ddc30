// Submits edits with increasing values and reads the lists back.

#include "measure/EditProbe.h"

#include "bramleylock/Http/SyncFetch.h"
#include "bramleylock/Support/Random.h"

#include <algorithm>
#include <thread>

namespace bramleylock::measure {

using nlohmann::json;

static constexpr Milliseconds kPollInterval{ 20 };
static constexpr double kWaitTimeoutSeconds = 10;

auto EditClusterOptions(const ScenarioOptions& aOptions) -> ClusterOptions
{
  ClusterOptions options;
  options.seed = aOptions.seed;
  const auto domains = aOptions.deployment->failureDomains.size();
  options.balancers = static_cast<int>(domains) * kBalancersPerDomain;
  options.hosts = 1;
  return options;
}

auto SleepSeconds(double aSeconds) -> void
{
  std::this_thread::sleep_for(std::chrono::duration<double>(aSeconds));
}

static auto SecondsSince(Clock::time_point aStart) -> double
{
  return std::chrono::duration<double>(Clock::now() - aStart).count();
}

EditProbe::EditProbe(Cluster& aCluster, const Deployment& aDeployment)
  : m_cluster(aCluster)
{
  for (const auto& [name, plan] : aDeployment.lists.plans) {
    m_plans.push_back(name);
    m_currentEntries["plans/" + name] =
      json::parse(lists::FormatEntry(aDeployment.lists, "plans/" + name));
  }
}

auto EditProbe::Plans() const -> const std::vector<std::string>&
{
  return m_plans;
}

auto EditProbe::NextEdit(const std::string& aPlan) -> json
{
  const auto path = "plans/" + aPlan;
  auto wanted = m_currentEntries[path];
  wanted["rate_per_second"] = 1000 + m_nextRate++;
  return { { "edit", SecureRandomIdentifier() },
           { "changes", json::array({ { { "path", path },
                                        { "base", m_currentEntries[path] },
                                        { "wanted", wanted } } }) } };
}

auto EditProbe::Submit(BalancerProcess& aBalancer, const json& aEdit) -> json
{
  return m_cluster.Admin(aBalancer, "PATCH", "/lists", aEdit.dump());
}

auto EditProbe::MarkAccepted(const json& aEdit) -> void
{
  for (const auto& change : aEdit["changes"]) {
    const auto path = change["path"].get<std::string>();
    m_currentEntries[path] = change["wanted"];
    m_acceptedRates[path.substr(path.find('/') + 1)] =
      change["wanted"]["rate_per_second"].get<double>();
  }
}

auto EditProbe::Poll() -> bool
{
  bool all = true;
  for (auto& balancer : m_cluster.Balancers()) {
    if (m_skippedBalancers.contains(balancer.name) ||
        !balancer.process->Running()) {
      continue;
    }
    const auto answer = m_cluster.Admin(balancer, "GET", "/lists");
    const auto plans =
      answer.value("lists", json::object()).value("plans", json::object());
    for (const auto& plan : m_plans) {
      const auto value =
        plans.value(plan, json::object()).value("rate_per_second", 0.0);
      auto& highest = m_highestSeen[balancer.name][plan];
      m_reverted += !plans.empty() && value < highest ? 1 : 0;
      highest = std::max(highest, value);
      const auto accepted = m_acceptedRates.find(plan);
      all =
        all && (accepted == m_acceptedRates.end() || value >= accepted->second);
    }
  }
  return all;
}

auto EditProbe::WaitInForce(double aLimitSeconds) -> double
{
  const auto start = Clock::now();
  while (!Poll() && SecondsSince(start) < aLimitSeconds) {
    std::this_thread::sleep_for(kPollInterval);
  }
  return SecondsSince(start);
}

auto EditProbe::EditAndWait(BalancerProcess& aBalancer,
                            const std::string& aPlan) -> double
{
  const auto start = Clock::now();
  const auto edit = NextEdit(aPlan);
  const auto answer = Submit(aBalancer, edit);
  if (answer.value("status", "") != "accepted") {
    ++m_refused;
    return 0;
  }
  MarkAccepted(edit);
  m_propagationSeconds.push_back(WaitInForce(kWaitTimeoutSeconds));
  return SecondsSince(start);
}

auto EditProbe::SetSkipped(const std::string& aBalancer, bool aSkip) -> void
{
  if (aSkip) {
    m_skippedBalancers.insert(aBalancer);
  } else {
    m_skippedBalancers.erase(aBalancer);
  }
}

auto EditProbe::LostEdits() -> std::uint64_t
{
  std::uint64_t lost = 0;
  Poll();
  for (const auto& accepted : m_acceptedRates) {
    const bool shown = std::all_of(
      m_cluster.Balancers().begin(), m_cluster.Balancers().end(),
      [&](BalancerProcess& aBalancer) {
        return m_skippedBalancers.contains(aBalancer.name) ||
               !aBalancer.process->Running() ||
               m_highestSeen[aBalancer.name][accepted.first] >= accepted.second;
      });
    lost += shown ? 0 : 1;
  }
  return lost;
}

auto EditProbe::RevertedEdits() const -> std::uint64_t
{
  return m_reverted;
}

auto EditProbe::RefusedEdits() const -> std::uint64_t
{
  return m_refused;
}

auto EditProbe::AddResults(Report& aReport) -> void
{
  const auto lost = LostEdits();
  aReport.Add("reverted", m_reverted);
  aReport.Add("lost_edits", lost);
  aReport.Add("refused_edits", m_refused);
  aReport.Require("reverted=0", m_reverted == 0);
  aReport.Require("lost_edits=0", lost == 0);
  aReport.Require("refused_edits=0", m_refused == 0);
  if (m_propagationSeconds.empty()) {
    return;
  }
  std::sort(m_propagationSeconds.begin(), m_propagationSeconds.end());
  // Measured from the response to the edit.
  aReport.Add("edits", std::uint64_t{ m_propagationSeconds.size() });
  aReport.Add("in_force_p50_s",
              m_propagationSeconds[m_propagationSeconds.size() / 2]);
  aReport.Add("in_force_max_s", m_propagationSeconds.back());
  aReport.Require("in_force_max_s<=4",
                  m_propagationSeconds.back() <= kPropagationLimitSeconds);
}

auto StoreCalls(Cluster& aCluster) -> std::uint64_t
{
  return aCluster.Control(aCluster.StoreAddress(), "/control/calls", {})
    .value("calls", std::uint64_t{ 0 });
}

auto StoreWrites(Cluster& aCluster) -> std::uint64_t
{
  return aCluster.Control(aCluster.StoreAddress(), "/control/calls", {})
    .value("writes", std::uint64_t{ 0 });
}

auto StoreHasCurrentLists(Cluster& aCluster) -> bool
{
  http::Request request;
  request.target = "/kv/lists";
  std::error_code error;
  const auto reply = http::SyncFetch(aCluster.StoreAddress(), request,
                                     Milliseconds(2000), error);
  const auto row = json::parse(reply.body, nullptr, false);
  if (error || !row.is_object()) {
    return false;
  }
  const auto document = json::parse(row.value("value", ""), nullptr, false);
  const auto status = aCluster.Admin(aCluster.Balancers()[0], "GET", "/status");
  return document.is_object() &&
         document.value("revision", 0) == status.value("lists_revision", 1);
}

auto WatchersOf(Cluster& aCluster, const std::string& aFailureDomain)
  -> std::vector<BalancerProcess*>
{
  std::vector<BalancerProcess*> watchers;
  for (auto& balancer : aCluster.Balancers()) {
    if (balancer.failureDomain == aFailureDomain &&
        aCluster.Admin(balancer, "GET", "/status").value("watching", false)) {
      watchers.push_back(&balancer);
    }
  }
  return watchers;
}

} // namespace bramleylock::measure
