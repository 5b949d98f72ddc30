// Scenario "flow-policies": ways of choosing a target side by side, on the load
// model and in simulated time.

#include "measure/LoadModel.h"
#include "measure/Scenario.h"

#include "bramleylock/Forward/FlowChoice.h"
#include "bramleylock/Support/Log.h"

#include <fmt/format.h>

#include <algorithm>
#include <numeric>

namespace bramleylock::measure {

static constexpr std::uint64_t kSeeds = 5;

/// Targets that a balancer of the policy "spread" uses.
static constexpr std::size_t kSpread = 6;

namespace {

using namespace forward;

auto FlowsForEachSlot(const Candidate& aCandidate) -> double
{
  return static_cast<double>(aCandidate.inFlight) / aCandidate.slots;
}

auto Usable(const std::vector<Candidate>& aCandidates)
  -> std::vector<std::size_t>
{
  std::vector<std::size_t> usable;
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    if (!aCandidates[i].silent) {
      usable.push_back(i);
    }
  }
  return usable;
}

/// Fewest own flows for each slot, with nothing else weighed.
class LeastFlows : public FlowChoice
{
public:
  auto Choose(const ChoiceInput& aInput, Random& aRandom)
    -> FlowDecision override
  {
    return Least(aInput, Usable(aInput.candidates), aRandom);
  }

  static auto Least(const ChoiceInput& aInput, std::vector<std::size_t> aFrom,
                    Random& aRandom) -> FlowDecision
  {
    if (aFrom.empty()) {
      return { std::nullopt, RefusalReason::NoTarget };
    }
    std::shuffle(aFrom.begin(), aFrom.end(), aRandom);
    const auto least =
      *std::min_element(aFrom.begin(), aFrom.end(),
                        [&aInput](std::size_t aLeft, std::size_t aRight) {
                          return FlowsForEachSlot(aInput.candidates[aLeft]) <
                                 FlowsForEachSlot(aInput.candidates[aRight]);
                        });
    return { least, RefusalReason::None };
  }
};

/// The better of two random ones.
class TwoRandom : public FlowChoice
{
public:
  auto Choose(const ChoiceInput& aInput, Random& aRandom)
    -> FlowDecision override
  {
    auto usable = Usable(aInput.candidates);
    std::shuffle(usable.begin(), usable.end(), aRandom);
    usable.resize(std::min<std::size_t>(usable.size(), 2));
    return LeastFlows::Least(aInput, std::move(usable), aRandom);
  }
};

/// Fewest own flows among a few targets that this balancer drew once.
class Spread : public FlowChoice
{
public:
  auto Choose(const ChoiceInput& aInput, Random& aRandom)
    -> FlowDecision override
  {
    if (m_order.size() != aInput.candidates.size()) {
      m_order.resize(aInput.candidates.size());
      std::iota(m_order.begin(), m_order.end(), 0);
      std::shuffle(m_order.begin(), m_order.end(), aRandom);
    }
    std::vector<std::size_t> few;
    for (const auto index : m_order) {
      if (!aInput.candidates[index].silent && few.size() < kSpread) {
        few.push_back(index);
      }
    }
    return LeastFlows::Least(aInput, std::move(few), aRandom);
  }

private:
  std::vector<std::size_t> m_order;
};

const Registration<FlowChoiceRegistry, LeastFlows> kLeastFlows("least-flows");
const Registration<FlowChoiceRegistry, TwoRandom> kTwoRandom("two-random");
const Registration<FlowChoiceRegistry, Spread> kSpreadChoice("spread");

struct NamedLoad
{
  const char* name;
  LoadOptions options;
};

/// The hardest seconds of the platform's standard days.
auto Loads() -> std::vector<NamedLoad>
{
  std::vector<NamedLoad> loads{ { "calm", {} },
                                { "burst", {} },
                                { "silent_targets", {} },
                                { "loss_of_power", {} } };
  loads[1].options.requestsPerSecond = 740;
  loads[2].options.silentTargets = 4;
  loads[3].options.outage = Milliseconds(1800);
  return loads;
}

class FlowPolicies : public Scenario
{
public:
  auto Summary() const -> std::string override
  {
    return "choices of a target for new flows on the load model";
  }

  auto Run(const ScenarioOptions& aOptions, Report& aReport) -> void override
  {
    // Thousands of decisions a run; their records say nothing here.
    ConfigureLog({ LogLevel::Error, false, "measure" });
    for (const auto& load : Loads()) {
      // One balancer that sees everything: what no policy of several beats.
      auto alone = load.options;
      alone.balancers = 1;
      const auto bound = Play(alone, aOptions.seed, aReport,
                              fmt::format("{}_all-known", load.name));
      std::map<std::string, double> shares;
      for (const auto& policy : FlowChoiceRegistry::Instance().Names()) {
        auto options = load.options;
        options.choice = policy;
        shares[policy] = Play(options, aOptions.seed, aReport,
                              fmt::format("{}_{}", load.name, policy));
      }
      aReport.Add(fmt::format("{}_bound_gap", load.name),
                  bound - shares["least-wait"]);
      aReport.Require(fmt::format("{}_least-wait>=random", load.name),
                      shares["least-wait"] >= shares["random"]);
    }
  }

private:
  /// Adds the shares in time, late and failed over some seeds; returns the
  /// first.
  static auto Play(LoadOptions aOptions, std::uint64_t aSeed, Report& aReport,
                   const std::string& aLabel) -> double
  {
    LoadResult sum;
    for (std::uint64_t seed = aSeed; seed < aSeed + kSeeds; ++seed) {
      aOptions.seed = seed;
      const auto result = LoadModel(aOptions).Run();
      sum.requests += result.requests;
      sum.onTime += result.onTime;
      sum.late += result.late;
      sum.failed += result.failed;
    }
    const auto requests = static_cast<double>(sum.requests);
    aReport.Add(aLabel + "_in_aim", sum.OnTimeFraction());
    aReport.Add(aLabel + "_late", static_cast<double>(sum.late) / requests);
    aReport.Add(aLabel + "_failed", static_cast<double>(sum.failed) / requests);
    return sum.OnTimeFraction();
  }
};

const Registration<ScenarioRegistry, FlowPolicies> kRegistration(
  "flow-policies");

} // namespace

} // namespace bramleylock::measure
