// Signed tokens that route the packets of a flow to its owner.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <system_error>

#include "bramleylock/Support/Errors.h"
#include "bramleylock/Support/Names.h"

namespace bramleylock::wire {

/// What a token says about its flow.
struct FlowToken
{
  std::string service;
  std::string failureDomain;
  /// "ip:port" of the target, empty while none is chosen.
  std::string target;
  /// "ip:port" of the owner's peer listener.
  std::string owner;
  std::uint64_t ownerIncarnation = 0;
  std::uint64_t listsRevision = 0;
};

enum class TokenError
{
  Forged = 1,
  KeyUnknown,
  KeyNewer
};

inline constexpr std::array<NameRow<TokenError>, 3> kTokenErrorNames{ {
  { TokenError::Forged, "token is malformed or its signature is wrong" },
  { TokenError::KeyUnknown, "token is signed with a key not known here" },
  { TokenError::KeyNewer, "token is signed with a key that is yet to come" },
} };

/// A secret key of 32 bytes.
using SigningKey = std::array<unsigned char, 32>;

/// The keys that sign tokens; old ones stay valid until they are removed.
class KeyRing
{
public:
  /// Adds or replaces a key.
  auto Add(std::uint32_t aId, const SigningKey& aKey) -> void;
  auto Remove(std::uint32_t aId) -> void;
  auto Empty() const -> bool;
  auto Keys() const -> const std::map<std::uint32_t, SigningKey>&;

  /// Chooses the key that signs; it must be there.
  auto SignWith(std::uint32_t aId) -> void;

  /// The key that signs: the chosen one, or the oldest. 0 without keys.
  auto Signing() const -> std::uint32_t;

  /// The highest id, 0 without keys.
  auto Newest() const -> std::uint32_t;

  /// Signs with the key Signing(); there must be one.
  auto Sign(const FlowToken& aToken, std::uint64_t aFlow) const -> std::string;

  /// Parses and checks a token of flow aFlow; aError is a TokenError.
  auto Verify(const std::string& aText, std::uint64_t aFlow,
              std::error_code& aError) const -> FlowToken;

private:
  std::map<std::uint32_t, SigningKey> m_keys;
  std::uint32_t m_signing = 0;
};

/// Serializes a key as hexadecimal digits.
auto KeyToHex(const SigningKey& aKey) -> std::string;

/// Reads what KeyToHex wrote; false when aText is no key.
auto KeyFromHex(const std::string& aText, SigningKey& aKey) -> bool;

/// A random key.
auto NewSigningKey() -> SigningKey;

} // namespace bramleylock::wire

BRAMLEYLOCK_ERROR_ENUM(bramleylock::wire, TokenError, kTokenErrorNames,
                       "bramleylock.token");
