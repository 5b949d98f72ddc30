// What a process has used, by /proc, and fits of slopes.
#pragma once

#include "measure/Cluster.h"

namespace bramleylock::measure {

struct ProcessUse
{
  double cpuSeconds = 0;
  double residentBytes = 0;
};

/// Use of the process aProcess since it started.
auto UseOf(int aProcess) -> ProcessUse;

/// Processor seconds of all running balancers.
auto BalancersCpu(Cluster& aCluster) -> double;

/// A least-squares line through the points of one mechanism.
struct Fit
{
  double slope = 0;
  double intercept = 0;
  /// Part of the variance that the line explains.
  double explained = 0;
};

struct Point
{
  double size = 0;
  double value = 0;
};

auto FitLine(const std::vector<Point>& aPoints) -> Fit;

/// Processor time that this process has used, in seconds.
auto OwnCpuSeconds() -> double;

/// Bytes that this process has allocated and not freed.
auto OwnHeapBytes() -> double;

} // namespace bramleylock::measure
