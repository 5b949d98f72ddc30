// Command-line parsing and the main loop that the stand-ins share.

#include "standins/Standin.h"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <iostream>

namespace bramleylock::standin {

auto AddCommonOptions(cxxopts::Options& aOptions, const CommonOptions& aTexts)
  -> void
{
  const auto address =
    cxxopts::value<std::string>()->default_value("127.0.0.1:0");
  auto add = aOptions.add_options();
  add("listen", aTexts.listen, address);
  if (!aTexts.control.empty()) {
    add("control", aTexts.control, address);
  }
  if (!aTexts.seed.empty()) {
    add("seed", aTexts.seed,
        cxxopts::value<std::uint64_t>()->default_value("1"));
  }
  add("help", "print this help and exit");
}

auto ParseOptions(cxxopts::Options& aOptions, int aCount, char** aArguments)
  -> std::optional<cxxopts::ParseResult>
{
  auto parsed = aOptions.parse(aCount, aArguments);
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
