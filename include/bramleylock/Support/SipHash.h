// Keyed 64-bit hash that is the same in every process.
#pragma once

#include <cstdint>
#include <string>

namespace bramleylock {

/// Returns the SipHash of aText under a fixed key. It is the same on every
/// balancer and is not secret.
auto SipHash(const std::string& aText) -> std::uint64_t;

} // namespace bramleylock
