// Authorization of request packets against the plan and service lists.
#pragma once

#include <string>

#include "bramleylock/Flow/Environment.h"

namespace bramleylock::flow {

/// The result of an authorization check.
struct Authorization
{
  /// Reason::None if the request is allowed.
  wire::Reason refusal = wire::Reason::None;
  std::string plan;
  lists::Work work;
};

/// Checks aPacket's credential, service, work and size against the lists in
/// force.
auto Authorize(const Environment& aEnvironment, const wire::Packet& aPacket)
  -> Authorization;

} // namespace bramleylock::flow
