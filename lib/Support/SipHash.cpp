// SipHash from libsodium: cheap, as a rendezvous order may need hundreds.

#include "bramleylock/Support/SipHash.h"

#include <sodium.h>

#include <array>
#include <cstring>

namespace bramleylock {

auto SipHash(const std::string& aText) -> std::uint64_t
{
  static constexpr std::array<unsigned char, crypto_shorthash_KEYBYTES> kKey{};
  std::array<unsigned char, crypto_shorthash_BYTES> bytes{};
  crypto_shorthash(bytes.data(),
                   reinterpret_cast<const unsigned char*>(aText.data()),
                   aText.size(), kKey.data());
  std::uint64_t hash = 0;
  std::memcpy(&hash, bytes.data(), sizeof hash);
  return hash;
}

} // namespace bramleylock
