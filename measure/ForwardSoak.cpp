// Scenario "forward-soak": concurrent faults of every kind on the forwarding
// path under traffic. The guarantees are checked during the faults, and the
// platform's time limits after the last fault.

#include "measure/ForwardFaults.h"
#include "measure/Scenario.h"

#include <fmt/format.h>

#include <thread>

namespace bramleylock::measure {

static constexpr double kLoadSeconds = 120;
static constexpr double kRequestsPerSecond = 150;

/// Flows per second that clients keep for several requests.
static constexpr double kKeptFlowsPerSecond = 10;

/// Time after the last fault within which all balancers are in rotation and
/// serve.
static constexpr Milliseconds kRecoveryLimit{ 12000 };

/// Length of the fault-free period in which no request may fail.
static constexpr Milliseconds kFaultFreePeriod{ 3000 };

/// Time within which a change of the routes, of a host's state or of the
/// evacuated failure domains takes effect.
static constexpr Milliseconds kChangeInForceLimit{ 3000 };

/// Time within which requests in flight end.
static constexpr Milliseconds kInFlightLimit{ 1000 };
static constexpr Milliseconds kPollInterval{ 100 };

namespace {

class ForwardSoak : public Scenario
{
public:
  auto Summary() const -> std::string override
  {
    return "forwarding: concurrent kills, pauses, cuts, outages, host losses, "
           "evacuations and changes";
  }

  auto Run(const ScenarioOptions& aOptions, Report& aReport) -> void override
  {
    const double seconds =
      aOptions.seconds > 0 ? aOptions.seconds : kLoadSeconds;
    ForwardFleet fleet(aOptions.seed, aOptions.nodes);
    fleet.Start();
    ForwardFaults faults(fleet, aOptions.seed);
    faults.StartHosts();
    const auto checksTime = kRecoveryLimit + kFaultFreePeriod +
                            6 * (kChangeInForceLimit + kInFlightLimit);
    fleet.ControlPlatform(
      "traffic", { { "milliseconds", seconds * 1000 + checksTime.count() },
                   { "per_second", kRequestsPerSecond },
                   { "kept_per_second", kKeptFlowsPerSecond } });
    faults.Run(seconds);
    CheckRecovery(fleet, aReport);
    CheckRouteInForce(fleet, aReport);
    CheckDrainInForce(fleet, faults, aReport);
    CheckEvacuationInForce(fleet, aReport);
    faults.CheckInvariants();
    AddFigures(fleet, faults, aReport);
    if (!aReport.AllHold()) {
      fleet.KeepLogs();
    }
  }

private:
  static auto Figure(ForwardFleet& aFleet, const char* aName) -> std::uint64_t
  {
    return aFleet.ControlPlatform("report").value(aName, std::uint64_t{ 0 });
  }

  static auto CheckRecovery(ForwardFleet& aFleet, Report& aReport) -> void
  {
    const auto began = Clock::now();
    auto took = Clock::duration::zero();
    while (took < kRecoveryLimit &&
           Figure(aFleet, "in_rotation") < aFleet.Vms().size()) {
      std::this_thread::sleep_for(kPollInterval);
      took = Clock::now() - began;
    }
    // Requests that were sent before may still fail at their last retry.
    std::this_thread::sleep_for(kRecoveryLimit - took);
    const auto failed = Figure(aFleet, "failed");
    const auto misdirected = Figure(aFleet, "misdirected");
    const auto answered = Figure(aFleet, "answered");
    std::this_thread::sleep_for(kFaultFreePeriod);
    const auto failedLater = Figure(aFleet, "failed") - failed;
    aReport.Add("in_rotation_s", InSeconds(took));
    aReport.Add("failed_in_calm", failedLater);
    aReport.Require("in_rotation_s<12", took < kRecoveryLimit);
    aReport.Require("failed_in_calm=0", failedLater == 0);
    aReport.Require("misdirected_in_calm=0",
                    Figure(aFleet, "misdirected") == misdirected);
    aReport.Require("served in calm", Figure(aFleet, "answered") > answered);
  }

