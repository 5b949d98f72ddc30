// Packets of flows that the balancer forwards without reading their contents.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

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

/// "ip:port"; nothing for any other text.
auto ParseAddress(const std::string& aText) -> std::optional<Address>;
auto FormatAddress(const Address& aAddress) -> std::string;

/// The two ends of a flow as its client sees them.
struct FlowId
{
  Address client;
  /// The address of a route.
  Address service;
  auto operator==(const FlowId&) const -> bool = default;
};

/// "client>service", by which a flow is found in the logs of clients and
/// targets.
auto FormatFlow(const FlowId& aFlow) -> std::string;

struct FlowIdHash
{
  auto operator()(const FlowId& aFlow) const -> std::size_t;
};

/// Names one incarnation of a target in the packets of its flows; 0 is none.
using TargetTag = std::uint32_t;

/// What a balancer reads of a client's packet.
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
  /// Counts the copies where the packet opens a flow.
  std::uint32_t acknowledgement = 0;
};

/// Identifies a target to the machine that receives its packets.
using TargetPrefix = std::array<char, 8>;

/// Reads and writes the header of forwarded packets.
class PacketCodec
{
public:
  virtual ~PacketCodec() = default;

  /// Nothing for a datagram that no client sends in this form.
  virtual auto Decode(const char* aData, std::size_t aSize) const
    -> std::optional<Packet> = 0;

  /// Writes aTag into a packet that Decode accepted.
  virtual auto SetTag(char* aData, TargetTag aTag) const -> void = 0;

  /// A packet that tells the client of aPacket that its flow is over.
  virtual auto MakeReset(const Packet& aPacket) const -> std::string = 0;

  /// What precedes a packet to the target called aTargetId, or nothing when
  /// the name is not one that packets can carry.
  virtual auto PrefixOf(const std::string& aTargetId) const
    -> std::optional<TargetPrefix> = 0;
};

using PacketCodecRegistry = Registry<PacketCodec>;

/// The largest datagram that can be a packet; larger ones are cut and refused.
inline constexpr std::size_t kLargestPacket = 2048;

} // namespace bramleylock::forward
