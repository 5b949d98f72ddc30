// Checks of a soak that need the log of its faults.

#include "measure/SoakEvidence.h"

#include <fmt/format.h>

#include <algorithm>
#include <iostream>
#include <set>

namespace bramleylock::measure {

/// Time within which views agree again after a cut has healed.
static constexpr double kConvergenceSeconds = 4;

/// The longest interval between two sends of a request that no balancer has
/// accepted.
static constexpr double kResendSeconds = 0.5;

/// Time within which balancers detect that the connections to a killed target
/// are closed.
static constexpr double kResetDetectionSeconds = 1;
static constexpr std::uint64_t kLatestNewWorkMs = 3000;

/// Tolerance, as caller and target read the clock at different times.
static constexpr std::uint64_t kClockToleranceMs = 50;

namespace {

/// Where requests ran, and which of them a proxy lost.
class Evidence
{
public:
  Evidence(const FaultLog& aLog, Cluster& aCluster)
    : m_log(aLog)
  {
    for (const auto& balancer : aCluster.Balancers()) {
      m_domainOf[balancer.process->Value("peers")] = balancer.failureDomain;
    }
    for (auto& target : aCluster.Targets()) {
      const auto journal = aCluster.Journal(target);
      for (const auto& run : journal["runs"]) {
        m_ranAt[run.value("id", "")].insert(target.name);
      }
      for (const auto& id : aCluster.DroppedRequests(target)) {
        m_lost.insert(id);
      }
    }
  }

  auto CauseOf(const Record& aRecord) const -> UnknownCause
  {
    if (!aRecord.atMostOnce) {
      return UnknownCause::Unexplained;
    }
    if (m_lost.contains(aRecord.id)) {
      return UnknownCause::ConnectionForgotten;
    }
    if (ExplainedByOwner(aRecord, m_log.owners)) {
      return UnknownCause::OwnerFault;
    }
    if (OwnerWasCutOff(aRecord)) {
      return UnknownCause::OwnerCutOff;
    }
    return TargetWasKilled(aRecord) ? UnknownCause::TargetCrash
                                    : UnknownCause::Unexplained;
  }

  /// Names of the targets that ran a request.
  auto RanAt(const std::string& aId) const -> std::string
  {
    const auto found = m_ranAt.find(aId);
    return found == m_ranAt.end()
             ? ""
             : fmt::format("{}", fmt::join(found->second, " "));
  }

private:
  static auto EndedAt(const Record& aRecord) -> double
  {
    return aRecord.startedAt + aRecord.latencyMs / 1000;
  }

  auto OwnerWasCutOff(const Record& aRecord) const -> bool
  {
    return std::any_of(
      m_log.cuts.begin(), m_log.cuts.end(), [&](const CutInterval& aCut) {
        return ReportedLost(aRecord, aCut) || OwnerUnreachable(aRecord, aCut);
      });
  }

  /// A balancer reported the owner lost during a cut, which separates every
  /// owner from some balancers, or before the views had to agree again.
  static auto ReportedLost(const Record& aRecord, const CutInterval& aCut)
    -> bool
  {
    const auto ended = EndedAt(aRecord);
    return aRecord.reason == wire::Reason::OwnerLost &&
           !aRecord.owner.empty() && ended >= aCut.from &&
           ended <= aCut.until + kConvergenceSeconds;
  }

  /// The owner was cut off for the whole duration of the request, so that
  /// balancers of other failure domains could not forward it, and no target ran
  /// it.
  auto OwnerUnreachable(const Record& aRecord, const CutInterval& aCut) const
    -> bool
  {
    const auto domain = m_domainOf.find(aRecord.owner);
    return aRecord.reason == wire::Reason::Deadline &&
           domain != m_domainOf.end() && domain->second == aCut.domain &&
           aRecord.startedAt >= aCut.from &&
           EndedAt(aRecord) <= aCut.until + kResendSeconds &&
           !m_ranAt.contains(aRecord.id);
  }

  /// The owner reported a lost target at the time when one was killed, and no
  /// other target ran the request.
  auto TargetWasKilled(const Record& aRecord) const -> bool
  {
    if (aRecord.reason != wire::Reason::TargetLost) {
      return false;
    }
    const auto ended = EndedAt(aRecord);
    return std::any_of(m_log.crashes.begin(), m_log.crashes.end(),
                       [&, ended](const TargetCrash& aCrash) {
                         return aRecord.startedAt <= aCrash.until &&
                                ended >= aCrash.from &&
                                ended <=
                                  aCrash.until + kResetDetectionSeconds &&
                                !RanElsewhere(aRecord.id, aCrash.target);
                       });
  }

