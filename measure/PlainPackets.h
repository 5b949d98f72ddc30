// A trivial packet codec for simulations and tests of the forwarding path,
// whose decoding cost is negligible.
#pragma once

#include <cstring>
#include <string>

#include "bramleylock/Forward/Packet.h"

namespace bramleylock::forward {

/// Encodes a packet as the bytes of the Packet structure.
class PlainCodec : public PacketCodec
{
public:
  auto Decode(const char* aData, std::size_t aSize) const
    -> std::optional<Packet> override
  {
    if (aSize != sizeof(Packet)) {
      return std::nullopt;
    }
    Packet packet;
    std::memcpy(&packet, aData, sizeof packet);
    return packet;
  }

  auto SetTag(char* aData, TargetTag aTag) const -> void override
  {
    Packet packet;
    std::memcpy(&packet, aData, sizeof packet);
    packet.tag = aTag;
    std::memcpy(aData, &packet, sizeof packet);
  }

  auto MakeReset(const Packet& aPacket) const -> std::string override
  {
    auto reset = aPacket;
    reset.resets = true;
    return Bytes(reset);
  }

  auto PrefixOf(const std::string& aTargetId) const
    -> std::optional<TargetPrefix> override
  {
    return aTargetId.empty() ? std::nullopt
                             : std::make_optional(TargetPrefix{ aTargetId[0] });
  }

  static auto Bytes(const Packet& aPacket) -> std::string
  {
    return { reinterpret_cast<const char*>(&aPacket), sizeof aPacket };
  }
};

/// Returns the first packet of a client's flow from aPort to aService.
inline auto MakeOpening(std::uint16_t aPort, const Address& aService) -> Packet
{
  Packet packet;
  packet.flow = { { 0x64400007, aPort }, aService };
  packet.opens = true;
  packet.sequence = 1000;
  return packet;
}

/// Returns the first packet that the client sends after a target answered
/// aOpening with aTag.
inline auto MakeFollowing(Packet aOpening, TargetTag aTag,
                          std::uint32_t aAcknowledgement = 500) -> Packet
{
  aOpening.opens = false;
  aOpening.tag = aTag;
  ++aOpening.sequence;
  aOpening.acknowledgement = aAcknowledgement;
  return aOpening;
}

} // namespace bramleylock::forward
