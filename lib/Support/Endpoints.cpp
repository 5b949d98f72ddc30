// Parsing and formatting of "ip:port" endpoints.

#include "bramleylock/Support/Asio.h"

#include <charconv>

namespace bramleylock {

template<typename Endpoint>
static auto ParseEndpoint(const std::string& aText, std::error_code& aError)
  -> Endpoint
{
  aError = std::make_error_code(std::errc::invalid_argument);
  const auto colon = aText.rfind(':');
  if (colon == std::string::npos) {
    return {};
  }
  boost::system::error_code failure;
  auto address = asio::ip::make_address(aText.substr(0, colon), failure);
  std::uint16_t port = 0;
  const char* last = aText.data() + aText.size();
  auto parsed = std::from_chars(aText.data() + colon + 1, last, port);
  if (failure || parsed.ec != std::errc{} || parsed.ptr != last) {
    return {};
  }
  aError.clear();
  return { address, port };
}

auto ParseTcpEndpoint(const std::string& aText, std::error_code& aError)
  -> Tcp::endpoint
{
  return ParseEndpoint<Tcp::endpoint>(aText, aError);
}

auto ParseUdpEndpoint(const std::string& aText, std::error_code& aError)
  -> Udp::endpoint
{
  return ParseEndpoint<Udp::endpoint>(aText, aError);
}

auto FormatEndpoint(const asio::ip::address& aAddress, std::uint16_t aPort)
  -> std::string
{
  return aAddress.to_string() + ":" + std::to_string(aPort);
}

} // namespace bramleylock
