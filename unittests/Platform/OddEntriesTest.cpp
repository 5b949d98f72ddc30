// Odd values in the entries and the configuration that other programs write to
// the store.

#include "platform/StateDecoder.h"
#include "unittests/TestOddInputs.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <sys/resource.h>

using namespace bramleylock;
using namespace bramleylock::forward;
using namespace bramleylock::platform;

/// Memory that decoding one value may take: the smallest machines have 80 MB.
static constexpr long kMaxDecodingKiB = 24576;

static const std::vector<std::pair<std::string, std::string>> kFields{
  { "service", R"("orders")" },
  { "addr", R"("10.1.2.3:8080")" },
  { "zone", R"("here")" },
  { "version", R"("v1")" },
  { "slots", "2" },
  { "state", R"("ready")" },
  { "coldLeftMs", "700" },
  { "seq", "4" },
  { "born", "1778339777027" }
};

/// Returns a valid entry except that aField has aValue.
static auto EntryWith(const std::string& aField, const std::string& aValue)
  -> std::string
{
  std::string entry;
  for (const auto& [field, value] : kFields) {
    entry += fmt::format(R"({}"{}":{})", entry.empty() ? "{" : ",", field,
                         field == aField ? aValue : value);
  }
  return entry + "}";
}

static auto IsAccepted(const std::string& aId, const std::string& aEntry)
  -> bool
{
  TargetRecord record;
  std::string problem;
  const bool accepted = DecodeTarget(aId, aEntry, record, problem);
  cr_assert(accepted == problem.empty());
  cr_assert(problem.size() < 200);
  return accepted;
}

static auto PeakMemoryKiB() -> long
{
  rusage usage{};
  ::getrusage(RUSAGE_SELF, &usage);
  return usage.ru_maxrss;
}

static auto ConfigurationWith(const std::string& aRoute,
                              const std::string& aServices,
                              const std::string& aLimits) -> std::string
{
  return R"({"version":7,"routes":[{"name":"one","host":"198.18.0.1",)"
         R"("prefix":"/443/","type":"safe","service":"a"},)" +
         aRoute + R"(],"services":[)" + aServices + R"(],"limits":)" + aLimits +
         "}";
}

static auto RouteWith(const std::string& aField, const std::string& aValue)
  -> std::string
{
  std::string route = R"({"name":"two")";
  const std::vector<std::pair<std::string, std::string>> fields{
    { "host", R"("198.18.0.2")" },
    { "prefix", R"("/443/")" },
    { "type", R"("safe")" },
    { "backends", R"([{"service":"a","weight":1}])" },
    { "prio", "1" },
    { "timeoutMs", "2000" }
  };
  for (const auto& [field, value] : fields) {
    route +=
      fmt::format(R"(,"{}":{})", field, field == aField ? aValue : value);
  }
  return route + "}";
}

/// Decodes aText and returns the number of usable routes, or nullopt if the
/// configuration is rejected.
static auto RoutesIn(const std::string& aText) -> std::optional<std::size_t>
{
  RouteSet routes;
  std::vector<std::string> problems;
  const bool usable = DecodeConfiguration(aText, routes, problems);
  cr_assert(problems.size() <= 32, "%zu problems", problems.size());
  for (const auto& problem : problems) {
    cr_assert(problem.size() < 1000, "%zu bytes", problem.size());
  }
  return usable ? std::optional(routes.routes.size()) : std::nullopt;
}

Test(OddEntries, EntryThatIsNoEntryIsRejected, .timeout = 20)
{
  for (const auto& text : OddTexts()) {
    cr_assert(!IsAccepted("i-1", text), "%.40s", text.c_str());
  }
}

Test(OddEntries, OddNumberIsRejectedInEachField, .timeout = 20)
{
  cr_assert(IsAccepted("i-1", EntryWith("", "")));
  for (const auto* field : { "slots", "coldLeftMs", "seq", "born" }) {
    for (const auto& number : OddNumbers()) {
      cr_assert(!IsAccepted("i-1", EntryWith(field, number)), "%s %.40s", field,
                number.c_str());
    }
  }
  cr_assert(!IsAccepted("i-1", EntryWith("slots", "4294967296")));
  cr_assert(!IsAccepted("i-1", EntryWith("coldLeftMs", "4294967296")));
}

/// Such a host received all flows, or no later start of it was accepted and
/// another host at its address was taken for dead.
Test(OddEntries, NumberThatNoHostHasIsRejected)
{
  for (const auto* slots : { "65537", "1000000000", "4294967295" }) {
    cr_assert(!IsAccepted("i-1", EntryWith("slots", slots)), "%s", slots);
  }
  for (const auto* born :
       { "281474976710656", "1778339777027000000", "18446744073709551615" }) {
    cr_assert(!IsAccepted("i-1", EntryWith("born", born)), "%s", born);
  }
  cr_assert(IsAccepted("i-1", EntryWith("slots", "65536")));
  cr_assert(IsAccepted("i-1", EntryWith("born", "281474976710655")));
}

/// All later configurations were refused as older.
Test(OddEntries, VersionWithoutSuccessorIsRejected)
{
  auto text = ConfigurationWith(RouteWith("", ""), "", "{}");
  text.replace(text.find('7'), 1, "18446744073709551615");
  cr_assert(!RoutesIn(text));
}

