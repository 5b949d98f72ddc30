// Records the faults of a soak test and matches unknown outcomes of requests to
// them.
#pragma once

#include <array>
#include <map>
#include <string>
#include <vector>

#include "bramleylock/Support/Names.h"
#include "measure/OwnerFaults.h"

namespace bramleylock::measure {

/// An interval, in seconds of the load, during which a failure domain was
/// isolated from the others.
struct CutInterval
{
  std::string domain;
  double from = 0;
  double until = 0;
};

/// A target that was killed at some time in an interval of the load, in
/// seconds.
struct TargetCrash
{
  std::string target;
  double from = 0;
  double until = 0;
};

/// A target that announced its departure, with the time in milliseconds of the
/// wall clock.
struct LeavingTarget
{
  std::string target;
  std::uint64_t since = 0;
};

/// The faults and drains of one soak test.
struct FaultLog
{
  std::vector<OwnerFault> owners;
  std::vector<CutInterval> cuts;
  std::vector<TargetCrash> crashes;
  std::vector<LeavingTarget> leaving;
};

/// Why the outcome of an at-most-once request is unknown.
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

/// Counts unknown outcomes by cause. Requires that the records, the targets'
/// journals and the losses of the proxies explain each of them. An unknown
/// outcome of a repeatable request always counts as unexplained.
auto AddUnknownCauses(
  const std::map<std::string, std::vector<Record>>& aRecords,
  const FaultLog& aLog, Cluster& aCluster, Report& aReport) -> void;

/// Requires that no target started a request later than a few seconds after it
/// announced its departure.
auto AddStartsWhileLeaving(const FaultLog& aLog, Cluster& aCluster,
                           Report& aReport) -> void;

/// Requires that no target started a request after the deadline of its caller.
/// The load started at aStartedAt, in milliseconds of the wall clock.
auto AddStartsPastDeadline(
  const std::map<std::string, std::vector<Record>>& aRecords,
  const Deployment& aDeployment, std::uint64_t aStartedAt, Cluster& aCluster,
  Report& aReport) -> void;

} // namespace bramleylock::measure
