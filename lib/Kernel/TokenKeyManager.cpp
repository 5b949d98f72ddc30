// Reads token keys from the store, exchanges them with peers and rotates them.

#include "bramleylock/Kernel/TokenKeyManager.h"

#include "bramleylock/Support/Json.h"
#include "bramleylock/Support/Log.h"

#include <algorithm>
#include <charconv>

namespace bramleylock::kernel {

using lists::StoreError;
using nlohmann::json;

static constexpr Milliseconds kStoreRetryInterval{ 500 };
static constexpr Milliseconds kStorePollInterval{ 5000 };
static constexpr Milliseconds kRotationCheckInterval{ 500 };

/// A balancer without keys waits this long for peers that report keys before it
/// creates the first one.
static constexpr Milliseconds kFirstKeyDelay{ 1000 };

/// Maximum number of keys in the store's document.
static constexpr std::size_t kMaxStoredKeys = 2;

TokenKeyManager::TokenKeyManager(asio::io_context& aContext,
                                 lists::PlatformStore& aStore,
                                 wire::KeyRing& aKeys, peer::PeerLinks& aLinks,
                                 peer::Membership& aMembers, Metrics& aMetrics,
                                 std::chrono::seconds aOverlap,
                                 Milliseconds aSettlingTime)
  : m_context(aContext)
  , m_store(aStore)
  , m_keys(aKeys)
  , m_links(aLinks)
  , m_members(aMembers)
  , m_metrics(aMetrics)
  , m_overlap(aOverlap)
  , m_settlingTime(aSettlingTime)
{
}

auto TokenKeyManager::Start() -> void
{
  m_startedAt = Clock::now();
  RegisterKeysHandler();
  Spawn(m_context, "keep-keys", PollStoreLoop());
  Spawn(m_context, "watch-peers-keys", RotationLoop());
}

auto TokenKeyManager::RegisterKeysHandler() -> void
{
  m_links.On(wire::MessageType::Keys,
             [this](const wire::Hello&, const std::string& aBody) {
               auto message = wire::UnpackBody<wire::KeysMessage>(aBody);
               if (!message) {
                 return;
               }
               for (const auto& [id, hexKey] : message->keys) {
                 InstallKey(id, hexKey);
               }
             });
}

auto TokenKeyManager::SendKeys(const std::string& aAddress) -> void
{
  wire::KeysMessage message;
  for (const auto& [id, key] : m_keys.Keys()) {
    message.keys.emplace_back(id, wire::KeyToHex(key));
  }
  m_links.SendMessage(aAddress, wire::MessageType::Keys, message);
}

auto TokenKeyManager::OnHeartbeat(const peer::Member& aMember) -> void
{
  // The balancer with the newer keys sends them, so no request is needed.
  if (aMember.latestHeartbeat.newestKeyId < NewestKey()) {
    SendKeys(aMember.address);
  }
}

auto TokenKeyManager::NewestKey() const -> std::uint32_t
{
  return m_keys.NewestKeyId();
}

auto TokenKeyManager::SigningKey() const -> std::uint32_t
{
  return m_keys.SigningKeyId();
}

auto TokenKeyManager::InstallKey(std::uint32_t aId, const std::string& aHexKey)
  -> void
{
  wire::SigningKey key{};
  if (aId < m_expiredBelow || m_keys.Keys().contains(aId) ||
      !wire::KeyFromHex(aHexKey, key)) {
    return;
  }
  const bool newest = aId > NewestKey();
  m_keys.Add(aId, key);
  if (newest) {
    m_newestInstalledAt = Clock::now();
    LogInfo("token-key", { { "id", std::to_string(aId) } });
    m_members.SendHeartbeats();
  }
}

/// Whether the store's document contains the newest key. It does not after the
/// store was restored to an older state.
auto TokenKeyManager::ContainsNewestKey(const std::string& aDocument) const
  -> bool
{
  const auto document = ParseForeignJson(aDocument);
  return !document.is_object() || m_keys.Empty() ||
         document.contains(std::to_string(NewestKey()));
}

auto TokenKeyManager::InstallKeys(const std::string& aDocument) -> void
{
  const auto document = ParseForeignJson(aDocument);
  if (!document.is_object()) {
    LogError("token-keys-invalid", {});
    return;
  }
  for (const auto& [id, hexKey] : document.items()) {
    std::uint32_t number = 0;
    const char* end = id.data() + id.size();
    const auto parsed = std::from_chars(id.data(), end, number);
    if (hexKey.is_string() && parsed.ec == std::errc() && parsed.ptr == end) {
      InstallKey(number, hexKey.get<std::string>());
    }
  }
}

/// Formats aKeys as the store's document.
static auto FormatKeys(const wire::KeyRing& aKeys) -> std::string
{
  auto document = json::object();
  for (const auto& [id, key] : aKeys.Keys()) {
    document[std::to_string(id)] = wire::KeyToHex(key);
  }
  return document.dump();
}

/// Whether peers report token keys. They may have keys although the store has
/// none, for example after the store was emptied. A second key with the same id
/// would make balancers reject each other's tokens.
auto TokenKeyManager::PeersHaveKeys() const -> bool
{
  const auto alive = m_members.AliveMembers();
  return std::any_of(alive.begin(), alive.end(), [](const auto& aMember) {
    return aMember.latestHeartbeat.newestKeyId > 0;
  });
}

auto TokenKeyManager::WriteKeys(std::uint64_t aExpected) -> awaitable<void>
{
  std::error_code error;
  auto document = FormatKeys(m_keys);
  if (m_keys.Empty()) {
    if (Clock::now() - m_startedAt < kFirstKeyDelay || PeersHaveKeys()) {
      co_return;
    }
    const json first{ { "1", wire::KeyToHex(wire::GenerateSigningKey()) } };
    document = first.dump();
  }
  // The store accepts the first writer only; the others read its keys at their
  // next poll.
  co_await m_store.CompareAndSwap(lists::kTokenKeysKey, aExpected,
                                  std::move(document), error);
}

auto TokenKeyManager::SetStoreReadCondition(std::function<bool()> aMayReadStore)
  -> void
{
  m_mayReadStore = std::move(aMayReadStore);
}

auto TokenKeyManager::PollStoreLoop() -> awaitable<void>
{
  for (;;) {
    if (m_mayReadStore && !m_mayReadStore()) {
      // Another balancer of the failure domain reads the store and sends new
      // keys over the peer links.
      co_await Sleep(kStoreRetryInterval);
      continue;
    }
    std::error_code error;
    const auto stored = co_await m_store.Get(lists::kTokenKeysKey, error);
    if (!error) {
      InstallKeys(stored.value);
    }
    const bool isOutdated = !error && !ContainsNewestKey(stored.value);
    if (error == StoreError::NotFound || isOutdated) {
      co_await WriteKeys(stored.revision);
    }
    co_await Sleep(error || isOutdated ? kStoreRetryInterval
                                       : kStorePollInterval);
  }
}

auto TokenKeyManager::RotationLoop() -> awaitable<void>
{
  for (;;) {
    co_await Sleep(kRotationCheckInterval);
    SwitchSigningKey();
    ExpireOldKeys();
  }
}

/// Returns whether every domain of aLowestKeys reports aKey or a newer one.
static auto AllReached(const std::map<std::string, std::uint32_t>& aLowestKeys,
                       std::uint32_t aKey) -> bool
{
  return std::all_of(
    aLowestKeys.begin(), aLowestKeys.end(),
    [aKey](const auto& aDomain) { return aDomain.second >= aKey; });
}

auto TokenKeyManager::AnyPeerSignsWith(std::uint32_t aKey) const -> bool
{
  const auto alive = m_members.AliveMembers();
  return std::any_of(alive.begin(), alive.end(), [aKey](const auto& aMember) {
    return aMember.latestHeartbeat.signingKeyId >= aKey;
  });
}

/// A balancer that received the newest key later than others, for example after
/// it was unreachable, does not wait again: the others already sign with that
/// key and will remove the old one.
auto TokenKeyManager::SwitchSigningKey() -> void
{
  const auto newest = NewestKey();
  if (newest == SigningKey() ||
      (Clock::now() - m_newestInstalledAt < m_settlingTime &&
       !AnyPeerSignsWith(newest))) {
    return;
  }
  // Unreachable failure domains do not delay the switch: it is unknown when
  // they will be reachable again, and their balancers receive the key after the
  // first heartbeat from then on. Until then they drop packets whose token is
  // signed with a key they do not have, and the callers resend.
  if (!AllReached(m_members.LowestKeyIdByDomain(), newest)) {
    return;
  }
  m_keys.SelectSigningKey(newest);
  m_allSignSince = {};
  m_metrics.Add(Counter::KeysRotated);
  LogInfo("token-key-signs", { { "id", std::to_string(newest) } });
}

auto TokenKeyManager::ExpireOldKeys() -> void
{
  const auto signing = SigningKey();
  if (m_keys.Keys().size() < kMaxStoredKeys || signing != NewestKey()) {
    return;
  }
  if (!AllReached(m_members.LowestSigningKeyIdByDomain(), signing)) {
    // Another balancer still issues tokens that are signed with the old key.
    m_allSignSince = {};
    return;
  }
  const auto now = Clock::now();
  if (m_allSignSince == Clock::time_point{}) {
    m_allSignSince = now;
  }
  if (now - m_allSignSince < m_overlap) {
    return;
  }
  m_expiredBelow = signing;
  while (m_keys.Keys().begin()->first < signing) {
    m_keys.Remove(m_keys.Keys().begin()->first);
    m_metrics.Add(Counter::KeysExpired);
  }
}

auto TokenKeyManager::Rotate(std::error_code& aError)
  -> awaitable<std::uint32_t>
{
  const auto newest = NewestKey();
  if (newest == 0 || m_keys.Keys().size() > 1) {
    // Adding a third key would remove one that flows may still need.
    aError = RotationError::InProgress;
    co_return newest;
  }
  std::error_code error;
  const auto stored = co_await m_store.Get(lists::kTokenKeysKey, error);
  if (error) {
    aError = RotationError::StoreFailed;
    co_return newest;
  }
  const auto current = std::to_string(newest);
  const auto next = newest + 1;
  const auto document = ParseForeignJson(stored.value);
  if (!document.is_object() || document.contains(std::to_string(next))) {
    aError = RotationError::Superseded;
    co_return newest;
  }
  const json rotated{ { current, StringField(document, current.c_str()) },
                      { std::to_string(next),
                        wire::KeyToHex(wire::GenerateSigningKey()) } };
  co_await m_store.CompareAndSwap(lists::kTokenKeysKey, stored.revision,
                                  rotated.dump(), error);
  if (error) {
    // If only the answer was lost, the next poll finds the key that was
    // written.
    aError = error == StoreError::Conflict ? RotationError::Superseded
                                           : RotationError::StoreFailed;
    co_return newest;
  }
  InstallKeys(rotated.dump());
  co_return next;
}

} // namespace bramleylock::kernel
