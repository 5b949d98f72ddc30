// Fuzzes token verification: input that was not signed with the key must be
// rejected.

#include "bramleylock/Wire/Token.h"

#include <sodium.h>

#include <cstdlib>

using namespace bramleylock::wire;

static auto MakeKeyRing() -> KeyRing
{
  if (sodium_init() < 0) {
    std::abort();
  }
  KeyRing keyRing;
  SigningKey key{};
  key.fill(7);
  keyRing.Add(1, key);
  return keyRing;
}

extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t* aData,
                                       std::size_t aSize) -> int
{
  static const KeyRing keyRing = MakeKeyRing();
  const std::string input(reinterpret_cast<const char*>(aData), aSize);
  std::error_code error;
  keyRing.Verify(input, 1, error);
  if (!error) {
    std::abort();
  }
  // A signed token in which any byte was changed must also be rejected.
  auto signedToken = keyRing.Sign(FlowToken{ "service", "", "", "", 1, 1 }, 1);
  if (aSize >= 2) {
    const auto position = aData[0] % signedToken.size();
    signedToken[position] = static_cast<char>(signedToken[position] ^ aData[1]);
    keyRing.Verify(signedToken, 1, error);
    if (!error && aData[1] != 0) {
      std::abort();
    }
  }
  return 0;
}
