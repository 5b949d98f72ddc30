// Scenario "flow-policies": compares target selection policies on the load
// model in simulated time.

#include "measure/ModelLoads.h"
#include "measure/Scenario.h"

#include "bramleylock/Forward/FlowChoice.h"
#include "bramleylock/Support/Log.h"

#include <fmt/format.h>

#include <algorithm>
#include <numeric>

namespace bramleylock::measure {

static constexpr std::uint64_t kSeeds = 5;

/// Number of targets that a balancer uses under the policy "spread".
static constexpr std::size_t kSpreadTargets = 6;

namespace {

using namespace forward;

auto FlowsPerSlot(const Candidate& aCandidate) -> double
{
  return aCandidate.busyLoad / aCandidate.slots;
}

auto UsableTargets(const std::vector<Candidate>& aCandidates)
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

/// Chooses the target with the fewest own flows per slot and considers nothing
/// else.
class LeastFlows : public FlowChoice
{
public:
  auto Choose(const ChoiceInput& aInput, Random& aRandom)
    -> FlowDecision override
  {
    return ChooseLeast(aInput, UsableTargets(aInput.candidates), aRandom);
  }

  static auto ChooseLeast(const ChoiceInput& aInput,
                          std::vector<std::size_t> aEligible, Random& aRandom)
    -> FlowDecision
  {
    if (aEligible.empty()) {
      return { std::nullopt, RefusalReason::NoTarget };
    }
    std::shuffle(aEligible.begin(), aEligible.end(), aRandom);
    const auto least =
      *std::min_element(aEligible.begin(), aEligible.end(),
                        [&aInput](std::size_t aLeft, std::size_t aRight) {
                          return FlowsPerSlot(aInput.candidates[aLeft]) <
                                 FlowsPerSlot(aInput.candidates[aRight]);
                        });
    return { least, RefusalReason::None };
  }
};

/// Chooses the less loaded of two random targets.
class TwoRandom : public FlowChoice
{
public:
  auto Choose(const ChoiceInput& aInput, Random& aRandom)
    -> FlowDecision override
  {
    auto usable = UsableTargets(aInput.candidates);
    std::shuffle(usable.begin(), usable.end(), aRandom);
    usable.resize(std::min<std::size_t>(usable.size(), 2));
    return LeastFlows::ChooseLeast(aInput, std::move(usable), aRandom);
  }
};

/// Chooses the target with the fewest own flows per slot among the first usable
/// targets in a random order that this balancer draws once.
class RandomSubset : public FlowChoice
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
    std::vector<std::size_t> subset;
    for (const auto index : m_order) {
      if (!aInput.candidates[index].silent && subset.size() < kSpreadTargets) {
        subset.push_back(index);
      }
    }
    return LeastFlows::ChooseLeast(aInput, std::move(subset), aRandom);
  }

private:
  std::vector<std::size_t> m_order;
};

const Registration<FlowChoiceRegistry, LeastFlows> kLeastFlows("least-flows");
const Registration<FlowChoiceRegistry, TwoRandom> kTwoRandom("two-random");
const Registration<FlowChoiceRegistry, RandomSubset> kSpreadChoice("spread");

class FlowPolicies : public Scenario
{
public:
  auto Summary() const -> std::string override
  {
    return "target selection policies for new flows on the load model";
  }

  auto Run(const ScenarioOptions& aOptions, Report& aReport) -> void override
  {
    // A run makes thousands of decisions, whose log records are not needed.
    ConfigureLog({ LogLevel::Error, false, "measure" });
    for (const auto& load : StressLoads()) {
      // A single balancer knows all flows, which gives an upper bound for the
      // policies of several balancers.
      auto singleBalancer = load.options;
      singleBalancer.balancers = 1;
      const auto upperBound = RunSeeds(singleBalancer, aOptions.seed, aReport,
                                       fmt::format("{}_all-known", load.name));
      std::map<std::string, double> shares;
      for (const auto& policy : FlowChoiceRegistry::Instance().Names()) {
        auto options = load.options;
        options.choice = policy;
        shares[policy] = RunSeeds(options, aOptions.seed, aReport,
                                  fmt::format("{}_{}", load.name, policy));
      }
      aReport.Add(fmt::format("{}_bound_gap", load.name),
                  upperBound - shares["least-wait"]);
      aReport.Require(fmt::format("{}_least-wait>=random", load.name),
                      shares["least-wait"] >= shares["random"]);
    }
  }

private:
  /// Adds the fractions of requests answered in time, answered late and failed
  /// over kSeeds seeds; returns the fraction answered in time.
  static auto RunSeeds(LoadOptions aOptions, std::uint64_t aSeed,
                       Report& aReport, const std::string& aLabel) -> double
  {
    LoadResult sum;
    for (std::uint64_t seed = aSeed; seed < aSeed + kSeeds; ++seed) {
      aOptions.seed = seed;
      sum.AddCounts(LoadModel(aOptions).Run());
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
