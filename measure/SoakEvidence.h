// What a soak did to the cluster, and which unknown outcomes that explains.
#pragma once

#include <array>
#include <map>
#include <string>
#include <vector>

#include "bramleylock/Support/Names.h"
#include "measure/OwnerFaults.h"

namespace bramleylock::measure {

/// A failure domain that was cut from the others, in seconds of the load.
struct CutInterval
{
  std::string domain;
  double from = 0;
  double until = 0;
};

/// A target that was killed between two moments of the load.
struct TargetCrash
{
  std::string target;
  double from = 0;
  double until = 0;
};

/// A target that said that it was leaving, in milliseconds of the wall clock.
struct LeavingTarget
{
  std::string target;
  std::uint64_t since = 0;
};

/// The faults and drains of one soak.
struct FaultLog
{
  std::vector<OwnerFault> owners;
  std::vector<CutInterval> cuts;
  std::vector<TargetCrash> crashes;
  std::vector<LeavingTarget> leaving;
};

/// Why an at-most-once request may end as unknown.
enum class UnknownCause
{
  Unexplained,
  OwnerFault,
  OwnerCutOff,
  TargetCrash,
  ConnectionForgotten
};

inline constexpr std::array<NameRow<UnknownCause>, 5> kUnknownCauseNames{ {
  { UnknownCause::Unexplained, "unexplained" },
  { UnknownCause::OwnerFault, "owner_fault" },
  { UnknownCause::OwnerCutOff, "owner_cut_off" },
  { UnknownCause::TargetCrash, "target_crash" },
  { UnknownCause::ConnectionForgotten, "connection_forgotten" },
} };

/// Counts unknown outcomes by their cause, and requires that each is explained
/// by the records, the targets' journals and what the proxies lost.
/// Repeatable requests never have an explanation.
auto AddUnknownCauses(
  const std::map<std::string, std::vector<Record>>& aRecords,
  const FaultLog& aLog, Cluster& aCluster, Report& aReport) -> void;

/// Requires that no leaving target began work later than a few seconds after
/// it said so.
auto AddLateWork(const FaultLog& aLog, Cluster& aCluster, Report& aReport)
  -> void;

/// Requires that no target began a request past its caller's deadline. The
/// load started at aStartedAt, in milliseconds of the wall clock.
auto AddStartedLate(const std::map<std::string, std::vector<Record>>& aRecords,
                    const Deployment& aDeployment, std::uint64_t aStartedAt,
                    Cluster& aCluster, Report& aReport) -> void;

} // namespace bramleylock::measure
