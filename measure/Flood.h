// Runs an overload by one plan (a flood) against a deployment and measures its
// effect on the other requests.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "measure/Scenario.h"

namespace bramleylock::measure {

/// A time interval, in seconds from the start of the load.
struct TimeInterval
{
  double from = 0;
  double until = 0;
};

/// A deployment whose main service has request types of all three urgencies,
/// and the loads to run on it.
struct FloodSetup
{
  Deployment deployment;
  /// Requests per second that the main service's targets can execute.
  double capacity = 0;
  /// Loads that stay within the shares of their plans and must not suffer from
  /// the flood.
  std::vector<LoadSpec> protectedLoads;
  /// Request type of a flood of the least urgent class.
  RequestProfile leastUrgent;
  /// Request type of a flood of the most urgent class.
  RequestProfile mostUrgent;
};

auto MakeFloodSetup(const Deployment& aDeployment) -> FloodSetup;

/// Parameters of one run under one admission policy.
struct FloodRun
{
  /// Name of the admission policy.
  std::string policy;
  std::uint64_t seed = 1;
  /// When the floods are active. Only the protected loads run before it and
  /// from its end to `end`.
  TimeInterval flood;
  double end = 0;
  /// Loads of the floods; their times are within `flood`.
  std::vector<LoadSpec> floods;
  /// Called while the load runs, on another thread than the load's.
  std::function<void(Cluster&, Load&)> during;
  /// Additional settings lines, by section.
  std::map<std::string, std::string> settings;
};

/// Runs the load and adds its results with aRun.policy as prefix. With
/// aRequireLimits, it also requires that they meet the limits.
auto RunFlood(const FloodSetup& aSetup, const FloodRun& aRun,
              bool aRequireLimits, Report& aReport) -> void;

} // namespace bramleylock::measure
