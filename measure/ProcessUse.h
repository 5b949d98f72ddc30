// Reads the resource usage of processes from /proc and fits lines to
// measurements.
#pragma once

#include "measure/Cluster.h"

namespace bramleylock::measure {

struct ProcessUse
{
  double cpuSeconds = 0;
  double residentBytes = 0;
};

/// CPU time since the start, and current resident memory, of the process with
/// the ID aProcess.
auto ReadProcessUse(int aProcess) -> ProcessUse;

/// CPU time of all running balancers, in seconds.
auto BalancersCpu(Cluster& aCluster) -> double;

/// A least-squares line through measured points.
struct LineFit
{
  double slope = 0;
  double intercept = 0;
  /// Coefficient of determination (R squared).
  double rSquared = 0;
};

struct Point
{
  double size = 0;
  double value = 0;
};

auto FitLine(const std::vector<Point>& aPoints) -> LineFit;

/// CPU time that this process has used, in seconds.
auto OwnCpuSeconds() -> double;

/// Heap bytes that this process has allocated and not freed.
auto OwnHeapBytes() -> double;

} // namespace bramleylock::measure
