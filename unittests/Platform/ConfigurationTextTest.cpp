// Tests of the lines of entries in a configuration and of its syntax errors.

#include "platform/JsonPositions.h"
#include "platform/StateDecoder.h"

#include "bramleylock/Check/ConfigurationCheck.h"
#include "bramleylock/Support/Json.h"

#include "unittests/TestOddInputs.h"

#include <algorithm>

#include <criterion/criterion.h>

using namespace bramleylock;
using namespace bramleylock::check;
using bramleylock::platform::JsonPositions;

static constexpr const char* kText = R"({
  "version": 3,
  "routes": [
    { "name": "lists", "host": "198.18.0.1", "prefix": "/443/",
      "type": "safe",
      "timeoutMs": 2000,
      "service": "lists" },
    {
      "name": "orders", "host": "198.18.0.2", "prefix": "/443/",
      "type": "unsafe",
      "backends": [
        { "service": "orders",
          "weight": 1 },
        { "service": "lists",
          "weight": 2 }
      ] }
  ],
  "services": [
    { "name": "lists", "healthPath": "/health" },
    { "name": "orders", "healthPath": "/health",
      "coldStartS": 3, "coldPerS": 2 }
  ],
  "limits": {
    "idleTimeoutMs": 15000 }
}
)";

static auto Read(const std::string& aText, Configuration& aConfiguration,
                 std::vector<Finding>& aFindings) -> bool
{
  const auto reader =
    ConfigurationReaderRegistry::Instance().Create("bandeiras");
  return reader->Read(aText, aConfiguration, aFindings);
}

/// Returns kText with aOld replaced by aNew.
static auto TextWith(const std::string& aOld, const std::string& aNew)
  -> std::string
{
  std::string text = kText;
  const auto offset = text.find(aOld);
  cr_assert(offset != std::string::npos, "%s", aOld.c_str());
  return text.replace(offset, aOld.size(), aNew);
}

/// Expects a finding with a severity and a position for aText.
static auto ExpectFinding(const std::string& aText, Severity aSeverity,
                          std::size_t aLine, const std::string& aKey) -> void
{
  Configuration configuration;
  std::vector<Finding> findings;
  Read(aText, configuration, findings);
  const bool found =
    std::any_of(findings.begin(), findings.end(), [&](const Finding& aFinding) {
      return aFinding.severity == aSeverity &&
             aFinding.position.line == aLine && aFinding.position.key == aKey;
    });
  cr_assert(found, "expected line %zu, key %s in:\n%s", aLine, aKey.c_str(),
            FormatAsText(findings).c_str());
}

/// Guards against lines that are off by one, among others because the parser
/// reads ahead after a number.
Test(ConfigurationText, EntriesHaveTheirLines)
{
  Configuration configuration;
  std::vector<Finding> findings;
  cr_assert(Read(kText, configuration, findings));
  cr_assert(findings.empty(), "%s", FormatAsText(findings).c_str());
  cr_assert(configuration.version.line == 2);
  cr_assert(configuration.routes.line == 3);
  const auto& routes = configuration.routePositions;
  cr_assert(routes[0].row.line == 4 && routes[0].timeout.line == 6);
  cr_assert(routes[0].shares[0].service.line == 7);
  cr_assert(routes[0].latencyGoal.line == 4, "the line of the route");
  cr_assert(routes[1].row.line == 8 && routes[1].address.line == 9);
  cr_assert(routes[1].shares[1].service.line == 14);
  cr_assert(routes[1].shares[1].weight.line == 15);
  cr_assert(routes[1].shares[1].weight.key == "routes[1].backends[1].weight");
  cr_assert(configuration.servicePositions[1].row.line == 20);
  cr_assert(configuration.servicePositions[1].warmUpLimit.line == 21);
  cr_assert(configuration.idleTimeout->line == 24);
  const JsonPositions numbers("[\n1\n,\n2\n]");
  cr_assert(numbers.Find("[0]").line == 2 && numbers.Find("[1]").line == 4);
}

