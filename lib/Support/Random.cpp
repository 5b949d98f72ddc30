// Secure random identifiers, hashes and secret comparison with libsodium.

#include "bramleylock/Support/Random.h"

#include <sodium.h>

#include <array>
#include <chrono>

namespace bramleylock {

/// Number of random low-order bits in an incarnation number. They distinguish
/// two starts within one millisecond.
static constexpr int kIncarnationRandomBits = 20;

static auto ToHex(const unsigned char* aBytes, std::size_t aSize) -> std::string
{
  std::string text(aSize * 2 + 1, '\0');
  sodium_bin2hex(text.data(), text.size(), aBytes, aSize);
  text.pop_back();
  return text;
}

auto SecureRandomNumber() -> std::uint64_t
{
  std::uint64_t number = 0;
  randombytes_buf(&number, sizeof number);
  return number;
}

auto SecureRandomIdentifier() -> std::string
{
  std::array<unsigned char, 16> bytes{};
  randombytes_buf(bytes.data(), bytes.size());
  return ToHex(bytes.data(), bytes.size());
}

auto UnixTimeMs() -> std::uint64_t
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

auto NewIncarnation() -> std::uint64_t
{
  const auto random =
    SecureRandomNumber() & ((1U << kIncarnationRandomBits) - 1);
  return (UnixTimeMs() << kIncarnationRandomBits) | random;
}

auto Blake2bHex(const std::string& aText) -> std::string
{
  std::array<unsigned char, crypto_generichash_BYTES> hash{};
  crypto_generichash(hash.data(), hash.size(),
                     reinterpret_cast<const unsigned char*>(aText.data()),
                     aText.size(), nullptr, 0);
  return ToHex(hash.data(), hash.size());
}

auto ConstantTimeEqual(const std::string& aLeft, const std::string& aRight)
  -> bool
{
  if (aLeft.size() != aRight.size()) {
    return false;
  }
  return sodium_memcmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

} // namespace bramleylock
