// Random numbers: seeded ones for choices, unguessable ones for identities.
#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace bramleylock {

/// The engine behind choices that need not be secret.
using Random = std::mt19937_64;

/// An unguessable number from the operating system.
auto SecretNumber() -> std::uint64_t;

/// An unguessable identifier of 32 hexadecimal digits.
auto SecretIdentifier() -> std::string;

/// An incarnation number: later starts of a process get higher ones.
auto NewIncarnation() -> std::uint64_t;

/// Milliseconds since the Unix epoch.
auto WallMilliseconds() -> std::uint64_t;

/// The 256-bit BLAKE2b hash of aText as hexadecimal digits.
auto HashHex(const std::string& aText) -> std::string;

/// Compares two secrets in time that depends only on their lengths.
auto EqualSecrets(const std::string& aLeft, const std::string& aRight) -> bool;

} // namespace bramleylock
