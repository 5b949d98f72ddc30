// Scenario "compare-choices": compares all target selection policies under even
// and uneven distribution of packets over the balancers.

#include "measure/Scenario.h"

#include "bramleylock/Target/TargetChoice.h"

#include <fmt/format.h>

namespace bramleylock::measure {

static constexpr double kLoadSeconds = 5;
static constexpr double kImbalanceLimit = 1.25;

/// Weights with which the fabric distributes packets unevenly, repeated over
/// the balancers.
static constexpr std::array<double, 4> kUnevenWeights{ 3, 1, 2, 1 };

namespace {

struct ChoiceResult
{
  double imbalance = 0;
  double readingP99Ms = 0;
  double sheds = 0;
};

class CompareChoices : public Scenario
{
public:
  auto Summary() const -> std::string override
  {
    return "target selection policies compared under even and uneven spray";
  }

  auto Run(const ScenarioOptions& aOptions, Report& aReport) -> void override
  {
    for (const auto& choice : target::ChoiceRegistry::Instance().Names()) {
      for (const bool uneven : { false, true }) {
        const auto result = Measure(aOptions, choice, uneven);
        const auto label =
          fmt::format("{}_{}", choice, uneven ? "uneven" : "even");
        aReport.Add(label + "_imbalance", result.imbalance);
        aReport.Add(label + "_p99_ms", result.readingP99Ms);
        aReport.Add(label + "_sheds", result.sheds);
        if (choice == "spill-over") {
          aReport.Require(label + "<=1.25",
                          result.imbalance <= kImbalanceLimit);
        }
      }
    }
  }

private:
  static auto Measure(const ScenarioOptions& aOptions,
                      const std::string& aChoice, bool aUneven) -> ChoiceResult
  {
    const auto& deployment = *aOptions.deployment;
    const double seconds =
      aOptions.seconds > 0 ? aOptions.seconds : kLoadSeconds;
    ClusterOptions options;
    options.seed = aOptions.seed;
    options.settings["plugins"] =
      fmt::format("target_choice = \"{}\"\n", aChoice);
    Cluster cluster(deployment, options);
    cluster.Start();
    if (aUneven) {
      auto& balancers = cluster.Balancers();
      for (std::size_t i = 0; i < balancers.size(); ++i) {
        balancers[i].weight = kUnevenWeights[i % kUnevenWeights.size()];
      }
      cluster.Publish();
    }
    Load load(cluster.CallerAddress(), aOptions.seed);
    load.Add({ deployment.booking, 150, 5, 0, seconds, "booking" });
    load.Add({ deployment.reading, 300, 5, 0, seconds, "reading" });
    load.Start();
    load.Join();
    return { Imbalance(cluster, deployment.reading.service),
             LatencyQuantile(load.Records().at("reading"), 0.99),
             static_cast<double>(cluster.CounterSum("retry_target_shed")) };
  }
};

const Registration<ScenarioRegistry, CompareChoices> kRegistration(
  "compare-choices");

} // namespace

} // namespace bramleylock::measure
