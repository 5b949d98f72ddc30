// Scenarios "flood-least", "flood-most", "flood-both" and
// "flood-and-target-loss": ten times the capacity, under each policy.

#include "measure/Flood.h"

#include <csignal>
#include <thread>

namespace bramleylock::measure {

static constexpr double kTimes = 10;
static constexpr double kSeconds = 8;

/// The calm after the flood: what it takes to become normal, and a stretch to
/// measure.
static constexpr double kAfterSeconds = 10;

/// How long a target that takes no new work needs to end what it runs.
static constexpr Milliseconds kRunOut{ 500 };

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
    const double seconds = aOptions.seconds > 0 ? aOptions.seconds : kSeconds;
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
    run.end = aSeconds * 2 + kAfterSeconds;
    const auto rate = aSetup.capacity * kTimes;
    // When both flood, the least urgent begins and the most urgent follows.
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

  /// Ends one host that the platform goes on listing.
  static auto LoseTarget(Cluster& aCluster, Load& aLoad, double aAt) -> void
  {
    const auto wait = aAt - aLoad.Elapsed();
    std::this_thread::sleep_for(std::chrono::duration<double>(wait));
    auto& lost = aCluster.Targets().front();
    // Its journal has to be whole, so it first ends what it runs.
    aCluster.Control(lost.process->Value("target"), "/control/behave",
                     { { "shed_all", true } });
    std::this_thread::sleep_for(kRunOut);
    aCluster.SaveJournal(lost);
    lost.process->Signal(SIGKILL);
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
