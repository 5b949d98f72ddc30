// bramleylock-call: sends one request through the balancers.

#include "bramleylock/Caller/Client.h"
#include "bramleylock/Kernel/Settings.h"

#include <cxxopts.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <sodium.h>

#include <iostream>

namespace {

enum ExitCode
{
  Answered = 0,
  UsageError = 2,
  NotRun = 3,
  Unknown = 4,
  TargetRefused = 5,
  Refused = 6
};

} // namespace

static constexpr const char* kHelpFooter = R"(
Examples:
  bramleylock-call --server 127.0.0.1:7400 --service encomendas \
    --work confirm --credential-file club.credential --payload 'id=c1 bytes=20'
  bramleylock-call ... --work proof --deadline-ms 60000 --output proof.pdf

The credential file holds one line, PLAN.SECRET.
Exit codes: 0 answered, 2 wrong command line, 3 not run, 4 outcome unknown,
5 answered with an error status by the target, 6 refused (a copy of a
repeatable request may have run).
)";

static auto CallOnce(bramleylock::caller::Client& aClient,
                     const cxxopts::ParseResult& aArgs,
                     const std::string& aCredential,
                     bramleylock::caller::CallResult& aResult)
  -> bramleylock::awaitable<void>
{
  using namespace bramleylock;
  {
    caller::Flow flow(aClient, aArgs["service"].as<std::string>(), aCredential);
    caller::CallOptions options;
    options.work = aArgs["work"].as<std::string>();
    options.payload = aArgs["payload"].as<std::string>();
    options.deadline = Milliseconds(aArgs["deadline-ms"].as<int>());
    aResult = co_await flow.Call(std::move(options));
  }
  aClient.Close();
}

static auto PrintReport(const bramleylock::caller::CallResult& aResult,
                        bool aJson) -> void
{
  using namespace bramleylock;
  const auto milliseconds =
    std::chrono::duration<double, std::milli>(aResult.latency).count();
  const auto outcome = NameOf(caller::kCallOutcomeNames, aResult.outcome);
  const auto reason = NameOf(wire::kReasonNames, aResult.reason);
  if (aJson) {
    const nlohmann::json report{ { "outcome", outcome },
                                 { "reason", reason },
                                 { "status", aResult.status },
                                 { "bytes", aResult.body.size() },
                                 { "retry_after_ms", aResult.retryAfterMs },
                                 { "latency_ms", milliseconds },
                                 { "sends", aResult.sends } };
    std::cerr << report.dump() << "\n";
    return;
  }
  fmt::print(stderr,
             "outcome={} reason={} status={} bytes={} retry_after_ms={} "
             "latency_ms={:.3f} sends={}\n",
             outcome, reason, aResult.status, aResult.body.size(),
             aResult.retryAfterMs, milliseconds, aResult.sends);
}

static auto ExitCodeOf(const bramleylock::caller::CallResult& aResult) -> int
{
  using bramleylock::caller::CallOutcome;
  switch (aResult.outcome) {
    case CallOutcome::Answered:
      return aResult.status < 400 ? Answered : TargetRefused;
    case CallOutcome::NotRun:
      return NotRun;
    case CallOutcome::Refused:
      return Refused;
    case CallOutcome::Unknown:
      break;
  }
  return Unknown;
}

static auto WriteBody(const std::string& aFile, const std::string& aBody)
  -> void
{
  if (aFile.empty()) {
    return;
  }
  auto* file = aFile == "-" ? stdout : std::fopen(aFile.c_str(), "wb");
  if (file == nullptr) {
    std::cerr << "bramleylock-call: cannot write " << aFile << "\n";
    return;
  }
  std::fwrite(aBody.data(), 1, aBody.size(), file);
  if (file != stdout) {
    std::fclose(file);
  }
}

auto main(int argc, char** argv) -> int
{
  using namespace bramleylock;
  cxxopts::Options options("bramleylock-call",
                           "Sends one request through the balancers.");
  options.add_options()(
    "server", "ip:port on which the balancers receive callers' packets",
    cxxopts::value<std::string>())("service", "name of the service",
                                   cxxopts::value<std::string>())(
    "work", "kind of work", cxxopts::value<std::string>())(
    "credential-file", "file with PLAN.SECRET", cxxopts::value<std::string>())(
    "payload", "request body",
    cxxopts::value<std::string>()->default_value(""))(
    "deadline-ms", "time limit in ms for the whole answer",
    cxxopts::value<int>()->default_value("5000"))(
    "output", "file for the answer, - for standard output",
    cxxopts::value<std::string>()->default_value(""))("json", "report as JSON")(
    "version", "print the version")("help", "print this help");
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") != 0) {
      std::cout << options.help() << kHelpFooter;
      return Answered;
    }
    if (parsed.count("version") != 0) {
      std::cout << "bramleylock-call " BRAMLEYLOCK_VERSION "\n";
      return Answered;
    }
    std::error_code error;
    const auto server =
      ParseUdpEndpoint(parsed["server"].as<std::string>(), error);
    if (error) {
      std::cerr << "bramleylock-call: --server must be ip:port\n";
      return UsageError;
    }
    const auto credential = kernel::ReadSecretFile(
      parsed["credential-file"].as<std::string>(), error);
    if (error || sodium_init() < 0) {
      std::cerr << "bramleylock-call: cannot read the credential file\n";
      return UsageError;
    }
    asio::io_context context(1);
    caller::Client client(context, server);
    caller::CallResult result;
    Spawn(context, "call", CallOnce(client, parsed, credential, result));
    context.run();
    WriteBody(parsed["output"].as<std::string>(), result.body);
    PrintReport(result, parsed.count("json") != 0);
    return ExitCodeOf(result);
  } catch (const cxxopts::exceptions::exception& failure) {
    std::cerr << "bramleylock-call: " << failure.what() << "; see --help\n";
    return UsageError;
  }
}