/// Guards against a checker that reads other routes than balancers do.
Test(ConfigurationText, ReadsWhatBalancersRead)
{
  for (const auto& text :
       { std::string(kText), TextWith("\"/443/\"", "443"),
         TextWith("\"weight\": 2", "\"weight\": -2"),
         TextWith("\"healthPath\": \"/health\" }", "\"x\": 1 }") }) {
    Configuration configuration;
    std::vector<Finding> findings;
    Read(text, configuration, findings);
    forward::RouteSet expected;
    std::vector<std::string> problems;
    cr_assert(platform::DecodeConfiguration(text, expected, problems));
    cr_assert(configuration.routeSet.routes == expected.routes);
    cr_assert(configuration.routeSet.services == expected.services);
    cr_assert(problems.empty() == findings.empty());
  }
}

/// Guards against malformed entries that are not attributed to their key.
Test(ConfigurationText, MalformedEntriesAreReportedWithLineAndKey)
{
  const auto error = Severity::Error;
  const auto warning = Severity::Warning;
  ExpectFinding(TextWith("3,", "-3,"), error, 2, "version");
  ExpectFinding(TextWith("3,", "0,"), error, 2, "version");
  ExpectFinding(TextWith("\"version\"", "\"edition\""), error, 1, "version");
  ExpectFinding(TextWith("\"routes\"", "\"roots\""), error, 1, "routes");
  ExpectFinding(TextWith("\"services\"", "\"x\""), error, 1, "services");
  ExpectFinding(TextWith("15000", "\"15 s\""), error, 24,
                "limits.idleTimeoutMs");
  ExpectFinding(TextWith("\"/443/\"", "\"/0x/\""), error, 4, "routes[0].host");
  ExpectFinding(TextWith("\"type\": \"safe\",", ""), error, 4,
                "routes[0].type");
  ExpectFinding(TextWith("\"service\": \"lists\" }", "\"service\": 7 }"), error,
                7, "routes[0].service");
  ExpectFinding(TextWith("\"weight\": 2", "\"weight\": 1.5"), error, 15,
                "routes[1].backends[1].weight");
  ExpectFinding(TextWith("2000", "\"2 s\""), warning, 6, "routes[0].timeoutMs");
  ExpectFinding(TextWith("\"safe\"", "\"save\""), warning, 5, "routes[0].type");
  ExpectFinding(TextWith("\"coldPerS\": 2", "\"coldPerS\": -2"), warning, 21,
                "services[1].coldPerS");
  ExpectFinding(TextWith("\"healthPath\": \"/health\" }", "\"x\": 1 }"), error,
                19, "services[0].healthPath");
  ExpectFinding(TextWith("\"type\": \"safe\"", "\"name\": \"b\""), warning, 5,
                "routes[0].name");
}

/// Guards against a syntax error at a wrong line.
Test(ConfigurationText, SyntaxErrorsHaveTheirLine)
{
  ExpectFinding(TextWith("2000,", "2000"), Severity::Error, 7, "");
  ExpectFinding(TextWith("\"lists\",", "\"lists,"), Severity::Error, 4, "");
  ExpectFinding(TextWith("15000 }\n}", "15000 }\n"), Severity::Error, 24, "");
  ExpectFinding(TextWith("2000", "1e999"), Severity::Error, 6, "");
  ExpectFinding("\n\n" + NestedArray(kMaxJsonDepth + 1), Severity::Error, 3,
                "");
  ExpectFinding("", Severity::Error, 1, "");
  ExpectFinding(" \n", Severity::Error, 1, "");
  ExpectFinding("\n[]", Severity::Error, 2, "");
}

/// Guards against crashes on input that is no configuration: each one ends with
/// an error.
Test(ConfigurationText, OddTextsAreRejectedWithAnError)
{
  for (const auto& text : OddTexts()) {
    Configuration configuration;
    std::vector<Finding> findings;
    cr_assert(!Read(text, configuration, findings));
    CheckConfiguration(configuration, 60000, findings);
    cr_assert(ExitStatusOf(findings) == 2);
  }
  for (const auto& number : OddNumbers()) {
    for (const auto* old : { "3,", "2000,", "15000" }) {
      const auto end = std::string(old).find_first_not_of("0123456789");
      const auto rest =
        end == std::string::npos ? "" : std::string(old).substr(end);
      Configuration configuration;
      std::vector<Finding> findings;
      Read(TextWith(old, number + rest), configuration, findings);
      cr_assert(!findings.empty(), "%s", number.substr(0, 30).c_str());
    }
  }
}
