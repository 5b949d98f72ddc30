// The state of the forwarding path as JSON.

#include "bramleylock/Kernel/ForwardingView.h"

#include "bramleylock/Forward/SilenceWatch.h"
#include "bramleylock/Kernel/AdminApi.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace bramleylock::kernel {

using forward::DirectoryEntry;
using nlohmann::json;

/// Rows of one answer: some 300 KB, which a small VM makes in milliseconds.
static constexpr std::size_t kMostTargets = 1000;

/// Milliseconds from aSince to aNow; null for what has not happened.
static auto AgeMs(Clock::time_point aSince, Clock::time_point aNow) -> json
{
  if (aSince == Clock::time_point{}) {
    return nullptr;
  }
  return std::chrono::duration_cast<Milliseconds>(aNow - aSince).count();
}

static auto MembersOf(const ForwardingSources& aSources) -> json
{
  json members = json::array();
  if (aSources.members == nullptr) {
    return members;
  }
  for (const auto& member : aSources.members->All()) {
    members.push_back(
      { { "vm", member.vm },
        { "failure_domain", member.failureDomain },
        { "address", member.address },
        { "state", NameOf(peer::kMemberStateNames, member.state) },
        { "draining", member.latest.draining } });
  }
  return members;
}

static auto StatusOf(const ForwardingSources& aSources, Clock::time_point aNow)
  -> json
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
               { "state_revision", aSources.state.Revision() },
               { "state_age_ms", AgeMs(aSources.state.ReadAt(), aNow) },
               { "balancers_recorded", aSources.state.RecordedBalancers() },
               { "targets_known", aSources.targets.Size() },
               { "flows_tracked", aSources.forwarder.Flows().Size() },
               { "flows_waiting", aSources.forwarder.Waiting() },
               { "members", MembersOf(aSources) } };
  if (aSources.reader != nullptr) {
    const auto rank = aSources.reader->Rank();
    status["reader_rank"] = rank;
    status["reads_after_ms"] = forward::ReadAfter(rank).count();
    status["balancers"] = aSources.reader->Balancers(aNow);
  }
  return status;
}

static auto RowOf(const DirectoryEntry& aEntry, Clock::time_point aNow) -> json
{
  const auto& record = aEntry.record;
  const auto& evidence = aEntry.evidence;
  return { { "id", record.id },
           { "incarnation", record.incarnation },
           { "tag", fmt::format("{:08x}", aEntry.tag) },
           { "service", record.service },
           { "address", FormatAddress(record.At()) },
           { "failure_domain", record.failureDomain },
           { "state", NameOf(forward::kTargetStateNames, record.State()) },
           { "takes_flows", aEntry.TakesFlows(aNow) },
           { "slots", record.slots },
           { "in_flight", evidence.inFlight },
           { "idle", evidence.idle },
           { "idle_load", evidence.idleLoad },
           { "open", evidence.open },
           { "silent", forward::IsSilent(evidence, aNow) },
           { "cold", aEntry.warmAt > aNow },
           { "revision", record.revision },
           { "heard_ms", AgeMs(aEntry.heardAt, aNow) },
           { "answered_ms", AgeMs(evidence.answeredAt, aNow) },
           { "departed_ms", AgeMs(aEntry.departedAt, aNow) } };
}

static auto TargetsOf(const http::Request& aRequest,
                      const ForwardingSources& aSources, Clock::time_point aNow)
  -> json
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
    if (rows.size() == kMostTargets) {
      break;
    }
    rows.push_back(RowOf(*entry, aNow));
  }
  return rows;
}

auto AnswerForwardingView(const http::Request& aRequest,
                          const ForwardingSources& aSources,
                          Clock::time_point aNow) -> http::Reply
{
  const auto path = http::PathOf(aRequest.target);
  if (path == "/status") {
    return ReplyJson(200, StatusOf(aSources, aNow));
  }
  if (path == "/targets") {
    return ReplyJson(200, TargetsOf(aRequest, aSources, aNow));
  }
  if (path == "/counters") {
    return ReplyJson(200, aSources.metrics.NonZero());
  }
  return ReplyError(404, "path", "there is no " + path);
}

} // namespace bramleylock::kernel
