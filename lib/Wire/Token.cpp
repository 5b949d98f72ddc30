// Flow tokens: a msgpack array followed by a keyed BLAKE2b authentication code.

#include "bramleylock/Wire/Token.h"

#include <msgpack.hpp>
#include <sodium.h>

#include <cassert>

namespace bramleylock::wire {

static constexpr std::size_t kMacBytes = 16;
static constexpr std::uint32_t kTokenFieldCount = 7;

using Mac = std::array<unsigned char, kMacBytes>;

static auto ComputeMac(const char* aData, std::size_t aSize,
                       std::uint64_t aFlow, const SigningKey& aKey) -> Mac
{
  Mac mac{};
  crypto_generichash_state state;
  crypto_generichash_init(&state, aKey.data(), aKey.size(), mac.size());
  crypto_generichash_update(
    &state, reinterpret_cast<const unsigned char*>(aData), aSize);
  std::array<unsigned char, sizeof aFlow> flow{};
  for (std::size_t i = 0; i < flow.size(); ++i) {
    flow[i] = static_cast<unsigned char>(aFlow >> (8 * i));
  }
  crypto_generichash_update(&state, flow.data(), flow.size());
  crypto_generichash_final(&state, mac.data(), mac.size());
  return mac;
}

auto KeyRing::Add(std::uint32_t aId, const SigningKey& aKey) -> void
{
  m_keys[aId] = aKey;
}

auto KeyRing::Remove(std::uint32_t aId) -> void
{
  m_keys.erase(aId);
}

auto KeyRing::Empty() const -> bool
{
  return m_keys.empty();
}

auto KeyRing::Keys() const -> const std::map<std::uint32_t, SigningKey>&
{
  return m_keys;
}

auto KeyRing::SelectSigningKey(std::uint32_t aId) -> void
{
  assert(m_keys.contains(aId));
  m_signing = aId;
}

auto KeyRing::SigningKeyId() const -> std::uint32_t
{
  if (m_keys.empty()) {
    return 0;
  }
  return m_keys.contains(m_signing) ? m_signing : m_keys.begin()->first;
}

auto KeyRing::NewestKeyId() const -> std::uint32_t
{
  return m_keys.empty() ? 0 : m_keys.rbegin()->first;
}

auto KeyRing::Sign(const FlowToken& aToken, std::uint64_t aFlow) const
  -> std::string
{
  assert(!m_keys.empty());
  const auto& [id, key] = *m_keys.find(SigningKeyId());
  msgpack::sbuffer buffer(128);
  msgpack::packer<msgpack::sbuffer> packer(buffer);
  packer.pack_array(kTokenFieldCount);
  packer.pack(id);
  packer.pack(aToken.service);
  packer.pack(aToken.failureDomain);
  packer.pack(aToken.target);
  packer.pack(aToken.owner);
  packer.pack(aToken.ownerIncarnation);
  packer.pack(aToken.listsRevision);
  const auto mac = ComputeMac(buffer.data(), buffer.size(), aFlow, key);
  std::string text(buffer.data(), buffer.size());
  text.append(reinterpret_cast<const char*>(mac.data()), mac.size());
  return text;
}

auto KeyRing::Verify(const std::string& aText, std::uint64_t aFlow,
                     std::error_code& aError) const -> FlowToken
{
  FlowToken token;
  aError = TokenError::Forged;
  if (aText.size() <= kMacBytes) {
    return token;
  }
  const auto size = aText.size() - kMacBytes;
  try {
    const msgpack::unpack_limit limits(kTokenFieldCount, 0, 255, 0, 0, 1);
    const auto handle =
      msgpack::unpack(aText.data(), size, nullptr, nullptr, limits);
    const auto& body = handle.get();
    if (body.type != msgpack::type::ARRAY ||
        body.via.array.size != kTokenFieldCount) {
      return token;
    }
    const auto* field = body.via.array.ptr;
    const auto id = field[0].as<std::uint32_t>();
    const auto entry = m_keys.find(id);
    if (entry == m_keys.end()) {
      aError =
        id > NewestKeyId() ? TokenError::KeyNewer : TokenError::KeyUnknown;
      return token;
    }
    const auto mac = ComputeMac(aText.data(), size, aFlow, entry->second);
    if (sodium_memcmp(mac.data(), aText.data() + size, kMacBytes) != 0) {
      return token;
    }
    field[1].convert(token.service);
    field[2].convert(token.failureDomain);
    field[3].convert(token.target);
    field[4].convert(token.owner);
    field[5].convert(token.ownerIncarnation);
    field[6].convert(token.listsRevision);
  } catch (const std::exception&) {
    return token;
  }
  aError.clear();
  return token;
}

auto ClaimedKeyId(const std::string& aText) -> std::optional<std::uint32_t>
{
  try {
    const msgpack::unpack_limit limits(kTokenFieldCount, 0, 255, 0, 0, 1);
    const auto handle =
      msgpack::unpack(aText.data(), aText.size(), nullptr, nullptr, limits);
    const auto& body = handle.get();
    if (body.type != msgpack::type::ARRAY || body.via.array.size == 0) {
      return std::nullopt;
    }
    return body.via.array.ptr[0].as<std::uint32_t>();
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

auto KeyToHex(const SigningKey& aKey) -> std::string
{
  std::string text(aKey.size() * 2 + 1, '\0');
  sodium_bin2hex(text.data(), text.size(), aKey.data(), aKey.size());
  text.pop_back();
  return text;
}

auto KeyFromHex(const std::string& aText, SigningKey& aKey) -> bool
{
  std::size_t length = 0;
  const int failed = sodium_hex2bin(aKey.data(), aKey.size(), aText.data(),
                                    aText.size(), nullptr, &length, nullptr);
  return failed == 0 && length == aKey.size();
}

auto GenerateSigningKey() -> SigningKey
{
  SigningKey key{};
  randombytes_buf(key.data(), key.size());
  return key;
}

} // namespace bramleylock::wire
