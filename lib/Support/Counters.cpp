// Counters and latency accumulators, and their text exposition format.

#include "bramleylock/Support/Counters.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum_kahan.hpp>
#include <fmt/format.h>

namespace bramleylock {

namespace acc = boost::accumulators;

namespace {

using SumAccumulator =
  acc::accumulator_set<double,
                       acc::stats<acc::tag::count, acc::tag::sum_kahan>>;
using QuantileAccumulator =
  acc::accumulator_set<double, acc::stats<acc::tag::p_square_quantile>>;

struct Accumulators
{
  SumAccumulator sum;
  QuantileAccumulator median{ acc::quantile_probability = 0.5 };
  QuantileAccumulator p99{ acc::quantile_probability = 0.99 };
};

} // namespace

struct Metrics::Latencies
{
  std::array<Accumulators, kLatencyRows.size()> byLatency;
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

auto Metrics::Observe(Latency aLatency, std::chrono::nanoseconds aTime) -> void
{
  const auto seconds = std::chrono::duration<double>(aTime).count();
  auto& observed = m_latencies->byLatency[static_cast<std::size_t>(aLatency)];
  observed.sum(seconds);
  observed.median(seconds);
  observed.p99(seconds);
}

auto Metrics::Summary(Latency aLatency) const -> LatencySummary
{
  const auto& observed =
    m_latencies->byLatency[static_cast<std::size_t>(aLatency)];
  const auto count = acc::count(observed.sum);
  if (count == 0) {
    return {};
  }
  return { count, acc::sum_kahan(observed.sum),
           acc::p_square_quantile(observed.median),
           acc::p_square_quantile(observed.p99) };
}

/// Formats the latency summaries. The exposition format requires the series of
/// one metric to be contiguous after its TYPE line.
static auto FormatLatencies(const Metrics& aMetrics) -> std::string
{
  std::string text;
  std::string_view previous;
  for (const auto& row : kLatencyRows) {
    if (row.metric != previous) {
      text += fmt::format("# TYPE bramleylock_{} summary\n", row.metric);
      previous = row.metric;
    }
    const auto summary = aMetrics.Summary(row.latency);
    const std::string_view comma = row.labels.empty() ? "" : ",";
    if (summary.count > 0) {
      text +=
        fmt::format("bramleylock_{0}{{{1}{4}quantile=\"0.5\"}} {2}\n"
                    "bramleylock_{0}{{{1}{4}quantile=\"0.99\"}} {3}\n",
                    row.metric, row.labels, summary.median, summary.p99, comma);
    }
    const auto labels =
      row.labels.empty() ? std::string() : fmt::format("{{{}}}", row.labels);
    text += fmt::format("bramleylock_{0}_sum{1} {2}\n"
                        "bramleylock_{0}_count{1} {3}\n",
                        row.metric, labels, summary.sum, summary.count);
  }
  return text;
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
  text += FormatLatencies(*this);
  return text;
}

auto Metrics::NonZeroCounters() const -> std::map<std::string, std::uint64_t>
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
