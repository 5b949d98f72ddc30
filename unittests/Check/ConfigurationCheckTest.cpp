// Tests of the checks of a configuration and of its comparison with the version
// in force.

#include "bramleylock/Check/ConfigurationCheck.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

using namespace bramleylock;
using namespace bramleylock::check;
using forward::Route;
using forward::RouteShare;
using forward::ServiceInfo;

static constexpr std::uint64_t kLongestFlowMs = 60000;

static auto MakeRoute(const std::string& aName, std::uint32_t aIp,
                      std::vector<RouteShare> aShares) -> Route
{
  Route route;
  route.name = aName;
  route.ip = aIp;
  route.port = 443;
  route.shares = std::move(aShares);
  route.timeoutMs = 2000;
  route.responseGoalMs = 200;
  return route;
}

/// Returns a configuration without findings. Each entry has a line of its own.
static auto MakeConfiguration() -> Configuration
{
  Configuration configuration;
  configuration.routeSet.version = 7;
  configuration.routeSet.idleTimeoutMs = 15000;
  configuration.routeSet.routes = {
    MakeRoute("orders", 1, { { "orders", 1 } }),
    MakeRoute("proofs", 2, { { "proofs", 3 }, { "drafts", 1 } })
  };
  for (const auto* name : { "orders", "proofs", "drafts" }) {
    ServiceInfo service;
    service.name = name;
    service.healthPath = "/health";
    configuration.routeSet.services.push_back(service);
  }
  return configuration;
}

/// Gives the entries of aConfiguration lines: 1 the version, 2 the routes, 3
/// the idle timeout, 100, 200... the routes, 1001, 1002... the services.
static auto Locate(Configuration aConfiguration) -> Configuration
{
  aConfiguration.version = { 1, "version" };
  aConfiguration.routes = { 2, "routes" };
  aConfiguration.idleTimeout = Position{ 3, "idle" };
  std::size_t line = 0;
  for (const auto& route : aConfiguration.routeSet.routes) {
    line += 100;
    RoutePositions positions{ { line, "route" },
                              { line + 1, "address" },
                              { line + 2, "timeout" },
                              { line + 3, "goal" },
                              {} };
    for (std::size_t share = 0; share < route.shares.size(); ++share) {
      positions.shares.push_back(
        { { line + 10 + share, "service" }, { line + 20 + share, "weight" } });
    }
    aConfiguration.routePositions.push_back(positions);
  }
  line = 1000;
  for (std::size_t i = 0; i < aConfiguration.routeSet.services.size(); ++i) {
    ++line;
    aConfiguration.servicePositions.push_back(
      { { line, "service" }, { line, "warm-up" } });
  }
  return aConfiguration;
}

static auto FindingsOf(const Configuration& aConfiguration)
  -> std::vector<Finding>
{
  std::vector<Finding> findings;
  CheckConfiguration(Locate(aConfiguration), kLongestFlowMs, findings);
  return findings;
}

static auto DifferencesOf(const Configuration& aConfiguration,
                          const Configuration& aInForce) -> std::vector<Finding>
{
  std::vector<Finding> findings;
  CompareWithInForce(Locate(aConfiguration), aInForce.routeSet, findings);
  return findings;
}

/// Expects one finding, at aLine, whose message contains aText.
static auto ExpectOnly(const std::vector<Finding>& aFindings,
                       Severity aSeverity, std::size_t aLine,
                       const std::string& aText) -> void
{
  cr_assert(aFindings.size() == 1, "%s", FormatAsText(aFindings).c_str());
  const auto& finding = aFindings.front();
  cr_assert(finding.severity == aSeverity && finding.position.line == aLine &&
              finding.message.find(aText) != std::string::npos,
            "%s", FormatAsText(aFindings).c_str());
}

/// Guards against false alarms, which would stop a correct configuration.
Test(ConfigurationCheck, ConsistentConfigurationHasNoFindings)
{
  cr_assert(FindingsOf(MakeConfiguration()).empty());
}

