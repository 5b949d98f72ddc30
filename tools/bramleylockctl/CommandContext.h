// Options of a command, and calls to the administration API.
#pragma once

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "bramleylock/Http/Tls.h"
#include "bramleylock/Support/Asio.h"

namespace bramleylock::ctl {

/// Exit codes, listed in --help.
enum ExitCode
{
  Success = 0,
  Failure = 1,
  UsageError = 2,
  Conflict = 3,
  NotInForceEverywhere = 4
};

/// The command line of one run of the program.
struct CommandContext
{
  std::vector<std::string> servers;
  std::string token;
  /// Null for plain HTTP.
  http::TlsContext tls;
  bool json = false;
  bool dryRun = false;
  int waitMs = 0;
  std::string baseFile;
  /// The command and its arguments.
  std::vector<std::string> arguments;
};

/// Longer than a balancer retries an edit while the store is slow.
inline constexpr Milliseconds kCallTimeout{ 15000 };

/// Calls one server and returns the HTTP status, or 0 when it did not answer.
auto CallServer(const CommandContext& aContext, const std::string& aServer,
                const std::string& aMethod, const std::string& aTarget,
                const std::string& aBody, nlohmann::json& aAnswer,
                Milliseconds aTimeout = kCallTimeout) -> unsigned;

/// Prints the error in aAnswer and returns Failure.
auto PrintError(const nlohmann::json& aAnswer) -> int;

/// Reads the lists from the first server that answers.
auto ReadLists(const CommandContext& aContext, nlohmann::json& aAnswer) -> bool;

/// Calls aPath on every server and prints the answers.
auto PrintFromEachServer(const CommandContext& aContext, const char* aMethod,
                         const char* aPath) -> int;

} // namespace bramleylock::ctl
