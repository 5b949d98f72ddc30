// The subcommands of bramleylock-standin, and the start-up code they share.
#pragma once

#include <optional>
#include <string>

#include <cxxopts.hpp>

#include "bramleylock/Support/Asio.h"

namespace bramleylock::standin {

/// Each function runs one stand-in until SIGTERM or SIGINT and returns the exit
/// code of the process.
auto RunStore(int argc, char** argv) -> int;
auto RunTarget(int argc, char** argv) -> int;
auto RunFabric(int argc, char** argv) -> int;
auto RunProxy(int argc, char** argv) -> int;
auto RunPlatform(int argc, char** argv) -> int;

/// Help texts of the options that most stand-ins share. An empty text for
/// "--control" or "--seed" omits that option.
struct CommonOptionHelp
{
  std::string listen;
  std::string control;
  std::string seed;
};

/// Adds "--listen", "--control", "--seed" and "--help".
auto AddCommonOptions(cxxopts::Options& aOptions, const CommonOptionHelp& aHelp)
  -> void;

/// Parses the command line. For "--help", prints the help and returns nullopt.
auto ParseOptions(cxxopts::Options& aOptions, int aArgumentCount,
                  char** aArguments) -> std::optional<cxxopts::ParseResult>;

/// Returns the TCP endpoint given as the value of option aName.
auto TcpOption(const cxxopts::ParseResult& aParsed, const std::string& aName)
  -> Tcp::endpoint;

/// Prints aReadyLine and runs aContext until SIGTERM or SIGINT.
auto Serve(asio::io_context& aContext, const std::string& aReadyLine) -> int;

} // namespace bramleylock::standin