  auto RanElsewhere(const std::string& aId, const std::string& aTarget) const
    -> bool
  {
    const auto found = m_ranAt.find(aId);
    return found != m_ranAt.end() &&
           found->second != std::set<std::string>{ aTarget };
  }

  const FaultLog& m_log;
  /// Failure domains by the owner's peer address.
  std::map<std::string, std::string> m_domainOf;
  std::map<std::string, std::set<std::string>> m_ranAt;
  std::set<std::string> m_lost;
};

} // namespace

/// Prints the details of an unknown outcome that no fault explains.
static auto PrintUnexplained(const std::string& aLabel, const Record& aRecord,
                             const std::string& aRanAt) -> void
{
  std::cerr << fmt::format(
    "unexplained: {} {} reason {} owner {} from {:.3f} s for {:.0f} ms, ran at "
    "[{}]\n",
    aLabel, aRecord.id, NameOf(wire::kReasonNames, aRecord.reason),
    aRecord.owner, aRecord.startedAt, aRecord.latencyMs, aRanAt);
}

auto AddUnknownCauses(
  const std::map<std::string, std::vector<Record>>& aRecords,
  const FaultLog& aLog, Cluster& aCluster, Report& aReport) -> void
{
  const Evidence evidence(aLog, aCluster);
  std::map<UnknownCause, std::uint64_t> counts;
  std::uint64_t repeatable = 0;
  for (const auto& [label, records] : aRecords) {
    for (const auto& record : records) {
      if (record.outcome != caller::CallOutcome::Unknown) {
        continue;
      }
      const auto cause = evidence.CauseOf(record);
      ++counts[cause];
      repeatable += record.atMostOnce ? 0 : 1;
      if (cause == UnknownCause::Unexplained) {
        PrintUnexplained(label, record, evidence.RanAt(record.id));
      }
    }
  }
  for (const auto& [cause, name] : kUnknownCauseNames) {
    aReport.Add(fmt::format("unknown_{}", name), counts[cause]);
  }
  aReport.Add("repeatable_unknown", repeatable);
  aReport.Require("repeatable_unknown=0", repeatable == 0);
  aReport.Require("unknown_unexplained=0",
                  counts[UnknownCause::Unexplained] == 0);
}

auto AddStartsWhileLeaving(const FaultLog& aLog, Cluster& aCluster,
                           Report& aReport) -> void
{
  std::uint64_t late = 0;
  std::uint64_t latestMs = 0;
  for (const auto& leaving : aLog.leaving) {
    for (auto& target : aCluster.Targets()) {
      if (target.name != leaving.target) {
        continue;
      }
      const auto journal = aCluster.Journal(target);
      for (const auto& run : journal["runs"]) {
        const auto at = run.value("at", std::uint64_t{ 0 });
        const auto after = at > leaving.since ? at - leaving.since : 0;
        latestMs = std::max(latestMs, after);
        late += after > kLatestNewWorkMs ? 1 : 0;
      }
    }
  }
  aReport.Add("late_new_work", late);
  aReport.Add("latest_new_work_ms", latestMs);
  aReport.Require("late_new_work=0", late == 0);
}

auto AddStartsPastDeadline(
  const std::map<std::string, std::vector<Record>>& aRecords,
  const Deployment& aDeployment, std::uint64_t aStartedAt, Cluster& aCluster,
  Report& aReport) -> void
{
  std::map<std::string, std::uint64_t> deadlines;
  for (const auto& [label, records] : aRecords) {
    for (const auto& record : records) {
      const bool bulk = record.service == aDeployment.bulk.service;
      const auto& shape = bulk ? aDeployment.bulk : aDeployment.reading;
      deadlines[record.id] =
        aStartedAt + static_cast<std::uint64_t>(record.startedAt * 1000) +
        static_cast<std::uint64_t>(shape.deadlineMs) + kClockToleranceMs;
    }
  }
  std::uint64_t late = 0;
  for (auto& target : aCluster.Targets()) {
    const auto journal = aCluster.Journal(target);
    for (const auto& run : journal["runs"]) {
      const auto at = run.value("at", std::uint64_t{ 0 });
      const auto id = run.value("id", "");
      if (at <= deadlines[id]) {
        continue;
      }
      ++late;
      std::cerr << fmt::format(
        "started late: {} at {} ({}), {} ms beyond its deadline, {:.3f} s\n",
        id, target.name, target.failureDomain, at - deadlines[id],
        static_cast<double>(at - aStartedAt) / 1000);
    }
  }
  aReport.Add("started_late", late);
  aReport.Require("started_late=0", late == 0);
}

} // namespace bramleylock::measure
