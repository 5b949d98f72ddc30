// Command-line parsing and the main loop that the stand-ins share.

#include "standins/Standin.h"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <iostream>

namespace bramleylock::standin {

auto AddCommonOptions(cxxopts::Options& aOptions, const CommonOptionHelp& aHelp)
  -> void
{
  const auto addressValue =
    cxxopts::value<std::string>()->default_value("127.0.0.1:0");
  auto addOption = aOptions.add_options();
  addOption("listen", aHelp.listen, addressValue);
  if (!aHelp.control.empty()) {
    addOption("control", aHelp.control, addressValue);
  }
  if (!aHelp.seed.empty()) {
    addOption("seed", aHelp.seed,
              cxxopts::value<std::uint64_t>()->default_value("1"));
  }
  addOption("help", "print this help and exit");
}

auto ParseOptions(cxxopts::Options& aOptions, int aArgumentCount,
                  char** aArguments) -> std::optional<cxxopts::ParseResult>
{
  auto parsed = aOptions.parse(aArgumentCount, aArguments);
  if (parsed.count("help") != 0) {
    std::cout << aOptions.help();
    return std::nullopt;
  }
  return parsed;
}

auto TcpOption(const cxxopts::ParseResult& aParsed, const std::string& aName)
  -> Tcp::endpoint
{
  std::error_code error;
  return ParseTcpEndpoint(aParsed[aName].as<std::string>(), error);
}

auto Serve(asio::io_context& aContext, const std::string& aReadyLine) -> int
{
  std::cout << aReadyLine << std::endl;
  asio::signal_set signals(aContext, SIGTERM, SIGINT);
  signals.async_wait(
    [&aContext](const boost::system::error_code&, int) { aContext.stop(); });
  aContext.run();
  return 0;
}

} // namespace bramleylock::standin
