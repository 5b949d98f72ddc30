// Reads the use of processes from /proc and fits lines.

#include "measure/ProcessUse.h"

#include <malloc.h>

#include <ctime>

#include <fmt/format.h>
#include <unistd.h>

#include <fstream>
#include <sstream>

namespace bramleylock::measure {

auto ReadProcessUse(int aProcess) -> ProcessUse
{
  std::ifstream file(fmt::format("/proc/{}/stat", aProcess));
  std::string line;
  std::getline(file, line);
  std::istringstream words(line.substr(line.rfind(')') + 2));
  std::vector<std::string> fields;
  std::string word;
  while (words >> word) {
    fields.push_back(word);
  }
  // Fields 14, 15 and 24 of proc(5), counted from the state, which is third.
  const double ticks = std::stod(fields.at(11)) + std::stod(fields.at(12));
  const double pages = std::stod(fields.at(21));
  return { ticks / static_cast<double>(sysconf(_SC_CLK_TCK)),
           pages * static_cast<double>(sysconf(_SC_PAGESIZE)) };
}

auto BalancersCpu(Cluster& aCluster) -> double
{
  double seconds = 0;
  for (auto& balancer : aCluster.Balancers()) {
    if (balancer.process->Running()) {
      seconds += ReadProcessUse(balancer.process->Id()).cpuSeconds;
    }
  }
  return seconds;
}

auto FitLine(const std::vector<Point>& aPoints) -> LineFit
{
  const auto count = static_cast<double>(aPoints.size());
  double meanSize = 0;
  double meanValue = 0;
  for (const auto& point : aPoints) {
    meanSize += point.size / count;
    meanValue += point.value / count;
  }
  double covariance = 0;
  double sizeVariance = 0;
  double valueVariance = 0;
  for (const auto& point : aPoints) {
    const double size = point.size - meanSize;
    const double value = point.value - meanValue;
    covariance += size * value;
    sizeVariance += size * size;
    valueVariance += value * value;
  }
  LineFit fit;
  fit.slope = covariance / sizeVariance;
  fit.intercept = meanValue - fit.slope * meanSize;
  fit.rSquared = valueVariance == 0
                   ? 1
                   : covariance * covariance / sizeVariance / valueVariance;
  return fit;
}

auto OwnCpuSeconds() -> double
{
  std::timespec now{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) +
         static_cast<double>(now.tv_nsec) * 1e-9;
}

auto OwnHeapBytes() -> double
{
  return static_cast<double>(mallinfo2().uordblks);
}

} // namespace bramleylock::measure
