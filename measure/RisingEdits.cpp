// Edits through single balancers, and where they are in force.

#include "measure/RisingEdits.h"

#include <fmt/format.h>

#include <thread>

namespace bramleylock::measure {

static constexpr Milliseconds kSpreadLimit{ 4000 };
static constexpr Milliseconds kPollEvery{ 50 };

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
  // A lower weight may still be on its way here, so an edit on top of it must
  // be refused.
  const bool behind = plan.value("weight", 0.0) < m_acceptedWeight;
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
  if (behind) {
    ++m_revertedCount;
    fmt::print(stderr, "{} took an edit of an older list\n", aBalancer.name);
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
    std::this_thread::sleep_for(kPollEvery);
  }
  return -1;
}

/// An edit whose outcome is not known may have taken effect after the last
/// accepted one, so its weight is right too, if all balancers have it.
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
