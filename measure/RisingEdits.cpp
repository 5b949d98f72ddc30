// Edits the lists through single balancers and checks where they are in force.

#include "measure/RisingEdits.h"

#include <fmt/format.h>

#include <thread>

namespace bramleylock::measure {

static constexpr Milliseconds kSpreadLimit{ 4000 };
static constexpr Milliseconds kPollInterval{ 50 };

RisingEdits::RisingEdits(Cluster& aCluster, std::string aPlan)
  : m_cluster(aCluster)
  , m_plan(std::move(aPlan))
{
}

auto RisingEdits::Edit(BalancerProcess& aBalancer) -> void
{
  auto current = m_cluster.Admin(aBalancer, "GET", "/lists");
  if (!current.contains("lists") ||
      !current["lists"]["plans"].contains(m_plan)) {
    return;
  }
  auto& plan = current["lists"]["plans"][m_plan];
  // A balancer that has not received the newest accepted lists holds a lower
  // weight. It must refuse an edit that is based on that weight.
  const bool outdated = plan.value("weight", 0.0) < m_acceptedWeight;
  m_submittedWeight += 1;
  plan["weight"] = m_submittedWeight;
  const auto answer =
    m_cluster.Admin(aBalancer, "PUT",
                    fmt::format("/lists?expected={}",
                                current.value("revision", std::uint64_t{ 0 })),
                    current["lists"].dump());
  if (answer.value("status", "") != "accepted") {
    return;
  }
  if (outdated) {
    ++m_revertedCount;
    fmt::print(stderr, "{} accepted an edit of older lists\n", aBalancer.name);
  }
  m_acceptedWeight = m_submittedWeight;
  ++m_acceptedCount;
}

auto RisingEdits::PropagationSeconds() -> double
{
  const auto started = Clock::now();
  while (Clock::now() - started < kSpreadLimit) {
    if (InForceEverywhere()) {
      return std::chrono::duration<double>(Clock::now() - started).count();
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return -1;
}

/// An edit with an unknown outcome may have taken effect after the last
/// accepted one, so its weight is valid too if all balancers have it.
auto RisingEdits::InForceEverywhere() -> bool
{
  std::set<double> weights;
  for (auto& balancer : m_cluster.Balancers()) {
    if (!balancer.process->Running()) {
      continue;
    }
    const auto plans =
      m_cluster.Admin(balancer, "GET", "/lists")["lists"]["plans"];
    if (!plans.contains(m_plan)) {
      return false;
    }
    weights.insert(plans[m_plan].value("weight", 0.0));
  }
  return weights.size() == 1 && *weights.begin() >= m_acceptedWeight;
}

auto RisingEdits::Accepted() const -> std::uint64_t
{
  return m_acceptedCount;
}

auto RisingEdits::Reverted() const -> std::uint64_t
{
  return m_revertedCount;
}

} // namespace bramleylock::measure
