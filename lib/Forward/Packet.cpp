// Addresses and flow identifiers of forwarded packets.

#include "bramleylock/Forward/Packet.h"

#include "bramleylock/Support/Asio.h"

namespace bramleylock::forward {

auto ParseAddress(const std::string& aText) -> std::optional<Address>
{
  std::error_code error;
  const auto endpoint = ParseUdpEndpoint(aText, error);
  if (error || !endpoint.address().is_v4() || endpoint.port() == 0) {
    return std::nullopt;
  }
  return Address{ endpoint.address().to_v4().to_uint(), endpoint.port() };
}

auto FormatAddress(const Address& aAddress) -> std::string
{
  return FormatEndpoint(asio::ip::address_v4(aAddress.ip), aAddress.port);
}

auto FormatFlow(const FlowId& aFlow) -> std::string
{
  return FormatAddress(aFlow.client) + ">" + FormatAddress(aFlow.service);
}

/// Mixes the bits of a 64-bit word, so that flows that differ in one bit have
/// unrelated hash values (the finalizer of SplitMix64).
static auto Mix(std::uint64_t aWord) -> std::uint64_t
{
  aWord = (aWord ^ (aWord >> 30)) * 0xbf58476d1ce4e5b9ULL;
  aWord = (aWord ^ (aWord >> 27)) * 0x94d049bb133111ebULL;
  return aWord ^ (aWord >> 31);
}

auto OpeningTag(TargetTag aTag, std::uint32_t aSequence) -> TargetTag
{
  return aTag ^ static_cast<TargetTag>(Mix(aSequence + std::uint64_t{ 1 }));
}

auto FlowIdHash::operator()(const FlowId& aFlow) const -> std::size_t
{
  const auto client = (std::uint64_t{ aFlow.client.ip } << 16) |
                      std::uint64_t{ aFlow.client.port };
  const auto service = (std::uint64_t{ aFlow.service.ip } << 16) |
                       std::uint64_t{ aFlow.service.port };
  return Mix(Mix(client) ^ service);
}

} // namespace bramleylock::forward
