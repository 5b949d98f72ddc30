// Encoding and decoding of caller datagrams.

#include "bramleylock/Wire/Packet.h"

#include <msgpack.hpp>

#include <cassert>

namespace bramleylock::wire {

/// Number of header fields. docs/CALLERS.md defines their order.
static constexpr std::uint32_t kHeaderFieldCount = 14;

/// The most missing parts listed in one acknowledgement.
static constexpr std::size_t kMaxMissingParts = 64;

/// Unpacking limits, which bound the memory that the decoder allocates for a
/// malicious header.
static auto HeaderUnpackLimits() -> msgpack::unpack_limit
{
  return { kMaxMissingParts, 0, kMaxPacketBytes, kMaxPacketBytes, 0, 3 };
}

auto Encode(const Packet& aPacket) -> std::string
{
  assert(aPacket.missing.size() <= kMaxMissingParts);
  msgpack::sbuffer buffer(kMaxPacketBytes);
  msgpack::packer<msgpack::sbuffer> packer(buffer);
  packer.pack_array(kHeaderFieldCount);
  packer.pack(kProtocolVersion);
  packer.pack(static_cast<std::uint32_t>(aPacket.type));
  packer.pack(aPacket.service);
  packer.pack(aPacket.credential);
  packer.pack(aPacket.work);
  packer.pack(aPacket.flow);
  packer.pack(aPacket.sequence);
  packer.pack(aPacket.part);
  packer.pack(aPacket.parts);
  packer.pack(aPacket.deadlineMs);
  packer.pack(aPacket.code);
  packer.pack(aPacket.retryAfterMs);
  packer.pack(aPacket.answerTag);
  packer.pack_array(2);
  packer.pack_bin(static_cast<std::uint32_t>(aPacket.token.size()));
  packer.pack_bin_body(aPacket.token.data(),
                       static_cast<std::uint32_t>(aPacket.token.size()));
  packer.pack(aPacket.missing);
  buffer.write(aPacket.payload.data(), aPacket.payload.size());
  return { buffer.data(), buffer.size() };
}

static auto ReadHeader(const msgpack::object& aHeader, Packet& aPacket)
  -> PacketError
{
  if (aHeader.type != msgpack::type::ARRAY || aHeader.via.array.size == 0) {
    return PacketError::Malformed;
  }
  const auto* field = aHeader.via.array.ptr;
  if (field[0].as<std::uint32_t>() != kProtocolVersion) {
    return PacketError::Version;
  }
  if (aHeader.via.array.size != kHeaderFieldCount) {
    return PacketError::Malformed;
  }
  const auto type = field[1].as<std::uint32_t>();
  if (type >= kPacketTypeNames.size()) {
    return PacketError::Malformed;
  }
  aPacket.type = static_cast<PacketType>(type);
  field[2].convert(aPacket.service);
  field[3].convert(aPacket.credential);
  field[4].convert(aPacket.work);
  field[5].convert(aPacket.flow);
  field[6].convert(aPacket.sequence);
  field[7].convert(aPacket.part);
  field[8].convert(aPacket.parts);
  field[9].convert(aPacket.deadlineMs);
  field[10].convert(aPacket.code);
  field[11].convert(aPacket.retryAfterMs);
  field[12].convert(aPacket.answerTag);
  const auto& tokenAndMissing = field[13];
  if (tokenAndMissing.type != msgpack::type::ARRAY ||
      tokenAndMissing.via.array.size != 2) {
    return PacketError::Malformed;
  }
  const auto& token = tokenAndMissing.via.array.ptr[0];
  if (token.type != msgpack::type::BIN) {
    return PacketError::Malformed;
  }
  aPacket.token.assign(token.via.bin.ptr, token.via.bin.size);
  tokenAndMissing.via.array.ptr[1].convert(aPacket.missing);
  return PacketError{};
}

auto Decode(const char* aData, std::size_t aSize, std::error_code& aError)
  -> Packet
{
  Packet packet;
  if (aSize > kMaxPacketBytes) {
    aError = PacketError::Oversized;
    return packet;
  }
  try {
    std::size_t offset = 0;
    const auto handle = msgpack::unpack(aData, aSize, offset, nullptr, nullptr,
                                        HeaderUnpackLimits());
    const auto failure = ReadHeader(handle.get(), packet);
    if (failure != PacketError{}) {
      aError = failure;
      return packet;
    }
    packet.payload.assign(aData + offset, aSize - offset);
  } catch (const std::exception&) {
    // msgpack reports all malformed input by exceptions of its own.
    aError = PacketError::Malformed;
    return packet;
  }
  aError.clear();
  return packet;
}

} // namespace bramleylock::wire
