// Settings: each problem is reported with its line and the allowed values.

#include "bramleylock/Kernel/Settings.h"

#include <criterion/criterion.h>

using namespace bramleylock::kernel;

static const char* const kValid = R"([vm]
name = "entry-1"
failure_domain = "braga"
[listen]
callers = "127.0.0.1:1"
peers = "127.0.0.1:2"
administration = "127.0.0.1:3"
[platform]
address = "127.0.0.1:4"
[secrets]
cluster_key_file = "cluster.key"
administration_token_file = "admin.token"
)";

static auto ProblemsOf(const std::string& aText) -> std::vector<std::string>
{
  std::error_code error;
  std::vector<std::string> problems;
  ParseSettings(aText, "b.toml", error, problems);
  cr_assert(static_cast<bool>(error) == !problems.empty());
  return problems;
}

static auto ExpectOnlyProblem(const std::string& aText,
                              const std::string& aProblem) -> void
{
  const auto problems = ProblemsOf(aText);
  cr_assert(problems.size() == 1);
  cr_assert(problems.front().starts_with(aProblem), "%s",
            problems.front().c_str());
}

Test(Settings, ValidFileGetsDefaults)
{
  std::error_code error;
  std::vector<std::string> problems;
  const auto settings = ParseSettings(kValid, "b.toml", error, problems);
  cr_assert(!error);
  cr_assert(settings.vmName == "entry-1");
  cr_assert(settings.idleFlowSeconds == 600);
}

Test(Settings, UnknownKeyIsReportedWithItsLine)
{
  ExpectOnlyProblem(std::string(kValid) + "[flows]\nidle = 5\n",
                    "b.toml:14: flows.idle: found 5; no such setting");
}

Test(Settings, NumberOutOfRangeReportsTheAllowedRange)
{
  ExpectOnlyProblem(
    std::string(kValid) + "[flows]\nidle_seconds = 0\n",
    "b.toml:14: flows.idle_seconds: found 0; allowed: 1 to 86400 s");
}

Test(Settings, UnknownPluginReportsTheAvailableOnes)
{
  ExpectOnlyProblem(std::string(kValid) + "[plugins]\ntarget_choice = \"x\"\n",
                    "b.toml:14: plugins.target_choice: found 'x'; allowed: ");
}

Test(Settings, MissingKeyIsReported)
{
  std::string text = kValid;
  text.erase(text.find("name = "),
             text.find("failure_domain") - text.find("name = "));
  ExpectOnlyProblem(text, "b.toml: vm.name: missing");
}

Test(Settings, InvalidTomlIsReportedWithItsLine)
{
  const auto problems = ProblemsOf("[vm]\nname = \n");
  cr_assert(problems.size() == 1);
  cr_assert(problems.front().starts_with("b.toml:2:"));
}

Test(Settings, NonAsciiByteIsReportedWithItsLine)
{
  // Fuzzing found this input, on which the parser's behaviour is undefined.
  ExpectOnlyProblem("# settings\n1\xef\xaf\xbf\x02\x10",
                    "b.toml:2: found byte 0xef; allowed: ASCII characters");
}

Test(Settings, PlainHttpNeedsLoopbackUnlessAllowedAnywhere)
{
  auto nonLoopback = std::string(kValid);
  nonLoopback.replace(nonLoopback.find("127.0.0.1:3"), 11, "10.0.0.1:3");
  const std::string section = "[administration]\n";
  const std::string files = "certificate_file = \"a\"\nkey_file = \"b\"\n";
  ExpectOnlyProblem(nonLoopback,
                    "b.toml:7: listen.administration: found '10.0.0.1:3'; "
                    "allowed without TLS: a loopback address");
  cr_assert(ProblemsOf(nonLoopback + section + files).empty());
  cr_assert(
    ProblemsOf(nonLoopback + section + "plain_http = \"anywhere\"\n").empty());
}

Test(Settings, CertificateAndKeyRequireEachOther)
{
  const auto start = std::string(kValid) + "[administration]\n";
  ExpectOnlyProblem(
    start + "certificate_file = \"a\"\n",
    "b.toml:14: administration.certificate_file: found 'a'; allowed: "
    "only if certificate_file and key_file are both set");
  ExpectOnlyProblem(start + "key_file = \"b\"\n",
                    "b.toml:14: administration.key_file: found 'b'; allowed: "
                    "only if certificate_file and key_file are both set");
}
