// A hash that every process computes alike.
#pragma once

#include <cstdint>
#include <string>

namespace bramleylock {

/// SipHash of aText under a fixed key: the same on every balancer, and no
/// secret.
auto ShortHash(const std::string& aText) -> std::uint64_t;

} // namespace bramleylock
