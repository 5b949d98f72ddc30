// Tests of the codec for the platform's packet header: its byte layout and the
// rejection of invalid packets.

#include "bramleylock/Forward/Packet.h"

#include <criterion/criterion.h>

using namespace bramleylock;
using namespace bramleylock::forward;

static auto Codec() -> std::unique_ptr<PacketCodec>
{
  return PacketCodecRegistry::Instance().Create("bandeiras");
}

static auto FromHex(const std::string& aHex) -> std::string
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
static auto OpeningBytes() -> std::string
{
  return FromHex("c6 33 64 05 01 bb c0 00 02 09 9c 41 a1 b2 c3 d5 00 00 00 00 "
                 "10 00 00 00 00 00 11 22 33 44 00 00 00 02 ");
}

Test(PacketHeader, ReadsAnOpeningPacket)
{
  const auto data = OpeningBytes();
  const auto packet = Codec()->Decode(data.data(), data.size());
  cr_assert(packet.has_value());
  cr_assert(packet->opens && !packet->ends && !packet->resets);
  cr_assert(FormatAddress(packet->flow.client) == "192.0.2.9:40001");
  cr_assert(FormatAddress(packet->flow.service) == "198.51.100.5:443");
  cr_assert(packet->sequence == 0x11223344);
  cr_assert(packet->acknowledgement == 2, "number of the copy");
}

Test(PacketHeader, WritesNothingButTheTag)
{
  auto data = OpeningBytes();
  const auto before = data;
  Codec()->SetTag(data.data(), 0xdeadbeef);
  for (std::size_t i = 0; i < data.size(); ++i) {
    cr_assert((data[i] == before[i]) == (i < 16 || i >= 20));
  }
  cr_assert(Codec()->Decode(data.data(), data.size())->tag == 0xdeadbeef);
}

Test(PacketHeader, ResetComesFromTheServiceAndIsNearTheClientsPlace)
{
  const auto data = OpeningBytes();
  auto packet = *Codec()->Decode(data.data(), data.size());
  packet.acknowledgement = 0x01020304;
  const auto reset = Codec()->MakeReset(packet);
  cr_assert(reset ==
            FromHex("c0 00 02 09 9c 41 c6 33 64 05 01 bb 00 00 00 00 00 00 00 "
                    "00 01 00 00 00 00 00 01 02 03 04 00 00 00 00 "));
}

Test(PacketHeader, RefusesWhatNoClientSends)
{
  const auto codec = Codec();
  const auto refused = [&codec](std::string aData) {
    return !codec->Decode(aData.data(), aData.size()).has_value();
  };
  auto data = OpeningBytes();
  cr_assert(refused(data.substr(0, 33)), "truncated header");
  cr_assert(refused(data + "x"), "more data than the length field states");
  cr_assert(refused(std::string()), "empty datagram");
  data[20] = 0x50;
  cr_assert(refused(data), "opening and acknowledging, as in a host's answer");
  data[20] = 0x11;
  cr_assert(refused(data), "opening and reset");
  data[20] = 0x42;
  cr_assert(refused(data), "bounced flag");
  data[20] = static_cast<char>(0xc0);
  cr_assert(refused(data), "unknown flag");
  data[20] = 0x40;
  data[24] = 0x04;
  data[25] = static_cast<char>(0xb1);
  cr_assert(refused(data + std::string(1201, 'x')),
            "more than 1200 bytes of data");
}

Test(PacketHeader, PrefixIsTheNumberInTheId)
{
  const auto codec = Codec();
  const TargetPrefix expected{ 0, 0, 0, 0, 0x7f, '\x3a', '\x91', '\xc2' };
  cr_assert(codec->PrefixOf("i-7f3a91c2") == expected);
  cr_assert(!codec->PrefixOf("i-"));
  cr_assert(!codec->PrefixOf("i-0"), "prefix 0 matches any host");
  cr_assert(!codec->PrefixOf("i-xyz"));
  cr_assert(!codec->PrefixOf("i-00112233445566778"), "more than eight bytes");
}
