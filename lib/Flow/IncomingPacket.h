// A received packet while the dispatcher processes it.
#pragma once

#include "bramleylock/Flow/Dispatcher.h"

namespace bramleylock::flow {

/// How many times one packet may be forwarded between balancers; bounds
/// forwarding loops.
inline constexpr std::uint32_t kMaxHops = 4;

/// A received packet with what the dispatcher has decoded and verified of it.
struct Dispatcher::IncomingPacket
{
  const char* data = nullptr;
  std::size_t size = 0;
  Udp::endpoint caller;
  /// How many times peers have forwarded the packet.
  std::uint32_t hops = 0;
  wire::Packet packet;
  wire::FlowToken token;
  std::string plan;
  lists::Work work;
};

} // namespace bramleylock::flow
