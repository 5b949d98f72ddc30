// Signed tokens that route the packets of a flow to its owner.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <system_error>

#include "bramleylock/Support/Errors.h"
#include "bramleylock/Support/Names.h"

namespace bramleylock::wire {

/// The fields of a flow token.
struct FlowToken
{
  std::string service;
  std::string failureDomain;
  /// "ip:port" of the target; empty until one is chosen.
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
  { TokenError::Forged, "token is malformed or its signature is invalid" },
  { TokenError::KeyUnknown, "token is signed with an unknown key" },
  { TokenError::KeyNewer, "token is signed with a newer key than is known" },
} };

/// A secret key of 32 bytes.
using SigningKey = std::array<unsigned char, 32>;

/// The keys that sign and verify tokens. Old keys stay valid for verification
/// until they are removed.
class KeyRing
{
public:
  /// Adds or replaces a key.
  auto Add(std::uint32_t aId, const SigningKey& aKey) -> void;
  auto Remove(std::uint32_t aId) -> void;
  auto Empty() const -> bool;
  auto Keys() const -> const std::map<std::uint32_t, SigningKey>&;

  /// Selects the key that signs. It must have been added.
  auto SelectSigningKey(std::uint32_t aId) -> void;

  /// Id of the key that signs: the selected one, or the oldest if none is
  /// selected. 0 if there are no keys.
  auto SigningKeyId() const -> std::uint32_t;

  /// The highest key id, 0 if there are no keys.
  auto NewestKeyId() const -> std::uint32_t;

  /// Signs a token of flow aFlow with the key SigningKeyId(). There must be a
  /// key.
  auto Sign(const FlowToken& aToken, std::uint64_t aFlow) const -> std::string;

  /// Parses and verifies a token of flow aFlow. On failure sets aError to a
  /// TokenError.
  auto Verify(const std::string& aText, std::uint64_t aFlow,
              std::error_code& aError) const -> FlowToken;

private:
  std::map<std::uint32_t, SigningKey> m_keys;
  std::uint32_t m_signing = 0;
};

/// Returns the id of the key that aText claims to be signed with; nothing if it
/// is not a token.
auto ClaimedKeyId(const std::string& aText) -> std::optional<std::uint32_t>;

/// Formats a key as hexadecimal digits.
auto KeyToHex(const SigningKey& aKey) -> std::string;

/// Parses the format of KeyToHex; returns false when aText is not a valid key.
auto KeyFromHex(const std::string& aText, SigningKey& aKey) -> bool;

/// Generates a random key.
auto GenerateSigningKey() -> SigningKey;

} // namespace bramleylock::wire

BRAMLEYLOCK_ERROR_ENUM(bramleylock::wire, TokenError, kTokenErrorNames,
                       "bramleylock.token");
