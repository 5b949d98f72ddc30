// Tests of decoding valid and malformed configurations and host entries.

#include "platform/StateDecoder.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

using namespace bramleylock;
using namespace bramleylock::forward;
using namespace bramleylock::platform;
using nlohmann::json;

static auto MakeEntry() -> json
{
  return { { "service", "orders" },  { "addr", "10.1.2.3:8080" },
           { "zone", "here" },       { "version", "v1" },
           { "slots", 2 },           { "state", "ready" },
           { "coldLeftMs", 700 },    { "seq", 4 },
           { "born", 1778339777027 } };
}

static auto IsValidEntry(const json& aEntry) -> bool
{
  TargetRecord record;
  std::string problem;
  const bool valid = DecodeTarget("i-1", aEntry.dump(), record, problem);
  cr_assert(valid == problem.empty());
  return valid;
}

Test(StateDecoder, DecodesHostEntry)
{
  TargetRecord record;
  std::string problem;
  cr_assert(DecodeTarget("i-1", MakeEntry().dump(), record, problem));
  cr_assert(record.id == "i-1" && record.service == "orders");
  cr_assert(FormatAddress(record.EndpointAddress()) == "10.1.2.3:8080");
  cr_assert(record.incarnation == 1778339777027 && record.warmUpMs == 700);
  cr_assert(record.State() == TargetState::Ready);
}

Test(StateDecoder, EntryWithInvalidFieldIsRejected)
{
  const auto validEntry = MakeEntry();
  for (const auto& [field, value] : validEntry.items()) {
    auto entry = MakeEntry();
    entry.erase(field);
    cr_assert(!IsValidEntry(entry), "without %s", field.c_str());
    entry[field] = json::array();
    cr_assert(!IsValidEntry(entry), "%s of another type", field.c_str());
  }
  auto entry = MakeEntry();
  entry["state"] = "resting";
  cr_assert(!IsValidEntry(entry));
  entry = MakeEntry();
  entry["addr"] = "10.1.2.3";
  cr_assert(!IsValidEntry(entry));
  entry = MakeEntry();
  entry["slots"] = 0;
  cr_assert(!IsValidEntry(entry));
  entry = MakeEntry();
  entry["slots"] = -1;
  cr_assert(!IsValidEntry(entry));
  entry = MakeEntry();
  entry["born"] = 1.5;
  cr_assert(!IsValidEntry(entry));
  TargetRecord record;
  std::string problem;
  cr_assert(!DecodeTarget("i-1", "\xff\xfe{", record, problem));
  cr_assert(!DecodeTarget("i-1", "[]", record, problem));
}

static auto MakeConfiguration() -> json
{
  return {
    { "version", 7 },
    { "routes",
      { { { "name", "one" },
          { "host", "198.18.0.1" },
          { "prefix", "/8443/" },
          { "type", "safe" },
          { "timeoutMs", 1500 },
          { "latencyGoalMs", 150 },
          { "prio", 2 },
          { "backends",
            { { { "service", "a" }, { "weight", 90 } },
              { { "service", "b" }, { "weight", 10 } } } },
          { "attempts", 2 } },
        { { "name", "two" },
          { "host", "198.18.0.2" },
          { "prefix", "/443/" },
          { "type", "unsafe" },
          { "timeoutMs", 2000 },
          { "prio", 1 },
          { "service", "a" } } } },
    { "services",
      { { { "name", "a" }, { "healthPath", "/up" }, { "maxFlows", 2000 } } } },
    { "limits", { { "idleTimeoutMs", 15000 } } }
  };
}

Test(StateDecoder, DecodesConfiguration)
{
  RouteSet routes;
  std::vector<std::string> problems;
  cr_assert(DecodeConfiguration(MakeConfiguration().dump(), routes, problems));
  cr_assert(problems.empty());
  cr_assert(routes.version == 7 && routes.idleTimeoutMs == 15000);
  cr_assert(routes.routes.size() == 2);
  cr_assert(FormatAddress(routes.routes[0].EndpointAddress()) ==
            "198.18.0.1:8443");
  cr_assert(routes.routes[0].shares.size() == 2);
  cr_assert(routes.routes[0].Kind() == RequestKind::Idempotent);
  cr_assert(routes.routes[1].Kind() == RequestKind::AtMostOnce);
  cr_assert(routes.routes[1].urgency == 1);
  cr_assert(routes.services.size() == 1);
  cr_assert(routes.services[0].healthPath == "/up");
}

Test(StateDecoder, MalformedRouteIsSkippedAndReported)
{
  auto configuration = MakeConfiguration();
  configuration["routes"][0]["prefix"] = "8443";
  RouteSet routes;
  std::vector<std::string> problems;
  cr_assert(DecodeConfiguration(configuration.dump(), routes, problems));
  cr_assert(routes.routes.size() == 1);
  cr_assert(problems.size() == 1);
}

Test(StateDecoder, UnknownRequestKindIsAtMostOnce)
{
  auto configuration = MakeConfiguration();
  configuration["routes"][0]["type"] = "other";
  RouteSet routes;
  std::vector<std::string> problems;
  DecodeConfiguration(configuration.dump(), routes, problems);
  cr_assert(routes.routes[0].Kind() == RequestKind::AtMostOnce);
}

Test(StateDecoder, ConfigurationWithoutVersionIsRejected)
{
  auto configuration = MakeConfiguration();
  configuration.erase("version");
  RouteSet routes;
  std::vector<std::string> problems;
  cr_assert(!DecodeConfiguration(configuration.dump(), routes, problems));
  cr_assert(!DecodeConfiguration("nonsense", routes, problems));
}
