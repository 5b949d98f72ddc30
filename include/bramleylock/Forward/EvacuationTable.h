// Failure domains to which the operators allow no new flows.
#pragma once

#include <cstdint>
#include <string>

#include <msgpack.hpp>

#include "bramleylock/Forward/StoreRevision.h"

namespace bramleylock::forward {

/// Start or end of the evacuation of a failure domain.
struct EvacuationRecord
{
  std::string failureDomain;
  bool evacuated = false;
  /// Store revision of the operators' request, or of its removal.
  StoreRevision revision;
  /// Time since the request was first known to the balancers.
  std::uint32_t ageMs = 0;
  MSGPACK_DEFINE_ARRAY(failureDomain, evacuated, revision.number,
                       revision.generation, ageMs)
};

} // namespace bramleylock::forward
