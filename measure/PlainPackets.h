// Packets that cost nothing to read, for models and tests of the forwarding
// path.
#pragma once

#include <cstring>
#include <string>

#include "bramleylock/Forward/Packet.h"

namespace bramleylock::forward {

/// A packet is a Packet as it lies in memory.
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

/// A client's first packet, from aPort.
inline auto MakeOpening(std::uint16_t aPort, const Address& aService) -> Packet
{
  Packet packet;
  packet.flow = { { 0x64400007, aPort }, aService };
  packet.opens = true;
  packet.sequence = 1000;
  return packet;
}

/// What the client sends after a target answered.
inline auto MakeFollowing(Packet aOpening, TargetTag aTag,
                          std::uint32_t aAcknowledgement = 500) -> Packet
{
  aOpening.opens = false;
  aOpening.tag = aTag;
  aOpening.acknowledgement = aAcknowledgement;
  return aOpening;
}

} // namespace bramleylock::forward
