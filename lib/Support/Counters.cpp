// Counters and latency accumulators, and their text exposition.

#include "bramleylock/Support/Counters.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <fmt/format.h>

namespace bramleylock {

namespace acc = boost::accumulators;

namespace {

using MeanAccumulator =
  acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::mean>>;
using QuantileAccumulator =
  acc::accumulator_set<double, acc::stats<acc::tag::p_square_quantile>>;

struct Latency
{
  MeanAccumulator mean;
  QuantileAccumulator median{ acc::quantile_probability = 0.5 };
  QuantileAccumulator p99{ acc::quantile_probability = 0.99 };
};

} // namespace

struct Metrics::Latencies
{
  std::map<std::string, Latency> byName;
};

Metrics::Metrics()
  : m_latencies(std::make_unique<Latencies>())
{
}

Metrics::~Metrics() = default;

auto Metrics::Add(Counter aCounter, std::uint64_t aAmount) -> void
{
  m_counters[static_cast<std::size_t>(aCounter)] += aAmount;
}

auto Metrics::Get(Counter aCounter) const -> std::uint64_t
{
  return m_counters[static_cast<std::size_t>(aCounter)];
}

auto Metrics::SetGauge(const std::string& aName, double aValue) -> void
{
  m_gauges[aName] = aValue;
}

auto Metrics::Observe(const std::string& aName, double aSeconds) -> void
{
  auto& latency = m_latencies->byName[aName];
  latency.mean(aSeconds);
  latency.median(aSeconds);
  latency.p99(aSeconds);
}

auto Metrics::Summary(const std::string& aName) const -> LatencySummary
{
  const auto found = m_latencies->byName.find(aName);
  if (found == m_latencies->byName.end()) {
    return {};
  }
  const auto& latency = found->second;
  return { acc::count(latency.mean), acc::mean(latency.mean),
           acc::p_square_quantile(latency.median),
           acc::p_square_quantile(latency.p99) };
}

auto Metrics::Exposition() const -> std::string
{
  std::string text;
  for (const auto& [counter, name] : kCounterNames) {
    text += fmt::format("# TYPE bramleylock_{0}_total counter\n"
                        "bramleylock_{0}_total {1}\n",
                        name, Get(counter));
  }
  for (const auto& [name, value] : m_gauges) {
    text += fmt::format("# TYPE bramleylock_{0} gauge\nbramleylock_{0} {1}\n",
                        name, value);
  }
  for (const auto& [name, latency] : m_latencies->byName) {
    const auto summary = Summary(name);
    text += fmt::format("# TYPE bramleylock_{0}_seconds summary\n"
                        "bramleylock_{0}_seconds{{quantile=\"0.5\"}} {1}\n"
                        "bramleylock_{0}_seconds{{quantile=\"0.99\"}} {2}\n"
                        "bramleylock_{0}_seconds_count {3}\n",
                        name, summary.median, summary.p99, summary.count);
  }
  return text;
}

auto Metrics::NonZero() const -> std::map<std::string, std::uint64_t>
{
  std::map<std::string, std::uint64_t> all;
  for (const auto& [counter, name] : kCounterNames) {
    if (Get(counter) != 0) {
      all.emplace(name, Get(counter));
    }
  }
  return all;
}

} // namespace bramleylock
