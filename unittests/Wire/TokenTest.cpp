// Signing of flow tokens, and tokens that must be rejected.

#include "bramleylock/Wire/Token.h"

#include <criterion/criterion.h>

using namespace bramleylock::wire;

static auto MakeKeyRing(std::uint32_t aId, unsigned char aFill) -> KeyRing
{
  KeyRing ring;
  SigningKey key{};
  key.fill(aFill);
  ring.Add(aId, key);
  return ring;
}

static auto VerificationError(const KeyRing& aRing, const std::string& aText,
                              std::uint64_t aFlow) -> std::error_code
{
  std::error_code error;
  aRing.Verify(aText, aFlow, error);
  return error;
}

Test(Token, SignedTokenKeepsItsFields)
{
  const auto ring = MakeKeyRing(1, 7);
  const FlowToken token{
    "provas", "braga", "127.0.0.1:1", "127.0.0.1:2", 5, 6
  };
  std::error_code error;
  const auto verified = ring.Verify(ring.Sign(token, 9), 9, error);
  cr_assert(!error);
  cr_assert(verified.service == token.service);
  cr_assert(verified.owner == token.owner);
  cr_assert(verified.ownerIncarnation == token.ownerIncarnation);
}

Test(Token, TokenOfAnotherFlowIsForged)
{
  const auto ring = MakeKeyRing(1, 7);
  cr_assert(VerificationError(ring, ring.Sign({}, 9), 10) ==
            TokenError::Forged);
}

Test(Token, TokenOfAnotherKeyIsForged)
{
  const auto text = MakeKeyRing(1, 7).Sign({}, 9);
  cr_assert(VerificationError(MakeKeyRing(1, 8), text, 9) ==
            TokenError::Forged);
}

Test(Token, TokenOfARemovedKeyIsAnUnknownKeyError)
{
  const auto text = MakeKeyRing(1, 7).Sign({}, 9);
  cr_assert(VerificationError(MakeKeyRing(2, 7), text, 9) ==
            TokenError::KeyUnknown);
}

Test(Token, EveryTruncationIsForged)
{
  const auto ring = MakeKeyRing(1, 7);
  const auto text = ring.Sign({ "service", "", "", "", 1, 1 }, 9);
  for (std::size_t size = 0; size < text.size(); ++size) {
    cr_assert(VerificationError(ring, text.substr(0, size), 9) ==
                TokenError::Forged,
              "size %zu", size);
  }
}

Test(Token, NewKeySignsOnlyWhenSelected)
{
  auto ring = MakeKeyRing(1, 7);
  const auto ringWithOldKey = MakeKeyRing(1, 7);
  ring.Add(2, SigningKey{});
  cr_assert(!VerificationError(ringWithOldKey, ring.Sign({}, 9), 9));
  ring.SelectSigningKey(2);
  cr_assert(VerificationError(ringWithOldKey, ring.Sign({}, 9), 9) ==
            TokenError::KeyNewer);
}
