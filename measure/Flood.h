// One flood on a deployment, and what the other work kept of it.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "measure/Scenario.h"

namespace bramleylock::measure {

/// A stretch of the load, in seconds from its start.
struct Span
{
  double from = 0;
  double until = 0;
};

/// The deployment with three kinds of work, of three classes, on its main
/// service, and its loads.
struct FloodGround
{
  Deployment deployment;
  /// Requests a second that the main service's targets can run.
  double capacity = 0;
  /// Work within its plan's weight.
  std::vector<LoadSpec> kept;
  LoadShape least;
  LoadShape most;
};

auto MakeFloodGround(const Deployment& aDeployment) -> FloodGround;

/// What one run under one admission policy is given.
struct FloodRun
{
  std::string policy;
  std::uint64_t seed = 1;
  /// Calm load lasts until the flood begins, and again from its end to `end`.
  Span flood;
  double end = 0;
  /// The floods; their times lie inside `flood`.
  std::vector<LoadSpec> floods;
  /// Called during the load, from another thread than it.
  std::function<void(Cluster&, Load&)> during;
  /// Settings lines by section, beside the policy's.
  std::map<std::string, std::string> settings;
};

/// Runs the load and adds its figures under aRun.policy; when aJudged, what
/// the floods' aims ask for is required.
auto RunFlood(const FloodGround& aGround, const FloodRun& aRun, bool aJudged,
              Report& aReport) -> void;

} // namespace bramleylock::measure