Test(OddEntries, PortOutOfRangeIsRejected)
{
  for (const auto* address :
       { "10.1.2.3:0", "10.1.2.3:65536", "10.1.2.3:99999", "10.1.2.3:-1",
         "10.1.2.3:+80", "10.1.2.3: 80", "10.1.2.3:80 ",
         "10.1.2.3:", "10.1.2.3:18446744073709551696", "10.1.2.3", ":80",
         "10.1.2.3:0x50", "10.1.2.3:8e1", "256.1.2.3:80", "[::1]:80", "::1:80",
         "10.1.2.3:80\\u0000" }) {
    cr_assert(
      !IsAccepted("i-1", EntryWith("addr", fmt::format(R"("{}")", address))),
      "%s", address);
  }
}

/// Every deeply nested value took 64 MB and more before.
Test(OddEntries, EntryOfTheLargestSizeTakesLittleMemory, .timeout = 20)
{
  const auto texts = OddTexts();
  const auto before = PeakMemoryKiB();
  for (const auto& text : texts) {
    IsAccepted("i-1", text);
    IsAccepted("i-1", EntryWith("zone", text));
  }
  const auto used = PeakMemoryKiB() - before;
  cr_assert(used < kMaxDecodingKiB, "%ld KiB", used);
}

/// Formatting the route for the log overflowed the stack before.
Test(OddEntries, DeeplyNestedRouteDoesNotEndTheProcess, .timeout = 20)
{
  for (const auto& nested : { NestedArray(500000), NestedObject(150000) }) {
    RoutesIn(ConfigurationWith(nested, "", R"({"idleTimeoutMs":1})"));
    RoutesIn(ConfigurationWith(RouteWith("backends", nested), "", "{}"));
    RoutesIn(ConfigurationWith(RouteWith("", ""), nested, "{}"));
    RoutesIn(ConfigurationWith(RouteWith("", ""), "", nested));
  }
}

Test(OddEntries, ConfigurationThatIsNoneIsRejected, .timeout = 20)
{
  for (const auto& text : OddTexts()) {
    cr_assert(!RoutesIn(text), "%.40s", text.c_str());
  }
}

Test(OddEntries, OddPortSkipsOnlyItsRoute)
{
  for (const auto* prefix :
       { "/0/", "/65536/", "/99999/", "/-1/", "//", "/", "", "/443", "443/",
         "/18446744073709551696/", "/4 3/", "/443/443/" }) {
    const auto route = RouteWith("prefix", fmt::format(R"("{}")", prefix));
    cr_assert(RoutesIn(ConfigurationWith(route, "", "{}")) == 1U, "%s", prefix);
  }
}

Test(OddEntries, OddWeightSkipsOnlyItsRoute)
{
  for (const auto* weight : { "-1", "1.5", "4294967296", "18446744073709551616",
                              "null", R"("1")" }) {
    const auto backends =
      fmt::format(R"([{{"service":"a","weight":{}}}])", weight);
    const auto route = RouteWith("backends", backends);
    cr_assert(RoutesIn(ConfigurationWith(route, "", "{}")) == 1U, "%s", weight);
  }
}

/// Neither field is needed to forward packets.
Test(OddEntries, OddUrgencyOrTimeoutKeepsTheRoute)
{
  for (const auto* number : { "-1", "1.5", "18446744073709551616", "null" }) {
    for (const auto* field : { "prio", "timeoutMs" }) {
      const auto route = RouteWith(field, number);
      cr_assert(RoutesIn(ConfigurationWith(route, "", "{}")) == 2U);
    }
  }
}

Test(OddEntries, SumOfTheLargestWeightsDoesNotOverflow)
{
  std::string backends;
  for (int i = 0; i < 5000; ++i) {
    backends += backends.empty() ? "[" : ",";
    backends += fmt::format(R"({{"service":"s{}","weight":4294967295}})", i);
  }
  RouteSet routes;
  std::vector<std::string> problems;
  cr_assert(DecodeConfiguration(
    ConfigurationWith(RouteWith("backends", backends + "]"), "", "{}"), routes,
    problems));
  cr_assert(routes.routes.size() == 2);
  RouteTable table;
  table.Install(routes, Clock::time_point(std::chrono::hours(1)));
  std::size_t last = 0;
  for (std::uint16_t port = 1; port < 1000; ++port) {
    const FlowId flow{ { 7, port }, routes.routes[1].EndpointAddress() };
    last += table.ServiceFor(routes.routes[1], flow) == "s4999" ? 1 : 0;
  }
  cr_assert(last < 20, "the share of one of 5000 services");
}

/// 300000 malformed rows yielded as many log records before.
Test(OddEntries, ManyMalformedRowsYieldFewProblems, .timeout = 20)
{
  const auto rows = Nested("{},") + "{}";
  const auto before = PeakMemoryKiB();
  cr_assert(RoutesIn(ConfigurationWith(rows, "", "{}")) == 1U);
  cr_assert(RoutesIn(ConfigurationWith(RouteWith("", ""), rows, "{}")) == 2U);
  const auto used = PeakMemoryKiB() - before;
  cr_assert(used < 2 * kMaxDecodingKiB, "%ld KiB", used);
}
