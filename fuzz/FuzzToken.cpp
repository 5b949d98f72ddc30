// Fuzzes token verification: input that was not signed with the key must be
// rejected.

#include "bramleylock/Wire/Token.h"

#include <sodium.h>

#include <cstdlib>

using namespace bramleylock::wire;

static auto MakeRing() -> KeyRing
{
  if (sodium_init() < 0) {
    std::abort();
  }
  KeyRing ring;
  SigningKey key{};
  key.fill(7);
  ring.Add(1, key);
  return ring;
}

extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t* aData,
                                       std::size_t aSize) -> int
{
  static const KeyRing ring = MakeRing();
  const std::string text(reinterpret_cast<const char*>(aData), aSize);
  std::error_code error;
  ring.Verify(text, 1, error);
  if (!error) {
    std::abort();
  }
  // A signed token in which any byte was changed must also be rejected.
  auto signedToken = ring.Sign(FlowToken{ "service", "", "", "", 1, 1 }, 1);
  if (aSize >= 2) {
    const auto position = aData[0] % signedToken.size();
    signedToken[position] = static_cast<char>(signedToken[position] ^ aData[1]);
    ring.Verify(signedToken, 1, error);
    if (!error && aData[1] != 0) {
      std::abort();
    }
  }
  return 0;
}
