// Runs load before, during and after a flood and compares the three phases.

#include "measure/Flood.h"

#include "bramleylock/Support/Random.h"

#include <fmt/format.h>

#include <algorithm>

namespace bramleylock::measure {

using caller::CallOutcome;
using lists::Execution;
using lists::SizeClass;
using lists::Urgency;

static constexpr int kWorkMs = 100;
static constexpr int kDeadlineMs = 5000;

/// Load offered by each protected kind of work, as a fraction of the capacity.
/// Together with the flooding plan's second kind of work, each stays within its
/// share by weight.
static constexpr double kBookingFraction = 0.15;
static constexpr double kReadingFraction = 0.10;
static constexpr double kExportFraction = 0.08;
static constexpr double kProofsPerSecond = 4;

/// Limits that judged runs are required to meet.
static constexpr double kMinKeptRatio = 0.98;
static constexpr double kMaxLatencyRatio = 2.0;
static constexpr double kMinGoodputRatio = 0.9;
static constexpr double kRecoverySeconds = 5.0;

/// Seconds at the start of a phase that are not counted.
static constexpr double kSettleSeconds = 1.0;

static constexpr const char* kExportWork = "export";

auto MakeFloodSetup(const Deployment& aDeployment) -> FloodSetup
{
  FloodSetup setup{ aDeployment, 0, {}, {}, {} };
  auto& deployment = setup.deployment;
  const auto main = deployment.booking.service;
  auto& service = deployment.lists.services[main];
  service.plans.push_back(deployment.bulk.plan);
  service.works[kExportWork] = { Urgency::Bulk, SizeClass::Long,
                                 Execution::Repeatable, kDeadlineMs };
  for (const auto& serviceSpec : deployment.services) {
    if (serviceSpec.name == main) {
      setup.capacity = serviceSpec.hosts * serviceSpec.slots * 1000.0 / kWorkMs;
    }
  }
  auto booking = deployment.booking;
  auto reading = deployment.reading;
  booking.workMs = kWorkMs;
  reading.workMs = kWorkMs;
  const RequestProfile exportProfile{
    deployment.bulk.plan, main, kExportWork, kWorkMs, 20000, kDeadlineMs
  };
  const auto capacity = setup.capacity;
  setup.protectedLoads = {
    { booking, capacity * kBookingFraction, 5, 0, 0, "booking", false },
    { reading, capacity * kReadingFraction, 5, 0, 0, "reading", false },
    { exportProfile, capacity * kExportFraction, 5, 0, 0, "export", false },
    { deployment.bulk, kProofsPerSecond, 1, 0, 0, "other-service", false },
  };
  // The plan of the reading load also floods, with another kind of work.
  setup.leastUrgent = exportProfile;
  setup.leastUrgent.plan = reading.plan;
  setup.mostUrgent = booking;
  setup.mostUrgent.plan = reading.plan;
  return setup;
}

namespace {

/// Counts of one label over a time span of the load.
struct Tally
{
  double offered = 0;
  double answered = 0;
  double attempts = 0;
  std::map<std::string, int> refused;
  std::vector<Record> records;

