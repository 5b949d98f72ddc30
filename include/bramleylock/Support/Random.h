// Pseudo-random and secure random numbers, hashes and identifiers.
#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace bramleylock {

/// Pseudo-random engine for decisions that need not be unpredictable.
using Random = std::mt19937_64;

/// Returns a cryptographically secure random number from the operating system.
auto SecureRandomNumber() -> std::uint64_t;

/// Returns a cryptographically secure random identifier of 32 hexadecimal
/// digits.
auto SecureRandomIdentifier() -> std::string;

/// Returns an incarnation number for this start of the process. It consists of
/// the wall-clock time and random bits, so later starts get higher numbers.
auto NewIncarnation() -> std::uint64_t;

/// Returns the wall-clock time in milliseconds since the Unix epoch.
auto UnixTimeMs() -> std::uint64_t;

/// Returns the 256-bit BLAKE2b hash of aText in hexadecimal digits.
auto Blake2bHex(const std::string& aText) -> std::string;

/// Compares two secrets in a time that depends only on their lengths, so that
/// the time does not reveal where they differ.
auto ConstantTimeEqual(const std::string& aLeft, const std::string& aRight)
  -> bool;

} // namespace bramleylock
