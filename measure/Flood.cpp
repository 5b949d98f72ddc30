// Loads before, during and after a flood, and the comparison between them.

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

/// Parts of the capacity that each kept kind of work offers. With the flooding
/// plan's second kind, each stays within its part of the weights.
static constexpr double kBookingPart = 0.15;
static constexpr double kReadingPart = 0.10;
static constexpr double kExportPart = 0.08;
static constexpr double kProofsPerSecond = 4;

/// The aims.
static constexpr double kKept = 0.98;
static constexpr double kSlower = 2.0;
static constexpr double kGoodput = 0.9;
static constexpr double kNormalWithin = 5.0;

/// The start of a stretch that is left out of goodput.
static constexpr double kSettle = 1.0;

static constexpr const char* kExport = "export";

auto MakeFloodGround(const Deployment& aDeployment) -> FloodGround
{
  FloodGround ground{ aDeployment, 0, {}, {}, {} };
  auto& deployment = ground.deployment;
  const auto main = deployment.booking.service;
  auto& service = deployment.lists.services[main];
  service.plans.push_back(deployment.bulk.plan);
  service.works[kExport] = { Urgency::Bulk, SizeClass::Long,
                             Execution::Repeatable, kDeadlineMs };
  for (const auto& shape : deployment.services) {
    if (shape.name == main) {
      ground.capacity = shape.hosts * shape.slots * 1000.0 / kWorkMs;
    }
  }
  auto booking = deployment.booking;
  auto reading = deployment.reading;
  booking.workMs = kWorkMs;
  reading.workMs = kWorkMs;
  const LoadShape leastKept{
    deployment.bulk.plan, main, kExport, kWorkMs, 20000, kDeadlineMs
  };
  const auto capacity = ground.capacity;
  ground.kept = {
    { booking, capacity * kBookingPart, 5, 0, 0, "booking", false },
    { reading, capacity * kReadingPart, 5, 0, 0, "reading", false },
    { leastKept, capacity * kExportPart, 5, 0, 0, "export", false },
    { deployment.bulk, kProofsPerSecond, 1, 0, 0, "other-service", false },
  };
  // The plan that reads also floods, with another kind of work.
  ground.least = leastKept;
  ground.least.plan = reading.plan;
  ground.most = booking;
  ground.most.plan = reading.plan;
  return ground;
}

namespace {

/// Counts of one label over a stretch of the load.
struct Tally
{
  double offered = 0;
  double answered = 0;
  double attempts = 0;
  std::map<std::string, int> refused;
  std::vector<Record> records;

  auto Part() const -> double { return offered > 0 ? answered / offered : 0; }
};

} // namespace

