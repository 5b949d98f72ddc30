// Formats the state of the forwarding path as JSON.

#include "bramleylock/Kernel/ForwardingStatus.h"

#include "bramleylock/Forward/SilentTargetProber.h"
#include "bramleylock/Kernel/AdminApi.h"
#include "bramleylock/Support/Log.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace bramleylock::kernel {

using forward::DirectoryEntry;
using nlohmann::json;

/// Maximum number of targets in one reply. They take about 300 KB, which a
/// small VM formats within milliseconds.
static constexpr std::size_t kMaxTargetRows = 1000;

/// Milliseconds from aSince to aNow; null if aSince is the epoch, which stands
/// for an event that has not happened.
static auto AgeMs(Clock::time_point aSince, Clock::time_point aNow) -> json
{
  if (aSince == Clock::time_point{}) {
    return nullptr;
  }
  return std::chrono::duration_cast<Milliseconds>(aNow - aSince).count();
}

static auto FormatMembers(const ForwardingStatusSources& aSources) -> json
{
  json members = json::array();
  if (aSources.members == nullptr) {
    return members;
  }
  for (const auto& member : aSources.members->AllMembers()) {
    members.push_back(
      { { "vm", member.vm },
        { "failure_domain", member.failureDomain },
        { "address", member.address },
        { "state", NameOf(peer::kMemberStateNames, member.state) },
        { "draining", member.latestHeartbeat.draining } });
  }
  return members;
}

static auto FormatEvacuations(const ForwardingStatusSources& aSources,
                              Clock::time_point aNow) -> json
{
  json rows = json::array();
  for (const auto& row : aSources.targets.Evacuations().InForce(aNow)) {
    rows.push_back(
      { { "failure_domain", row.failureDomain },
        { "since_ms", AgeMs(row.since, aNow) },
        { "open_flows", aSources.targets.OpenFlowsIn(row.failureDomain) } });
  }
  return rows;
}

static auto FormatStatus(const ForwardingStatusSources& aSources,
                         Clock::time_point aNow) -> json
{
  const auto& routes = aSources.routes.Current();
  json status{ { "vm", aSources.vm },
               { "failure_domain", aSources.failureDomain },
               { "data_path", "forward" },
               { "ready", aSources.ready },
               { "draining", aSources.draining },
               { "routes_version", routes.version },
               { "routes", routes.routes.size() },
               { "routes_in_force_ms",
                 AgeMs(aSources.routes.InForceSince(), aNow) },
               { "state_revision", aSources.state.Revision().number },
               { "state_generation", aSources.state.Revision().generation },
               { "state_age_ms", AgeMs(aSources.state.ReadAt(), aNow) },
               { "balancers_recorded", aSources.state.RecordedBalancerCount() },
               { "targets_known", aSources.targets.Size() },
               { "flows_tracked", aSources.forwarder.Flows().Size() },
               { "flows_waiting", aSources.forwarder.PendingFlowCount() },
               { "evacuations", FormatEvacuations(aSources, aNow) },
               { "members", FormatMembers(aSources) } };
  if (aSources.reader != nullptr) {
    const auto rank = aSources.reader->Rank();
    status["reader_rank"] = rank;
    status["reads_after_ms"] =
      forward::ReadDelay(rank, aSources.reader->Intervals()).count();
    status["balancers"] = aSources.reader->BalancerCount(aNow);
  }
  return status;
}

static auto FormatTarget(const DirectoryEntry& aEntry, Clock::time_point aNow)
  -> json
{
  const auto& record = aEntry.record;
  const auto& stats = aEntry.stats;
  return { { "id", record.id },
           { "incarnation", record.incarnation },
           { "tag", fmt::format("{:08x}", aEntry.tag) },
           { "service", record.service },
           { "address", FormatAddress(record.EndpointAddress()) },
           { "failure_domain", record.failureDomain },
           { "state", NameOf(forward::kTargetStateNames, record.State()) },
           { "takes_flows", aEntry.AcceptsNewFlows(aNow) },
           { "slots", record.slots },
           { "in_flight", stats.inFlight },
           { "idle", stats.idleFlows },
           { "idle_load", stats.idleLoad },
           { "open", stats.openFlows },
           { "silent", forward::IsSilent(stats, aNow) },
           { "cold", aEntry.warmUpEndsAt > aNow },
           { "restart_suspected", aEntry.suspectedWarmUpEndsAt > aNow },
           { "revision", record.revision.number },
           { "generation", record.revision.generation },
           { "heard_ms", AgeMs(aEntry.lastUpdateAt, aNow) },
           { "answered_ms", AgeMs(stats.lastResponseAt, aNow) },
           { "departed_ms", AgeMs(aEntry.departedAt, aNow) } };
}

static auto FormatTargets(const http::Request& aRequest,
                          const ForwardingStatusSources& aSources,
                          Clock::time_point aNow) -> json
{
  const auto id = http::QueryParameter(aRequest.target, "id");
  const auto service = http::QueryParameter(aRequest.target, "service");
  json rows = json::array();
  for (const auto* entry : aSources.targets.All()) {
    const auto& record = entry->record;
    if ((!id.empty() && record.id != id) ||
        (!service.empty() && record.service != service)) {
      continue;
    }
    if (rows.size() == kMaxTargetRows) {
      break;
    }
    rows.push_back(FormatTarget(*entry, aNow));
  }
  return rows;
}

auto UpdateForwardingGauges(const ForwardingStatusSources& aSources,
                            Metrics& aMetrics, Clock::time_point aNow) -> void
{
  const auto set = [&aMetrics](const char* aName, auto aValue) {
    aMetrics.SetGauge(aName, static_cast<double>(aValue));
  };
  set("flows_tracked", aSources.forwarder.Flows().Size());
  set("flows_waiting", aSources.forwarder.PendingFlowCount());
  set("targets_known", aSources.targets.Size());
  set("state_age_seconds", InSeconds(aNow - aSources.state.ReadAt()));
  set("routes_age_seconds", InSeconds(aNow - aSources.routes.InForceSince()));
  const auto evacuations = aSources.targets.Evacuations().InForce(aNow);
  std::size_t evacuatedFlows = 0;
  for (const auto& evacuation : evacuations) {
    evacuatedFlows += aSources.targets.OpenFlowsIn(evacuation.failureDomain);
  }
  set("evacuated_domains", evacuations.size());
  set("evacuated_flows_open", evacuatedFlows);
  set("log_records_dropped", LogRecordsDropped());
}

auto AnswerForwardingStatus(const http::Request& aRequest,
                            const ForwardingStatusSources& aSources,
                            Clock::time_point aNow) -> http::Reply
{
  const auto path = http::PathOf(aRequest.target);
  if (path == "/status") {
    return ReplyJson(200, FormatStatus(aSources, aNow));
  }
  if (path == "/targets") {
    return ReplyJson(200, FormatTargets(aRequest, aSources, aNow));
  }
  if (path == "/counters") {
    return ReplyJson(200, aSources.metrics.NonZeroCounters());
  }
  return ReplyError(404, "path", "there is no " + path);
}

} // namespace bramleylock::kernel
