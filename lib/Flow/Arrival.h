// A packet on its way through the dispatcher.
#pragma once

#include "bramleylock/Flow/Dispatcher.h"

namespace bramleylock::flow {

/// How often one packet may be passed on, which ends every loop.
inline constexpr std::uint32_t kHopLimit = 4;

/// A packet on its way through the dispatcher.
struct Dispatcher::Arrival
{
  const char* data = nullptr;
  std::size_t size = 0;
  Udp::endpoint caller;
  /// How often peers have passed it on.
  std::uint32_t hops = 0;
  wire::Packet packet;
  wire::FlowToken token;
  std::string plan;
  lists::Work work;
};

} // namespace bramleylock::flow
