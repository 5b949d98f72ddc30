// Scenarios "flood-least", "flood-most", "flood-both" and
// "flood-and-target-loss": load of ten times the capacity under each admission
// policy.

#include "measure/Flood.h"

#include <csignal>
#include <thread>

namespace bramleylock::measure {

static constexpr double kFloodCapacityRatio = 10;
static constexpr double kPhaseSeconds = 8;

/// Normal load after the flood: time to recover, and a span to measure.
static constexpr double kRecoveryPhaseSeconds = 10;

/// Time for a target that takes no new work to finish its running requests.
static constexpr Milliseconds kRequestDrainTime{ 500 };

namespace {

enum class FloodKind
{
  Least,
  Most,
  Both,
  TargetLoss
};

class FloodScenario : public Scenario
{
public:
  explicit FloodScenario(FloodKind aKind)
    : m_kind(aKind)
  {
  }

  auto Run(const ScenarioOptions& aOptions, Report& aReport) -> void override
  {
    const auto setup = MakeFloodSetup(*aOptions.deployment);
    const double seconds =
      aOptions.seconds > 0 ? aOptions.seconds : kPhaseSeconds;
    aReport.Add("capacity_per_second", setup.capacity);
    for (const auto* policy : { "none", "fifo", "fair" }) {
      const bool judged = policy == std::string("fair");
      RunFlood(setup, MakeRun(setup, policy, aOptions.seed, seconds), judged,
               aReport);
    }
  }

private:
  auto MakeRun(const FloodSetup& aSetup, const std::string& aPolicy,
               std::uint64_t aSeed, double aSeconds) const -> FloodRun
  {
    FloodRun run;
    run.policy = aPolicy;
    run.seed = aSeed;
    run.flood = { aSeconds, aSeconds * 2 };
    run.end = aSeconds * 2 + kRecoveryPhaseSeconds;
    const auto rate = aSetup.capacity * kFloodCapacityRatio;
    // With both floods, the least urgent work starts and the most urgent
    // follows.
    const auto from = run.flood.from;
    const auto until = run.flood.until;
    const auto third = aSeconds / 3;
    const LoadSpec least{
      aSetup.leastUrgent, rate, 5, from, until, "least", true
    };
    const LoadSpec most{
      aSetup.mostUrgent, rate, 5, from, until, "most", false
    };
    switch (m_kind) {
      case FloodKind::Least:
        run.floods = { least };
        break;
      case FloodKind::Most:
        run.floods = { most };
        break;
      case FloodKind::TargetLoss:
        run.floods = { most };
        run.during = [from, third](Cluster& aCluster, Load& aLoad) {
          LoseTarget(aCluster, aLoad, from + third);
        };
        break;
      case FloodKind::Both:
        run.floods = { least, most };
        run.floods[0].until = until - third;
        run.floods[1].from = from + third;
        break;
    }
    return run;
  }

  /// Kills one host that the platform continues to list.
  static auto LoseTarget(Cluster& aCluster, Load& aLoad, double aAt) -> void
  {
    const auto wait = aAt - aLoad.Elapsed();
    std::this_thread::sleep_for(std::chrono::duration<double>(wait));
    auto& killed = aCluster.Targets().front();
    // The host first finishes its running requests, so that its journal is
    // complete.
    aCluster.Control(killed.process->Value("target"), "/control/behave",
                     { { "shed_all", true } });
    std::this_thread::sleep_for(kRequestDrainTime);
    aCluster.SaveJournal(killed);
    killed.process->Signal(SIGKILL);
  }

  FloodKind m_kind;
};

class FloodLeast : public FloodScenario
{
public:
  FloodLeast()
    : FloodScenario(FloodKind::Least)
  {
  }
  auto Summary() const -> std::string override
  {
    return "the least urgent work floods; its callers honour retry-after";
  }
};

class FloodMost : public FloodScenario
{
public:
  FloodMost()
    : FloodScenario(FloodKind::Most)
  {
  }
  auto Summary() const -> std::string override
  {
    return "the most urgent work floods; its callers ignore retry-after";
  }
};

class FloodBoth : public FloodScenario
{
public:
  FloodBoth()
    : FloodScenario(FloodKind::Both)
  {
  }
  auto Summary() const -> std::string override
  {
    return "the least urgent work floods, then the most urgent too";
  }
};

class FloodAndTargetLoss : public FloodScenario
{
public:
  FloodAndTargetLoss()
    : FloodScenario(FloodKind::TargetLoss)
  {
  }
  auto Summary() const -> std::string override
  {
    return "a target dies while the most urgent work floods";
  }
};

const Registration<ScenarioRegistry, FloodLeast> kLeast("flood-least");
const Registration<ScenarioRegistry, FloodMost> kMost("flood-most");
const Registration<ScenarioRegistry, FloodBoth> kBoth("flood-both");
const Registration<ScenarioRegistry, FloodAndTargetLoss> kTargetLoss(
  "flood-and-target-loss");

} // namespace

} // namespace bramleylock::measure