  /// Requires that a removed route serves nothing once the removal is in force
  /// and requests in flight have ended, and that it serves again when restored.
  static auto CheckRouteInForce(ForwardFleet& aFleet, Report& aReport) -> void
  {
    aFleet.ControlPlatform("configuration", { { "orders_route", false } });
    std::this_thread::sleep_for(kChangeInForceLimit + kInFlightLimit);
    const auto runs = Figure(aFleet, "order_runs");
    std::this_thread::sleep_for(kInFlightLimit);
    const auto runsAfterRemoval = Figure(aFleet, "order_runs") - runs;
    aFleet.ControlPlatform("configuration", { { "orders_route", true } });
    std::this_thread::sleep_for(kChangeInForceLimit + kInFlightLimit);
    const auto runsAfterRestore =
      Figure(aFleet, "order_runs") - runs - runsAfterRemoval;
    aReport.Add("runs_on_dropped_route", runsAfterRemoval);
    aReport.Require("runs_on_dropped_route=0", runsAfterRemoval == 0);
    aReport.Require("a route that is back serves", runsAfterRestore > 0);
  }

  static auto CheckDrainInForce(ForwardFleet& aFleet, ForwardFaults& aFaults,
                                Report& aReport) -> void
  {
    const auto before = Figure(aFleet, "opened_late");
    aFleet.ControlPlatform("host-fault", { { "id", aFaults.PickOrderHost() },
                                           { "fault", "drain" } });
    std::this_thread::sleep_for(kChangeInForceLimit + kInFlightLimit);
    const auto late = Figure(aFleet, "opened_late") - before;
    aReport.Add("opened_late_in_calm", late);
    aReport.Require("opened_late_in_calm=0", late == 0);
  }

  /// Requires that an evacuated failure domain gets no new flow once the
  /// evacuation is in force, gets some again after its end, and that no request
  /// fails meanwhile.
  static auto CheckEvacuationInForce(ForwardFleet& aFleet, Report& aReport)
    -> void
  {
    const auto domain = aFleet.FailureDomains().front();
    const auto flowsField = "flows_in_" + domain;
    const auto before = Figure(aFleet, "opened_evacuated");
    const auto failed = Figure(aFleet, "failed");
    aFleet.ControlPlatform("evacuate",
                           { { "failure_domain", domain },
                             { "grace_ms", kChangeInForceLimit.count() } });
    std::this_thread::sleep_for(kChangeInForceLimit + kInFlightLimit);
    const auto opened = Figure(aFleet, "opened_evacuated") - before;
    const auto flows = Figure(aFleet, flowsField.c_str());
    aFleet.ControlPlatform(
      "evacuate", { { "failure_domain", domain }, { "evacuated", false } });
    std::this_thread::sleep_for(kChangeInForceLimit + kInFlightLimit);
    const auto failedLater = Figure(aFleet, "failed") - failed;
    aReport.Add("opened_evacuated_in_calm", opened);
    aReport.Add("failed_by_evacuation", failedLater);
    aReport.Require("failed_by_evacuation=0", failedLater == 0);
    aReport.Require("opened_evacuated_in_calm=0", opened == 0);
    aReport.Require("a domain that is back serves",
                    Figure(aFleet, flowsField.c_str()) > flows);
  }

  static auto AddFigures(ForwardFleet& aFleet, const ForwardFaults& aFaults,
                         Report& aReport) -> void
  {
    for (const auto& [name, count] : aFaults.Counts()) {
      aReport.Add("events_" + name, count);
    }
    const auto report = aFleet.ControlPlatform("report");
    for (const auto* name :
         { "asked", "answered", "failed", "refused", "cut", "cut_by_balancer",
           "cut_by_other_host", "kept_answered", "kept_unanswered",
           "misdirected", "opened_late", "opened_evacuated", "store_calls" }) {
      aReport.Add(name, report.value(name, std::uint64_t{ 0 }));
    }
    aReport.Add("p99_ms", report.value("p99_ms", 0.0));
    aReport.Require("answered>0", report.value("answered", 0U) > 0);
    aReport.Require("kept_answered>0", report.value("kept_answered", 0U) > 0);
    for (const auto& broken : aFaults.Violations()) {
      aReport.Require(broken, false);
    }
  }
};

const Registration<ScenarioRegistry, ForwardSoak> kRegistration("forward-soak");

} // namespace

} // namespace bramleylock::measure
