// Scenario "flow-loads": plays the named loads on the load model in simulated
// time and reports what callers get.

#include "measure/ModelLoads.h"
#include "measure/Scenario.h"

#include "bramleylock/Support/Log.h"

#include <fmt/format.h>

namespace bramleylock::measure {

static constexpr std::uint64_t kSeeds = 5;

namespace {

using namespace forward;

/// The period of a burst that is compared with what the slots can execute.
constexpr Milliseconds kBurstBegin{ 3000 };
constexpr Milliseconds kBurstEnd{ 9000 };

/// Requests of the burst that were answered on time divided by those that all
/// slots can execute.
auto Goodput(const LoadOptions& aOptions, const LoadResult& aResult) -> double
{
  std::size_t onTime = 0;
  for (const auto& [at, wasOnTime] : aResult.outcomes) {
    onTime += wasOnTime && at >= kBurstBegin && at < kBurstEnd ? 1 : 0;
  }
  const double slots = static_cast<double>(aOptions.targets) * aOptions.slots;
  return static_cast<double>(onTime) * aOptions.meanWorkMs /
         (slots * static_cast<double>((kBurstEnd - kBurstBegin).count()));
}

class FlowLoads : public Scenario
{
public:
  auto Summary() const -> std::string override
  {
    return "what callers get under the named loads of the load model";
  }

  auto Run(const ScenarioOptions& aOptions, Report& aReport) -> void override
  {
    // A run makes thousands of decisions, whose log records are not needed.
    ConfigureLog({ LogLevel::Error, false, "measure" });
    auto loads = StressLoads();
    for (const auto& load : UnlikeLoads()) {
      loads.push_back(load);
    }
    for (const auto& load : loads) {
      aReport.Add(load.name, Describe(load.options, aOptions.seed));
    }
  }

private:
  /// Returns the fractions of requests that were on time, late and failed, the
  /// number of wrong verdicts of silence and, for a burst, the goodput, over
  /// kSeeds seeds.
  static auto Describe(LoadOptions aOptions, std::uint64_t aSeed) -> std::string
  {
    LoadResult sum;
    double goodput = 0;
    for (std::uint64_t seed = aSeed; seed < aSeed + kSeeds; ++seed) {
      aOptions.seed = seed;
      const auto result = LoadModel(aOptions).Run();
      sum.AddCounts(result);
      goodput += Goodput(aOptions, result) / kSeeds;
    }
    const auto requests = static_cast<double>(sum.requests);
    auto text = fmt::format(
      "on_time={:.4f},late={:.4f},failed={:.4f},shed={},wrongly_silent={}",
      sum.OnTimeFraction(), static_cast<double>(sum.late) / requests,
      static_cast<double>(sum.failed) / requests, sum.shed, sum.falseSilences);
    if (aOptions.burstFactor > 1) {
      text += fmt::format(",goodput={:.3f}", goodput);
    }
    return text;
  }
};

const Registration<ScenarioRegistry, FlowLoads> kRegistration("flow-loads");

} // namespace

} // namespace bramleylock::measure
