// bramleylockd: the balancer daemon.

#include "bramleylock/Kernel/DataPath.h"
#include "bramleylock/Support/FileWatch.h"
#include "bramleylock/Support/Log.h"

#include <boost/asio/signal_set.hpp>
#include <cxxopts.hpp>
#include <fmt/format.h>
#include <sodium.h>

#include <unistd.h>

#include <csignal>
#include <iostream>

namespace {

/// Exit codes, listed in --help.
enum ExitCode
{
  Success = 0,
  UsageError = 2,
  InvalidSettings = 3,
  StartFailed = 4
};

} // namespace

static constexpr const char* kHelpFooter = R"(
Examples:
  bramleylockd --print-defaults > balancer.toml
  bramleylockd --config balancer.toml --check
  bramleylockd --config balancer.toml

SIGTERM and SIGINT start a planned stop, which first lets requests in flight
finish. SIGHUP reloads the settings. Logs go to standard output.
Exit codes: 0 stopped as planned, 2 wrong command line, 3 invalid settings,
4 start failed.
)";

static auto ApplyLogSettings(const bramleylock::kernel::Settings& aSettings)
  -> void
{
  using namespace bramleylock;
  ConfigureLog({ *ValueOf(kLogLevelNames, aSettings.logLevel),
                 aSettings.logFormat == "json", aSettings.vmName, STDOUT_FILENO,
                 static_cast<int>(aSettings.logRecordsPerSecond),
                 aSettings.dataPath == "forward" });
}

/// Interval at which the settings file is checked for changes without SIGHUP.
/// The settings that a running process applies, such as peer seeds and logging,
/// tolerate this delay.
static constexpr bramleylock::Milliseconds kFileCheckInterval{ 5000 };

/// Reloads the settings. If they are invalid, those in force stay unchanged.
static auto Reload(const std::string& aFile,
                   bramleylock::kernel::DataPath& aBalancer) -> void
{
  using namespace bramleylock;
  std::error_code error;
  std::vector<std::string> problems;
  const auto settings = kernel::LoadSettings(aFile, error, problems);
  if (error) {
    for (const auto& problem : problems) {
      LogError("reload-refused", { { "problem", problem } });
    }
    return;
  }
  ApplyLogSettings(settings);
  aBalancer.Reload(settings);
  LogInfo("reloaded", { { "file", aFile } });
}

static auto ReloadOnSighup(bramleylock::asio::signal_set& aSighups,
                           const std::string& aFile,
                           bramleylock::kernel::DataPath& aBalancer) -> void
{
  aSighups.async_wait([&aSighups, &aFile, &aBalancer](
                        const boost::system::error_code& aError, int) {
    if (!aError) {
      Reload(aFile, aBalancer);
      ReloadOnSighup(aSighups, aFile, aBalancer);
    }
  });
}

static auto Run(const bramleylock::kernel::Settings& aSettings,
                const std::string& aFile) -> int
{
  using namespace bramleylock;
  ApplyLogSettings(aSettings);
  asio::io_context context(1);
  // Installed before anything else starts, so that no signal kills the process.
  asio::signal_set signals(context, SIGTERM, SIGINT);
  asio::signal_set sighups(context, SIGHUP);
  const auto dataPath = kernel::DataPathRegistry::Instance().Create(
    aSettings.dataPath, context, aSettings);
  auto& balancer = *dataPath;
  std::error_code error;
  std::string detail;
  balancer.Start(error, detail);
  if (error) {
    LogError("cannot-start",
             { { "why", error.message() }, { "detail", detail } });
    FlushLog();
    return StartFailed;
  }
  ReloadOnSighup(sighups, aFile, balancer);
  WatchFile(context, aFile, kFileCheckInterval,
            [&aFile, &balancer] { Reload(aFile, balancer); });
  signals.async_wait([&balancer](const boost::system::error_code& aError, int) {
    if (!aError) {
      balancer.Drain();
    }
  });
  std::cout << balancer.ReadyLine() << std::endl;
  context.run();
  FlushLog();
  return Success;
}

auto main(int argc, char** argv) -> int
{
  using namespace bramleylock;
  cxxopts::Options options("bramleylockd", "The bramleylock balancer.");
  options.add_options()("config", "settings file",
                        cxxopts::value<std::string>())(
    "check", "validate the settings and exit")(
    "print-defaults", "print every setting with its default")(
    "version", "print the version")("help", "print this help");
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") != 0) {
      std::cout << options.help() << kHelpFooter;
      return Success;
    }
    if (parsed.count("version") != 0) {
      std::cout << "bramleylockd " BRAMLEYLOCK_VERSION "\n";
      return Success;
    }
    if (parsed.count("print-defaults") != 0) {
      std::cout << kernel::DefaultSettingsText();
      return Success;
    }
    if (parsed.count("config") == 0) {
      std::cerr << "bramleylockd: --config FILE is required; see --help\n";
      return UsageError;
    }
    std::error_code error;
    std::vector<std::string> problems;
    const auto settings =
      kernel::LoadSettings(parsed["config"].as<std::string>(), error, problems);
    for (const auto& problem : problems) {
      std::cerr << problem << "\n";
    }
    if (error) {
      return InvalidSettings;
    }
    if (parsed.count("check") != 0) {
      std::cout << "settings are valid\n";
      return Success;
    }
    if (sodium_init() < 0) {
      std::cerr << "bramleylockd: cannot initialize libsodium\n";
      return StartFailed;
    }
    return Run(settings, parsed["config"].as<std::string>());
  } catch (const cxxopts::exceptions::exception& failure) {
    std::cerr << "bramleylockd: " << failure.what() << "; see --help\n";
    return UsageError;
  }
}