  auto AnsweredRatio() const -> double
  {
    return offered > 0 ? answered / offered : 0;
  }
};

} // namespace

static auto CountRecords(const std::vector<Record>& aRecords,
                         TimeInterval aInterval) -> Tally
{
  Tally tally;
  for (const auto& record : aRecords) {
    if (record.startedAt < aInterval.from ||
        record.startedAt >= aInterval.until) {
      continue;
    }
    ++tally.offered;
    tally.attempts += record.attempts;
    if (record.outcome == CallOutcome::Answered) {
      ++tally.answered;
    } else {
      ++tally.refused[fmt::format(
        "{}_{}", NameOf(caller::kCallOutcomeNames, record.outcome),
        NameOf(wire::kReasonNames, record.reason))];
    }
    tally.records.push_back(record);
  }
  return tally;
}

/// Answers per second, for the answers received within aInterval.
static auto AnswersPerSecond(const std::vector<Record>& aRecords,
                             TimeInterval aInterval) -> double
{
  double answers = 0;
  for (const auto& record : aRecords) {
    const auto end = record.startedAt + record.latencyMs / 1000;
    answers += record.outcome == CallOutcome::Answered &&
                   end >= aInterval.from && end < aInterval.until
                 ? 1
                 : 0;
  }
  return answers / (aInterval.until - aInterval.from);
}

static auto AddTally(const std::string& aName, const Tally& aTally,
                     Report& aReport) -> void
{
  aReport.Add(aName + "_offered", static_cast<std::uint64_t>(aTally.offered));
  aReport.Add(aName + "_answered", static_cast<std::uint64_t>(aTally.answered));
  for (const auto& [reason, count] : aTally.refused) {
    aReport.Add(fmt::format("{}_{}", aName, reason),
                static_cast<std::uint64_t>(count));
  }
  aReport.Add(aName + "_p50_ms", LatencyQuantile(aTally.records, 0.5));
  aReport.Add(aName + "_p99_ms", LatencyQuantile(aTally.records, 0.99));
}

static auto AddKeptFigures(const std::string& aName, const Tally& aCalm,
                           const Tally& aFlood, const Tally& aAfter,
                           bool aRequireLimits, Report& aReport) -> void
{
  const auto ratio = [](double aNumerator, double aDenominator) {
    return aDenominator > 0 ? aNumerator / aDenominator : 0;
  };
  const auto calmP99 = LatencyQuantile(aCalm.records, 0.99);
  const auto kept = ratio(aFlood.AnsweredRatio(), aCalm.AnsweredRatio());
  const auto latencyRatio =
    ratio(LatencyQuantile(aFlood.records, 0.99), calmP99);
  const auto keptAfter = ratio(aAfter.AnsweredRatio(), aCalm.AnsweredRatio());
  const auto latencyRatioAfter =
    ratio(LatencyQuantile(aAfter.records, 0.99), calmP99);
  aReport.Add(aName + "_kept", kept);
  aReport.Add(aName + "_p99_ratio", latencyRatio);
  aReport.Add(aName + "_kept_after", keptAfter);
  aReport.Add(aName + "_p99_ratio_after", latencyRatioAfter);
  if (aRequireLimits) {
    aReport.Require(aName + "_kept>=0.98", kept >= kMinKeptRatio);
    aReport.Require(aName + "_p99_ratio<=2", latencyRatio <= kMaxLatencyRatio);
    aReport.Require(aName + "_normal_within_5s",
                    keptAfter >= kMinKeptRatio &&
                      latencyRatioAfter <= kMaxLatencyRatio);
  }
}

using RecordsByLabel = std::map<std::string, std::vector<Record>>;

static auto AddFloodFigures(const FloodSetup& aSetup, const FloodRun& aRun,
                            const RecordsByLabel& aRecords, bool aRequireLimits,
                            Report& aReport) -> void
{
  const auto& prefix = aRun.policy;
  const TimeInterval settled{ aRun.flood.from + kSettleSeconds,
                              aRun.flood.until };
  double remainingCapacity = aSetup.capacity;
  for (const auto& spec : aSetup.protectedLoads) {
    if (spec.profile.service == aSetup.deployment.booking.service) {
      remainingCapacity -= AnswersPerSecond(aRecords.at(spec.label), settled);
    }
  }
  double floodAnswersPerSecond = 0;
  for (const auto& spec : aRun.floods) {
    const auto& records = aRecords.at(spec.label);
    const auto name = prefix + "_" + spec.label;
    AddTally(name, CountRecords(records, aRun.flood), aReport);
    aReport.Add(name + "_attempts", CountRecords(records, aRun.flood).attempts);
    floodAnswersPerSecond += AnswersPerSecond(records, settled);
  }
  aReport.Add(prefix + "_flood_goodput",
              floodAnswersPerSecond / remainingCapacity);
  if (aRequireLimits) {
    aReport.Require(prefix + "_flood_goodput>=0.9",
                    floodAnswersPerSecond >=
                      kMinGoodputRatio * remainingCapacity);
  }
}

/// Adds the use of the main service's slots over aInterval, which is relative
/// to the wall-clock time aStart: the fraction of slot time spent running
/// requests, and the mean number of requests that waited for a slot.
static auto AddSlotUse(const FloodSetup& aSetup, const std::string& aPrefix,
                       Cluster& aCluster, std::uint64_t aStart,
                       TimeInterval aInterval, Report& aReport) -> void
{
  const auto& service = aSetup.deployment.booking.service;
  const auto from = static_cast<double>(aStart) + aInterval.from * 1000;
  const auto until = static_cast<double>(aStart) + aInterval.until * 1000;
  const auto overlap = [from, until](double aBegin, double aLength) {
    const auto end = std::min(aBegin + aLength, until);
    return std::max(0.0, end - std::max(aBegin, from));
  };
  double ran = 0;
  double waited = 0;
  for (auto& target : aCluster.Targets()) {
    if (target.service != service) {
      continue;
    }
    const auto journal = aCluster.Journal(target);
    for (const auto& run : journal["runs"]) {
      const auto at = run.value("at", 0.0);
      const auto wait = run.value("waited_ms", 0.0);
      ran += overlap(at, run.value("ran_ms", 0.0));
      waited += overlap(at - wait, wait);
    }
  }
  const auto slots = aSetup.capacity * kWorkMs / 1000.0;
  aReport.Add(aPrefix + "_slots_busy", ran / (until - from) / slots);
  aReport.Add(aPrefix + "_waiting_at_targets", waited / (until - from));
}

static auto AddLoads(const FloodSetup& aSetup, const FloodRun& aRun,
                     Load& aLoad) -> void
{
  for (auto spec : aSetup.protectedLoads) {
    spec.until = aRun.end;
    aLoad.Add(spec);
  }
  for (const auto& spec : aRun.floods) {
    aLoad.Add(spec);
  }
}

auto RunFlood(const FloodSetup& aSetup, const FloodRun& aRun,
              bool aRequireLimits, Report& aReport) -> void
{
  ClusterOptions options;
  options.seed = aRun.seed;
  options.settings = aRun.settings;
  options.settings["plugins"] +=
    fmt::format("admission = \"{}\"\n", aRun.policy);
  Cluster cluster(aSetup.deployment, options);
  cluster.Start();
  Load load(cluster.CallerAddress(), aRun.seed);
  AddLoads(aSetup, aRun, load);
  const auto start = UnixTimeMs();
  load.Start();
  if (aRun.during) {
    aRun.during(cluster, load);
  }
  load.Join();
  const auto& records = load.Records();
  for (const auto& spec : aSetup.protectedLoads) {
    const auto name = aRun.policy + "_" + spec.label;
    const auto& all = records.at(spec.label);
    const auto calm = CountRecords(all, { kSettleSeconds, aRun.flood.from });
    const auto flood = CountRecords(all, aRun.flood);
    const auto after =
      CountRecords(all, { aRun.flood.until + kRecoverySeconds, aRun.end });
    AddTally(name + "_calm", calm, aReport);
    AddTally(name + "_flood", flood, aReport);
    AddKeptFigures(name, calm, flood, after, aRequireLimits, aReport);
  }
  AddFloodFigures(aSetup, aRun, records, aRequireLimits, aReport);
  AddSlotUse(aSetup, aRun.policy, cluster, start,
             { aRun.flood.from + kSettleSeconds, aRun.flood.until }, aReport);
  const auto checks = CheckRecords(records, cluster);
  aReport.Add(aRun.policy + "_false_not_run", checks.falseNotRun);
  aReport.Add(aRun.policy + "_double_runs", checks.doubleRuns);
  aReport.Add(aRun.policy + "_wrong_answer", checks.wrongAnswer);
  for (const auto* counter :
       { "retry_target_shed", "retry_budget_empty", "requests_dispatched" }) {
    aReport.Add(aRun.policy + "_" + counter, cluster.CounterSum(counter));
  }
  aReport.Add(aRun.policy + "_generator_late_p99_ms",
              load.LatenessQuantile(0.99));
  if (aRequireLimits) {
    aReport.Require("false_not_run=0", checks.falseNotRun == 0);
    aReport.Require("double_runs=0", checks.doubleRuns == 0);
    aReport.Require("wrong_answer=0", checks.wrongAnswer == 0);
  }
}

} // namespace bramleylock::measure