static auto Count(const std::vector<Record>& aRecords, Span aSpan) -> Tally
{
  Tally tally;
  for (const auto& record : aRecords) {
    if (record.startedAt < aSpan.from || record.startedAt >= aSpan.until) {
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

/// Answers a second whose end lies in aSpan.
static auto AnswersPerSecond(const std::vector<Record>& aRecords, Span aSpan)
  -> double
{
  double answers = 0;
  for (const auto& record : aRecords) {
    const auto end = record.startedAt + record.latencyMs / 1000;
    answers += record.outcome == CallOutcome::Answered && end >= aSpan.from &&
                   end < aSpan.until
                 ? 1
                 : 0;
  }
  return answers / (aSpan.until - aSpan.from);
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
  aReport.Add(aName + "_p50_ms", LatencyAt(aTally.records, 0.5));
  aReport.Add(aName + "_p99_ms", LatencyAt(aTally.records, 0.99));
}

static auto JudgeKept(const std::string& aName, const Tally& aCalm,
                      const Tally& aFlood, const Tally& aAfter, bool aJudged,
                      Report& aReport) -> void
{
  const auto ratio = [](double aPart, double aWhole) {
    return aWhole > 0 ? aPart / aWhole : 0;
  };
  const auto calmP99 = LatencyAt(aCalm.records, 0.99);
  const auto kept = ratio(aFlood.Part(), aCalm.Part());
  const auto slower = ratio(LatencyAt(aFlood.records, 0.99), calmP99);
  const auto keptAfter = ratio(aAfter.Part(), aCalm.Part());
  const auto slowerAfter = ratio(LatencyAt(aAfter.records, 0.99), calmP99);
  aReport.Add(aName + "_kept", kept);
  aReport.Add(aName + "_p99_ratio", slower);
  aReport.Add(aName + "_kept_after", keptAfter);
  aReport.Add(aName + "_p99_ratio_after", slowerAfter);
  if (aJudged) {
    aReport.Require(aName + "_kept>=0.98", kept >= kKept);
    aReport.Require(aName + "_p99_ratio<=2", slower <= kSlower);
    aReport.Require(aName + "_normal_within_5s",
                    keptAfter >= kKept && slowerAfter <= kSlower);
  }
}

using RecordsByLabel = std::map<std::string, std::vector<Record>>;

static auto JudgeFlood(const FloodGround& aGround, const FloodRun& aRun,
                       const RecordsByLabel& aRecords, bool aJudged,
                       Report& aReport) -> void
{
  const auto& prefix = aRun.policy;
  const Span settled{ aRun.flood.from + kSettle, aRun.flood.until };
  double left = aGround.capacity;
  for (const auto& spec : aGround.kept) {
    if (spec.shape.service == aGround.deployment.booking.service) {
      left -= AnswersPerSecond(aRecords.at(spec.label), settled);
    }
  }
  double flooded = 0;
  for (const auto& spec : aRun.floods) {
    const auto& records = aRecords.at(spec.label);
    const auto name = prefix + "_" + spec.label;
    AddTally(name, Count(records, aRun.flood), aReport);
    aReport.Add(name + "_attempts", Count(records, aRun.flood).attempts);
    flooded += AnswersPerSecond(records, settled);
  }
  aReport.Add(prefix + "_flood_goodput", flooded / left);
  if (aJudged) {
    aReport.Require(prefix + "_flood_goodput>=0.9", flooded >= kGoodput * left);
  }
}

/// What a service's slots did over aSpan, which counts from aStart of the wall
/// clock: the part of their time that they ran requests, and the requests that
/// waited for one of them meanwhile.
static auto AddSlotUse(const FloodGround& aGround, const std::string& aPrefix,
                       Cluster& aCluster, std::uint64_t aStart, Span aSpan,
                       Report& aReport) -> void
{
  const auto& service = aGround.deployment.booking.service;
  const auto from = static_cast<double>(aStart) + aSpan.from * 1000;
  const auto until = static_cast<double>(aStart) + aSpan.until * 1000;
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
  const auto slots = aGround.capacity * kWorkMs / 1000.0;
  aReport.Add(aPrefix + "_slots_busy", ran / (until - from) / slots);
  aReport.Add(aPrefix + "_waiting_at_targets", waited / (until - from));
}

static auto AddLoads(const FloodGround& aGround, const FloodRun& aRun,
                     Load& aLoad) -> void
{
  for (auto spec : aGround.kept) {
    spec.until = aRun.end;
    aLoad.Add(spec);
  }
  for (const auto& spec : aRun.floods) {
    aLoad.Add(spec);
  }
}

auto RunFlood(const FloodGround& aGround, const FloodRun& aRun, bool aJudged,
              Report& aReport) -> void
{
  ClusterOptions options;
  options.seed = aRun.seed;
  options.settings = aRun.settings;
  options.settings["plugins"] +=
    fmt::format("admission = \"{}\"\n", aRun.policy);
  Cluster cluster(aGround.deployment, options);
  cluster.Start();
  Load load(cluster.CallerAddress(), aRun.seed);
  AddLoads(aGround, aRun, load);
  const auto start = UnixTimeMs();
  load.Start();
  if (aRun.during) {
    aRun.during(cluster, load);
  }
  load.Join();
  const auto& records = load.Records();
  for (const auto& spec : aGround.kept) {
    const auto name = aRun.policy + "_" + spec.label;
    const auto& all = records.at(spec.label);
    const auto calm = Count(all, { kSettle, aRun.flood.from });
    const auto flood = Count(all, aRun.flood);
    const auto after =
      Count(all, { aRun.flood.until + kNormalWithin, aRun.end });
    AddTally(name + "_calm", calm, aReport);
    AddTally(name + "_flood", flood, aReport);
    JudgeKept(name, calm, flood, after, aJudged, aReport);
  }
  JudgeFlood(aGround, aRun, records, aJudged, aReport);
  AddSlotUse(aGround, aRun.policy, cluster, start,
             { aRun.flood.from + kSettle, aRun.flood.until }, aReport);
  const auto checks = CheckRecords(records, cluster);
  aReport.Add(aRun.policy + "_false_not_run", checks.falseNotRun);
  aReport.Add(aRun.policy + "_double_runs", checks.doubleRuns);
  aReport.Add(aRun.policy + "_wrong_answer", checks.wrongAnswer);
  for (const auto* counter :
       { "retry_target_shed", "retry_budget_empty", "requests_dispatched" }) {
    aReport.Add(aRun.policy + "_" + counter, cluster.CounterSum(counter));
  }
  aReport.Add(aRun.policy + "_generator_late_p99_ms", load.LatenessAt(0.99));
  if (aJudged) {
    aReport.Require("false_not_run=0", checks.falseNotRun == 0);
    aReport.Require("double_runs=0", checks.doubleRuns == 0);
    aReport.Require("wrong_answer=0", checks.wrongAnswer == 0);
  }
}

} // namespace bramleylock::measure