/// Guards against a report of the route that is in use: RouteTable installs the
/// last one.
Test(ConfigurationCheck, EarlierRouteWithSameAddressIsNeverUsed)
{
  auto configuration = MakeConfiguration();
  configuration.routeSet.routes.push_back(
    MakeRoute("newer", 1, { { "orders", 1 } }));
  ExpectOnly(FindingsOf(configuration), Severity::Warning, 101, "line 300");
  forward::RouteTable table;
  table.Install(configuration.routeSet, {});
  cr_assert(table.Find({ 1, 443 })->name == "newer");
}

/// Guards against a report of the service that is in use: RouteTable uses the
/// first one.
Test(ConfigurationCheck, LaterServiceWithSameNameIsNeverUsed)
{
  auto configuration = MakeConfiguration();
  auto service = configuration.routeSet.services.front();
  service.healthPath = "/other";
  configuration.routeSet.services.push_back(service);
  ExpectOnly(FindingsOf(configuration), Severity::Warning, 1004, "line 1001");
  forward::RouteTable table;
  table.Install(configuration.routeSet, {});
  cr_assert(table.HealthPath("orders") == "/health");
}

/// Guards against shares that get no new flow without the operator's knowledge.
Test(ConfigurationCheck, ShareWithWeightZeroIsReported)
{
  auto configuration = MakeConfiguration();
  configuration.routeSet.routes[1].shares[1].weight = 0;
  ExpectOnly(FindingsOf(configuration), Severity::Warning, 221, "weight 0");
  configuration.routeSet.routes[1].shares[0].weight = 0;
  ExpectOnly(FindingsOf(configuration), Severity::Warning, 220, "all weights");
}

/// Guards against misspelt names of services, in either list.
Test(ConfigurationCheck, ServicesOfRoutesAndListedServicesMustMatch)
{
  auto configuration = MakeConfiguration();
  configuration.routeSet.services.pop_back();
  ExpectOnly(FindingsOf(configuration), Severity::Warning, 211, "\"drafts\"");
  configuration = MakeConfiguration();
  configuration.routeSet.routes[1].shares.pop_back();
  ExpectOnly(FindingsOf(configuration), Severity::Warning, 1003, "no route");
}

/// Guards against limits of which one makes the other ineffective, and against
/// reports at the bounds, which are allowed.
Test(ConfigurationCheck, ContradictingLimitsOfRouteAreReported)
{
  auto configuration = MakeConfiguration();
  auto& route = configuration.routeSet.routes[0];
  route.responseGoalMs = route.timeoutMs;
  cr_assert(FindingsOf(configuration).empty());
  route.responseGoalMs = route.timeoutMs + 1;
  ExpectOnly(FindingsOf(configuration), Severity::Warning, 103, "2001 ms");
  route.timeoutMs = 0;
  cr_assert(FindingsOf(configuration).empty(), "no timeout is stated");
  route.timeoutMs = kLongestFlowMs;
  cr_assert(FindingsOf(configuration).empty());
  route.timeoutMs = kLongestFlowMs + 1;
  ExpectOnly(FindingsOf(configuration), Severity::Warning, 102, "60001 ms");
}

/// Guards against an idle timeout without effect.
Test(ConfigurationCheck, IdleTimeoutOutsideLifetimeIsReported)
{
  auto configuration = MakeConfiguration();
  configuration.routeSet.idleTimeoutMs = kLongestFlowMs;
  cr_assert(FindingsOf(configuration).empty());
  configuration.routeSet.idleTimeoutMs = kLongestFlowMs + 1;
  ExpectOnly(FindingsOf(configuration), Severity::Warning, 3, "60001 ms");
  configuration.routeSet.idleTimeoutMs = 0;
  ExpectOnly(FindingsOf(configuration), Severity::Warning, 3, "is 0");
}

/// Guards against a warm-up limit that never applies.
Test(ConfigurationCheck, WarmUpLimitWithoutTimeIsReported)
{
  auto configuration = MakeConfiguration();
  auto& service = configuration.routeSet.services[1];
  service.warmUpRequestsPerSecond = 5;
  ExpectOnly(FindingsOf(configuration), Severity::Warning, 1002, "warm-up");
  service.warmUpMs = 3000;
  cr_assert(FindingsOf(configuration).empty());
}

