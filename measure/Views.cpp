// Compares the views that balancers report in their status.

#include "measure/Views.h"

#include <fmt/format.h>

#include <set>
#include <thread>

namespace bramleylock::measure {

using nlohmann::json;

auto RevisionMonitor::Poll(Cluster& aCluster) -> void
{
  for (auto& balancer : aCluster.Balancers()) {
    if (!balancer.process->Running() || balancer.paused) {
      continue;
    }
    const auto status = aCluster.Admin(balancer, "GET", "/status");
    const auto revision = status.value("lists_revision", std::uint64_t{ 0 });
    auto& last = m_lastRevisions[balancer.name];
    if (!status.empty() && revision < last) {
      ++m_reverted;
      fmt::print(stderr, "{} reverted from revision {} to {}\n", balancer.name,
                 last, revision);
    }
    last = std::max(last, revision);
  }
}

auto RevisionMonitor::Reverted() const -> std::uint64_t
{
  return m_reverted;
}

auto ViewsAgree(Cluster& aCluster) -> bool
{
  std::set<std::string> present;
  for (auto& balancer : aCluster.Balancers()) {
    if (balancer.listed && balancer.process->Running()) {
      present.insert(balancer.name);
    }
  }
  std::set<std::uint64_t> revisions;
  for (auto& balancer : aCluster.Balancers()) {
    if (!present.contains(balancer.name)) {
      continue;
    }
    const auto status = aCluster.Admin(balancer, "GET", "/status");
    revisions.insert(status.value("lists_revision", std::uint64_t{ 0 }));
    std::set<std::string> aliveMembers{ balancer.name };
    for (const auto& member : status.value("members", json::array())) {
      if (member.value("state", "") == "alive") {
        aliveMembers.insert(member.value("vm", ""));
      }
    }
    if (aliveMembers != present) {
      return false;
    }
  }
  return revisions.size() == 1;
}

auto SecondsUntilConverged(Cluster& aCluster, RevisionMonitor& aMonitor,
                           double aLimit) -> double
{
  const auto from = Clock::now();
  const auto elapsed = [from] {
    return std::chrono::duration<double>(Clock::now() - from).count();
  };
  while (elapsed() < aLimit) {
    if (ViewsAgree(aCluster)) {
      return elapsed();
    }
    aMonitor.Poll(aCluster);
    std::this_thread::sleep_for(Milliseconds(50));
  }
  return aLimit;
}

auto EditWeight(Cluster& aCluster, BalancerProcess& aBalancer, double aWeight)
  -> std::uint64_t
{
  auto current = aCluster.Admin(aBalancer, "GET", "/lists");
  if (!current.contains("lists")) {
    return 0;
  }
  auto& plans = current["lists"]["plans"];
  plans.begin().value()["weight"] = aWeight;
  const auto answer =
    aCluster.Admin(aBalancer, "PUT", "/lists", current["lists"].dump());
  // The answer to a refused edit contains a revision too.
  return answer.value("status", "") == "accepted"
           ? answer.value("revision", std::uint64_t{ 0 })
           : 0;
}

} // namespace bramleylock::measure
