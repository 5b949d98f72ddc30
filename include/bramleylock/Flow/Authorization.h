// What the lists allow a packet to ask for.
#pragma once

#include <string>

#include "bramleylock/Flow/Environment.h"

namespace bramleylock::flow {

/// What a request may do, when it is allowed.
struct Authorization
{
  /// None when the request is allowed.
  wire::Reason refusal = wire::Reason::None;
  std::string plan;
  lists::Work work;
};

/// Checks aPacket's credential, service and work against the lists in force.
auto Authorize(const Environment& aEnvironment, const wire::Packet& aPacket)
  -> Authorization;

} // namespace bramleylock::flow