/// Guards against a version that the balancers ignore.
Test(ConfigurationCheck, VersionMustBeHigherThanInForce)
{
  const auto inForce = MakeConfiguration();
  auto configuration = MakeConfiguration();
  ExpectOnly(DifferencesOf(configuration, inForce), Severity::Error, 1,
             "ignore");
  configuration.routeSet.version = 8;
  cr_assert(DifferencesOf(configuration, inForce).empty());
}

/// Guards against the removal of a route without a warning: its open flows are
/// reset.
Test(ConfigurationCheck, AddedAndRemovedRoutesAreDifferences)
{
  const auto inForce = MakeConfiguration();
  auto configuration = MakeConfiguration();
  configuration.routeSet.version = 8;
  configuration.routeSet.routes.push_back(
    MakeRoute("more", 3, { { "orders", 1 } }));
  ExpectOnly(DifferencesOf(configuration, inForce), Severity::Note, 300,
             "added");
  configuration.routeSet.routes = { configuration.routeSet.routes[0] };
  ExpectOnly(DifferencesOf(configuration, inForce), Severity::Warning, 2,
             "reset");
}

/// Guards against the report of a removed service as a removed route: its open
/// flows go on.
Test(ConfigurationCheck, ChangedSharesAreDifferences)
{
  const auto inForce = MakeConfiguration();
  auto configuration = MakeConfiguration();
  configuration.routeSet.version = 8;
  auto& shares = configuration.routeSet.routes[1].shares;
  shares.pop_back();
  ExpectOnly(DifferencesOf(configuration, inForce), Severity::Note, 200,
             "open flows go on");
  shares = { { "proofs", 5 }, { "drafts", 1 } };
  ExpectOnly(DifferencesOf(configuration, inForce), Severity::Note, 220,
             "from 3 to 5");
  shares = { { "proofs", 3 }, { "drafts", 1 }, { "orders", 1 } };
  ExpectOnly(DifferencesOf(configuration, inForce), Severity::Note, 212,
             "added");
}

/// Guards against changes of limits that the comparison does not show.
Test(ConfigurationCheck, ChangedLimitsAreDifferences)
{
  const auto inForce = MakeConfiguration();
  auto configuration = MakeConfiguration();
  auto& routeSet = configuration.routeSet;
  routeSet.version = 8;
  routeSet.idleTimeoutMs = 20000;
  routeSet.routes[0].timeoutMs = 3000;
  routeSet.routes[0].responseGoalMs = 300;
  routeSet.routes[0].urgency = 2;
  routeSet.routes[0].kind = 1;
  routeSet.services[0].maxFlowsPerTarget = 9;
  routeSet.services[0].warmUpMs = 1000;
  routeSet.services[0].warmUpRequestsPerSecond = 2.5;
  routeSet.services[0].healthPath = "/ok";
  const auto differences = DifferencesOf(configuration, inForce);
  cr_assert(differences.size() == 9, "%s", FormatAsText(differences).c_str());
  cr_assert(ExitStatusOf(differences) == 0);
}

/// Guards against output of several lines for one finding, and against an exit
/// status that hides an error.
Test(ConfigurationCheck, FindingsAreFormattedOnOneLineEach)
{
  std::vector<Finding> findings{
    { Severity::Note, { 4, "a.b" }, "line\nbreak \x7f", "f.json" },
    { Severity::Warning, {}, "\xff", "f.json" }
  };
  cr_assert(FormatAsText({ findings[0] }) ==
            "f.json:4: note: a.b: line?break ?\n");
  cr_assert(FormatAsText({ findings[1] }) == "f.json:0: warning: -: \xff\n");
  cr_assert(ExitStatusOf({}) == 0 && ExitStatusOf(findings) == 1);
  findings.push_back({ Severity::Error, {}, "", "" });
  cr_assert(ExitStatusOf(findings) == 2);
  const auto report = nlohmann::json::parse(FormatAsJson(findings));
  cr_assert(report["errors"] == 1 && report["warnings"] == 1);
  cr_assert(report["findings"][0]["line"] == 4);
}
