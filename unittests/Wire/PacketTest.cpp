// Encoding of caller datagrams, and datagrams that must be rejected.

#include "bramleylock/Wire/Packet.h"

#include <criterion/criterion.h>

using namespace bramleylock::wire;

Test(Packet, RoundTripKeepsAllFields)
{
  Packet packet;
  packet.type = PacketType::Acknowledge;
  packet.service = "provas";
  packet.flow = 0xfeedfacecafebeefULL;
  packet.sequence = 7;
  packet.part = 9;
  packet.missing = { 11, 12 };
  packet.token = std::string("\0token", 6);
  packet.payload = "body";
  const auto data = Encode(packet);
  std::error_code error;
  const auto decoded = Decode(data.data(), data.size(), error);
  cr_assert(!error);
  cr_assert(decoded.type == packet.type);
  cr_assert(decoded.flow == packet.flow);
  cr_assert(decoded.missing == packet.missing);
  cr_assert(decoded.token == packet.token);
  cr_assert(decoded.payload == packet.payload);
}

Test(Packet, EveryTruncationOfTheHeaderIsMalformed)
{
  Packet packet;
  packet.token = "token";
  const auto data = Encode(packet);
  for (std::size_t size = 0; size < data.size(); ++size) {
    std::error_code error;
    Decode(data.data(), size, error);
    cr_assert(error == PacketError::Malformed, "size %zu", size);
  }
}

Test(Packet, OversizedDatagramIsRefused)
{
  const std::string data(kMaxPacketBytes + 1, 'x');
  std::error_code error;
  Decode(data.data(), data.size(), error);
  cr_assert(error == PacketError::Oversized);
}

Test(Packet, OtherVersionIsAVersionError)
{
  auto data = Encode(Packet{});
  data[1] = 9;
  std::error_code error;
  Decode(data.data(), data.size(), error);
  cr_assert(error == PacketError::Version);
}
