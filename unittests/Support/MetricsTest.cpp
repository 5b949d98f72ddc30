// Latency summaries and their text exposition format.

#include "bramleylock/Flow/RequestTimes.h"
#include "bramleylock/Support/Counters.h"

#include <criterion/criterion.h>

#include <set>

using namespace bramleylock;

static auto ContainsLine(const std::string& aText, const std::string& aLine)
  -> bool
{
  return ("\n" + aText).find("\n" + aLine + "\n") != std::string::npos;
}

Test(Latencies, EveryLatencyHasARowInOrderAndItsOwnSeries)
{
  std::set<std::pair<std::string_view, std::string_view>> series;
  int value = 0;
  for (const auto& row : kLatencyRows) {
    cr_assert(static_cast<int>(row.latency) == value, "row %d", value);
    cr_assert(series.emplace(row.metric, row.labels).second, "row %d", value);
    ++value;
  }
}

Test(Latencies, SummaryReportsCountSumAndQuantiles)
{
  Metrics metrics;
  cr_assert(metrics.Summary(Latency::TargetBulk).count == 0);
  for (int i = 1; i <= 1000; ++i) {
    metrics.Observe(Latency::TargetBulk, std::chrono::milliseconds(i));
  }
  const auto summary = metrics.Summary(Latency::TargetBulk);
  cr_assert(summary.count == 1000);
  cr_assert_float_eq(summary.sum, 500.5, 1e-6);
  cr_assert_float_eq(summary.median, 0.5, 0.01);
  cr_assert_float_eq(summary.p99, 0.99, 0.01);
  cr_assert(metrics.Summary(Latency::TargetUrgent).count == 0);
}

Test(Latencies, ExpositionOmitsQuantilesOfEmptySeries)
{
  Metrics metrics;
  metrics.Observe(Latency::QueueWaitUrgent, std::chrono::milliseconds(250));
  const auto text = metrics.Exposition();
  cr_assert(
    ContainsLine(text, "# TYPE bramleylock_queue_wait_seconds summary"));
  cr_assert(ContainsLine(
    text, R"(bramleylock_queue_wait_seconds_count{urgency="urgent"} 1)"));
  cr_assert(ContainsLine(
    text, R"(bramleylock_queue_wait_seconds_sum{urgency="urgent"} 0.25)"));
  cr_assert(ContainsLine(
    text, R"(bramleylock_queue_wait_seconds_count{urgency="bulk"} 0)"));
  cr_assert(text.find(R"(urgency="bulk",quantile)") == std::string::npos);
}

Test(Latencies, RequestOutcomesAreObservedSeparately)
{
  Metrics metrics;
  flow::RequestTimes refused(metrics, lists::Urgency::Bulk);
  refused.EndQueueWait();
  refused.End(false, false, {});
  flow::RequestTimes lost(metrics, lists::Urgency::Bulk);
  lost.EndQueueWait();
  lost.End(false, true, {});
  flow::RequestTimes answered(metrics, lists::Urgency::Bulk);
  answered.EndQueueWait();
  answered.End(true, true, std::chrono::milliseconds(3));
  cr_assert(metrics.Summary(Latency::QueueWaitBulk).count == 3);
  cr_assert(metrics.Summary(Latency::NotRun).count == 1);
  cr_assert(metrics.Summary(Latency::Unfinished).count == 1);
  cr_assert(metrics.Summary(Latency::AnsweredBulk).count == 1);
  cr_assert(metrics.Summary(Latency::TargetBulk).count == 1);
  cr_assert_float_eq(metrics.Summary(Latency::TargetBulk).sum, 0.003, 1e-9);
}
