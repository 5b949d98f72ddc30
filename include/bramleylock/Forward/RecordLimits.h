// Limits on the numbers in target records that other programs wrote.
#pragma once

#include "bramleylock/Forward/TargetDirectory.h"

namespace bramleylock::forward {

/// Limit on the slots of a target. Each slot serves a flow, and a target has
/// fewer ports than this.
inline constexpr std::uint32_t kMaxSlots = 65536;

/// Start times from this one on are in the year 10889, or are not in
/// milliseconds. No later start of a target with such a time could replace it.
inline constexpr std::uint64_t kIncarnationLimit = 1ULL << 48U;

/// Returns whether the numbers of aRecord are within their ranges.
inline auto IsInRange(const TargetRecord& aRecord) -> bool
{
  return aRecord.port != 0 && aRecord.slots > 0 && aRecord.slots <= kMaxSlots &&
         aRecord.incarnation < kIncarnationLimit;
}

} // namespace bramleylock::forward
