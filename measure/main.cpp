// bramleylock-measure: runs one scenario on real processes.

#include "measure/Scenario.h"

#include <cxxopts.hpp>
#include <fmt/format.h>
#include <sodium.h>

#include <iostream>

using namespace bramleylock;
using namespace bramleylock::measure;

namespace {

enum ExitCode
{
  Passed = 0,
  Failed = 1,
  UsageError = 2
};

} // namespace

static auto ListScenarios() -> int
{
  auto& registry = ScenarioRegistry::Instance();
  for (const auto& name : registry.Names()) {
    fmt::print("{}  {}\n", name, registry.Create(name)->Summary());
  }
  return Passed;
}

static auto RunScenario(const cxxopts::ParseResult& aArguments) -> int
{
  const auto name = aArguments["scenario"].as<std::string>();
  const auto scenario = ScenarioRegistry::Instance().Create(name);
  if (!scenario) {
    fmt::print(stderr, "bramleylock-measure: unknown scenario {}; see --list\n",
               name);
    return UsageError;
  }
  ScenarioOptions options;
  options.seed = aArguments["seed"].as<std::uint64_t>();
  options.seconds = aArguments["seconds"].as<double>();
  options.nodes = aArguments["nodes"].as<int>();
  options.deployment =
    FindDeployment(aArguments["deployment"].as<std::string>());
  if (options.deployment == nullptr) {
    fmt::print(stderr, "bramleylock-measure: --deployment must be cooperative "
                       "or ticketworks\n");
    return UsageError;
  }
  Report report;
  report.Add("scenario", name);
  report.Add("deployment", options.deployment->name);
  report.Add("seed", options.seed);
  scenario->Run(options, report);
  report.Print(aArguments.count("json") != 0);
  return report.AllHold() ? Passed : Failed;
}

auto main(int argc, char** argv) -> int
{
  cxxopts::Options options("bramleylock-measure",
                           "Runs one scenario on real processes.");
  options.add_options()("scenario", "scenario", cxxopts::value<std::string>())(
    "list", "list the scenarios")(
    "seed", "seed", cxxopts::value<std::uint64_t>()->default_value("1"))(
    "seconds", "length of the load; 0 for the scenario's default",
    cxxopts::value<double>()->default_value("0"))(
    "nodes", "number of balancers, for scenarios with a variable fleet size",
    cxxopts::value<int>()->default_value("0"))(
    "deployment", "cooperative or ticketworks",
    cxxopts::value<std::string>()->default_value("cooperative"))(
    "json", "print JSON")("help", "print this help");
  options.parse_positional({ "scenario" });
  options.positional_help("SCENARIO");
  try {
    const auto parsed = options.parse(argc, argv);
    if (sodium_init() < 0 || parsed.count("help") != 0) {
      std::cout << options.help();
      return Passed;
    }
    if (parsed.count("list") != 0) {
      return ListScenarios();
    }
    if (parsed.count("scenario") == 0) {
      std::cerr << options.help();
      return UsageError;
    }
    return RunScenario(parsed);
  } catch (const cxxopts::exceptions::exception& failure) {
    std::cerr << "bramleylock-measure: " << failure.what() << "\n";
    return UsageError;
  } catch (const std::exception& failure) {
    std::cerr << "bramleylock-measure: " << failure.what() << "\n";
    return Failed;
  }
}
