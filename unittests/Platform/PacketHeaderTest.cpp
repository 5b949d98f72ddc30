// Tests of the codec for the platform's packet header: its byte layout and the
// rejection of invalid packets.

#include "bramleylock/Forward/Packet.h"

#include <criterion/criterion.h>

using namespace bramleylock;
using namespace bramleylock::forward;

static auto CreateCodec() -> std::unique_ptr<PacketCodec>
{
  return PacketCodecRegistry::Instance().Create("bandeiras");
}

static auto DecodeHex(const std::string& aHex) -> std::string
{
  std::string bytes;
  for (std::size_t i = 0; i + 1 < aHex.size(); i += 3) {
    bytes.push_back(
      static_cast<char>(std::stoi(aHex.substr(i, 2), nullptr, 16)));
  }
  return bytes;
}

/// An opening packet from 192.0.2.9:40001 to 198.51.100.5:443 with the sequence
/// number 0x11223344.
static auto OpeningPacketBytes() -> std::string
{
  return DecodeHex(
    "c6 33 64 05 01 bb c0 00 02 09 9c 41 a1 b2 c3 d5 00 00 00 00 "
    "10 00 00 00 00 00 11 22 33 44 00 00 00 02 ");
}

Test(PacketHeader, DecodesOpeningPacket)
{
  const auto data = OpeningPacketBytes();
  const auto packet = CreateCodec()->Decode(data.data(), data.size());
  cr_assert(packet.has_value());
  cr_assert(packet->opens && !packet->ends && !packet->resets);
  cr_assert(FormatAddress(packet->flow.client) == "192.0.2.9:40001");
  cr_assert(FormatAddress(packet->flow.service) == "198.51.100.5:443");
  cr_assert(packet->sequence == 0x11223344);
  cr_assert(packet->acknowledgement == 2, "number of the copy");
}

Test(PacketHeader, SetTagChangesOnlyTheTag)
{
  auto data = OpeningPacketBytes();
  const auto before = data;
  CreateCodec()->SetTag(data.data(), 0xdeadbeef);
  for (std::size_t i = 0; i < data.size(); ++i) {
    cr_assert((data[i] == before[i]) == (i < 16 || i >= 20));
  }
  cr_assert(CreateCodec()->Decode(data.data(), data.size())->tag == 0xdeadbeef);
}

Test(PacketHeader, ResetHasServiceAsSourceAndAcknowledgedSequence)
{
  const auto data = OpeningPacketBytes();
  auto packet = *CreateCodec()->Decode(data.data(), data.size());
  packet.acknowledgement = 0x01020304;
  const auto reset = CreateCodec()->MakeReset(packet);
  cr_assert(
    reset ==
    DecodeHex("c0 00 02 09 9c 41 c6 33 64 05 01 bb 00 00 00 00 00 00 00 "
              "00 01 00 00 00 00 00 01 02 03 04 00 00 00 00 "));
}

Test(PacketHeader, RejectsInvalidPackets)
{
  const auto codec = CreateCodec();
  const auto isRejected = [&codec](std::string aData) {
    return !codec->Decode(aData.data(), aData.size()).has_value();
  };
  auto data = OpeningPacketBytes();
  cr_assert(isRejected(data.substr(0, 33)), "truncated header");
  cr_assert(isRejected(data + "x"), "more data than the length field states");
  cr_assert(isRejected(std::string()), "empty datagram");
  data[20] = 0x50;
  cr_assert(isRejected(data),
            "opening and acknowledging, as in a host's answer");
  data[20] = 0x11;
  cr_assert(isRejected(data), "opening and reset");
  data[20] = 0x42;
  cr_assert(isRejected(data), "bounced flag");
  data[20] = static_cast<char>(0xc0);
  cr_assert(isRejected(data), "unknown flag");
  data[20] = 0x40;
  data[24] = 0x04;
  data[25] = static_cast<char>(0xb1);
  cr_assert(isRejected(data + std::string(1201, 'x')),
            "more than 1200 bytes of data");
}

Test(PacketHeader, PrefixEncodesTheNumberInTheId)
{
  const auto codec = CreateCodec();
  const TargetPrefix expected{ 0, 0, 0, 0, 0x7f, '\x3a', '\x91', '\xc2' };
  cr_assert(codec->PrefixOf("i-7f3a91c2") == expected);
  cr_assert(!codec->PrefixOf("i-"));
  cr_assert(!codec->PrefixOf("i-0"), "prefix 0 matches any host");
  cr_assert(!codec->PrefixOf("i-xyz"));
  cr_assert(!codec->PrefixOf("i-00112233445566778"), "more than eight bytes");
}
