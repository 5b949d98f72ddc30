// Packets of flows, which the balancer forwards without interpreting their
// payload.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "bramleylock/Support/Asio.h"
#include "bramleylock/Support/Registry.h"

namespace bramleylock::forward {

/// An IPv4 address and port, in host byte order.
struct Address
{
  std::uint32_t ip = 0;
  std::uint16_t port = 0;
  auto operator==(const Address&) const -> bool = default;
  auto operator<(const Address& aOther) const -> bool
  {
    return ip != aOther.ip ? ip < aOther.ip : port < aOther.port;
  }
};

struct AddressHash
{
  auto operator()(const Address& aAddress) const -> std::size_t
  {
    return std::hash<std::uint64_t>{}(std::uint64_t{ aAddress.ip } << 16 |
                                      aAddress.port);
  }
};

/// Parses "ip:port"; returns nothing for any other text.
auto ParseAddress(const std::string& aText) -> std::optional<Address>;
auto FormatAddress(const Address& aAddress) -> std::string;

/// Identifies a flow by its two ends as seen by the client.
struct FlowId
{
  Address client;
  /// The address of a route.
  Address service;
  auto operator==(const FlowId&) const -> bool = default;
};

/// Formats a flow as "client>service", the form used in the logs of clients and
/// targets.
auto FormatFlow(const FlowId& aFlow) -> std::string;

struct FlowIdHash
{
  auto operator()(const FlowId& aFlow) const -> std::size_t;
};

/// Identifies one incarnation of a target in the packets of its flows; 0 means
/// no target.
using TargetTag = std::uint32_t;

/// Time after which a client gives up a first packet and all its copies.
inline constexpr Milliseconds kFirstPacketLifetime{ 1400 };

/// Clients repeat a packet 200 ms after its first sending if it is not
/// acknowledged. A copy that arrives sooner was delayed on its way or in this
/// machine's socket.
inline constexpr Milliseconds kMinRepetitionDelay{ 150 };

/// Returns the tag that a first packet with aSequence carries for the target
/// with aTag. Applied to that tag, returns aTag again. A client that repeats
/// the tag in a later packet has received an answer to a first packet last,
/// which may be a late one of a target that does not hold the flow.
auto OpeningTag(TargetTag aTag, std::uint32_t aSequence) -> TargetTag;

/// The header fields of a client's packet that the balancer uses.
struct Packet
{
  FlowId flow;
  /// The tag that the client received last on this flow.
  TargetTag tag = 0;
  bool opens = false;
  bool ends = false;
  bool resets = false;
  bool carriesData = false;
  std::uint32_t sequence = 0;
  /// In a packet that opens a flow: the number of the copy, starting at 0.
  std::uint32_t acknowledgement = 0;
};

/// Identifies a target to the host that receives the packets.
using TargetPrefix = std::array<char, 8>;

/// Decodes and modifies the header of forwarded packets.
class PacketCodec
{
public:
  virtual ~PacketCodec() = default;

  /// Decodes a packet header; returns nothing if the datagram is not a valid
  /// client packet.
  virtual auto Decode(const char* aData, std::size_t aSize) const
    -> std::optional<Packet> = 0;

  /// Writes aTag into a packet that Decode accepted.
  virtual auto SetTag(char* aData, TargetTag aTag) const -> void = 0;

  /// Returns a packet that resets the flow of aPacket at the client.
  virtual auto MakeReset(const Packet& aPacket) const -> std::string = 0;

  /// Returns the prefix of packets to the target aTargetId, or nothing if the
  /// id cannot be encoded as a prefix.
  virtual auto PrefixOf(const std::string& aTargetId) const
    -> std::optional<TargetPrefix> = 0;
};

using PacketCodecRegistry = Registry<PacketCodec>;

/// Maximum size of a packet in bytes; larger datagrams are truncated and
/// rejected.
inline constexpr std::size_t kMaxPacketBytes = 2048;

} // namespace bramleylock::forward
