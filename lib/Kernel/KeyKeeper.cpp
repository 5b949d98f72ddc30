// Token keys from the store, their exchange between peers, and rotation.

#include "bramleylock/Kernel/KeyKeeper.h"

#include "bramleylock/Support/Log.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace bramleylock::kernel {

using lists::StoreError;
using nlohmann::json;

static constexpr Milliseconds kRetryStore{ 500 };
static constexpr Milliseconds kPollKeys{ 5000 };
static constexpr Milliseconds kWatchPeers{ 500 };

/// How long a balancer without keys listens to peers before it makes the first
/// one.
static constexpr Milliseconds kListen{ 1000 };

/// Keys that the store's document holds.
static constexpr std::size_t kKeysKept = 2;

KeyKeeper::KeyKeeper(asio::io_context& aContext, lists::PlatformStore& aStore,
                     wire::KeyRing& aKeys, peer::PeerLinks& aLinks,
                     peer::Membership& aMembers, Metrics& aMetrics,
                     std::chrono::seconds aOverlap, Milliseconds aSettle)
  : m_context(aContext)
  , m_store(aStore)
  , m_keys(aKeys)
  , m_links(aLinks)
  , m_members(aMembers)
  , m_metrics(aMetrics)
  , m_overlap(aOverlap)
  , m_settle(aSettle)
{
}

auto KeyKeeper::Start() -> void
{
  m_started = Clock::now();
  ListenToPeers();
  Spawn(m_context, "keep-keys", KeepKeys());
  Spawn(m_context, "watch-peers-keys", WatchPeers());
}

auto KeyKeeper::ListenToPeers() -> void
{
  m_links.On(wire::MessageType::Keys,
             [this](const wire::Hello&, const std::string& aBody) {
               auto message = wire::UnpackBody<wire::KeysMessage>(aBody);
               if (!message) {
                 return;
               }
               for (const auto& [id, text] : message->keys) {
                 Install(id, text);
               }
             });
}

auto KeyKeeper::SendKeys(const std::string& aAddress) -> void
{
  wire::KeysMessage message;
  for (const auto& [id, key] : m_keys.Keys()) {
    message.keys.emplace_back(id, wire::KeyToHex(key));
  }
  m_links.SendMessage(aAddress, wire::MessageType::Keys, message);
}

auto KeyKeeper::OnHeartbeat(const peer::Member& aMember) -> void
{
  // The one that has newer keys sends them, so that nobody has to ask.
  if (aMember.latestHeartbeat.newestKeyId < NewestKey()) {
    SendKeys(aMember.address);
  }
}

auto KeyKeeper::NewestKey() const -> std::uint32_t
{
  return m_keys.NewestKeyId();
}

auto KeyKeeper::SigningKey() const -> std::uint32_t
{
  return m_keys.SigningKeyId();
}

auto KeyKeeper::Install(std::uint32_t aId, const std::string& aText) -> void
{
  wire::SigningKey key{};
  if (aId < m_expiredBelow || m_keys.Keys().contains(aId) ||
      !wire::KeyFromHex(aText, key)) {
    return;
  }
  const bool newest = aId > NewestKey();
  m_keys.Add(aId, key);
  if (newest) {
    m_newestSince = Clock::now();
    LogInfo("token-key", { { "id", std::to_string(aId) } });
    m_members.SendHeartbeats();
  }
}

/// Whether the store's document has the newest key; one that was restored to
/// an older state does not.
auto KeyKeeper::HoldsNewest(const std::string& aDocument) const -> bool
{
  const auto document = json::parse(aDocument, nullptr, false);
  return !document.is_object() || m_keys.Empty() ||
         document.contains(std::to_string(NewestKey()));
}

auto KeyKeeper::InstallDocument(const std::string& aDocument) -> void
{
  const auto document = json::parse(aDocument, nullptr, false);
  if (!document.is_object()) {
    LogError("token-keys-invalid", {});
    return;
  }
  for (const auto& [id, text] : document.items()) {
    if (text.is_string()) {
      Install(static_cast<std::uint32_t>(std::stoul(id)),
              text.get<std::string>());
    }
  }
}

/// The keys here, as the store's document.
static auto FormatKeys(const wire::KeyRing& aKeys) -> std::string
{
  auto document = json::object();
  for (const auto& [id, key] : aKeys.Keys()) {
    document[std::to_string(id)] = wire::KeyToHex(key);
  }
  return document.dump();
}

/// Whether the balancers that run may have keys although the store has none,
/// as after it was emptied. A second key of the same id would tear them apart.
auto KeyKeeper::MayHaveKeys() const -> bool
{
  const auto alive = m_members.AliveMembers();
  return std::any_of(alive.begin(), alive.end(), [](const auto& aMember) {
    return aMember.latestHeartbeat.newestKeyId > 0;
  });
}

auto KeyKeeper::FillStore(std::uint64_t aExpected) -> awaitable<void>
{
  std::error_code error;
  auto document = FormatKeys(m_keys);
  if (m_keys.Empty()) {
    if (Clock::now() - m_started < kListen || MayHaveKeys()) {
      co_return;
    }
    const json first{ { "1", wire::KeyToHex(wire::GenerateSigningKey()) } };
    document = first.dump();
  }
  // The first writer wins; whoever loses reads the winner's keys next time.
  co_await m_store.CompareAndSwap(lists::kTokenKeysKey, aExpected,
                                  std::move(document), error);
}

auto KeyKeeper::SetGate(std::function<bool()> aGate) -> void
{
  m_gate = std::move(aGate);
}

auto KeyKeeper::KeepKeys() -> awaitable<void>
{
  for (;;) {
    if (m_gate && !m_gate()) {
      // Another balancer of the failure domain reads the store; its keys come
      // over the peer links.
      co_await Sleep(kRetryStore);
      continue;
    }
    std::error_code error;
    const auto stored = co_await m_store.Get(lists::kTokenKeysKey, error);
    if (!error) {
      InstallDocument(stored.value);
    }
    const bool lacks = !error && !HoldsNewest(stored.value);
    if (error == StoreError::NotFound || lacks) {
      co_await FillStore(stored.revision);
    }
    co_await Sleep(error || lacks ? kRetryStore : kPollKeys);
  }
}

auto KeyKeeper::WatchPeers() -> awaitable<void>
{
  for (;;) {
    co_await Sleep(kWatchPeers);
    SwitchSigning();
    ExpireOld();
  }
}

auto KeyKeeper::SwitchSigning() -> void
{
  const auto newest = NewestKey();
  if (newest == SigningKey() || Clock::now() - m_newestSince < m_settle) {
    return;
  }
  // A lost domain is not waited for: nothing tells when it is back, and its
  // balancers get the key with the first heartbeat after that. Until then they
  // drop a token with a key that is yet to come, and its caller resends.
  const auto lowest = m_members.LowestKeyIdByDomain();
  const bool everywhere =
    std::all_of(lowest.begin(), lowest.end(), [newest](const auto& aDomain) {
      return aDomain.second >= newest;
    });
  if (!everywhere) {
    return;
  }
  m_keys.SelectSigningKey(newest);
  m_switchedAt = Clock::now();
  m_metrics.Add(Counter::KeysRotated);
  LogInfo("token-key-signs", { { "id", std::to_string(newest) } });
}

auto KeyKeeper::ExpireOld() -> void
{
  const auto signing = SigningKey();
  if (m_keys.Keys().size() < kKeysKept || signing != NewestKey() ||
      Clock::now() - m_switchedAt < m_overlap) {
    return;
  }
  m_expiredBelow = signing;
  while (m_keys.Keys().begin()->first < signing) {
    m_keys.Remove(m_keys.Keys().begin()->first);
    m_metrics.Add(Counter::KeysExpired);
  }
}

auto KeyKeeper::Rotate(std::error_code& aError) -> awaitable<std::uint32_t>
{
  const auto newest = NewestKey();
  if (newest == 0 || m_keys.Keys().size() > 1) {
    // A third key would push out one that flows may still need.
    aError = RotationError::UnderWay;
    co_return newest;
  }
  std::error_code error;
  const auto stored = co_await m_store.Get(lists::kTokenKeysKey, error);
  if (error) {
    aError = RotationError::Store;
    co_return newest;
  }
  const auto current = std::to_string(newest);
  const auto next = newest + 1;
  const auto document = json::parse(stored.value, nullptr, false);
  if (!document.is_object() || document.contains(std::to_string(next))) {
    aError = RotationError::Lost;
    co_return newest;
  }
  const json rotated{ { current, document.value(current, "") },
                      { std::to_string(next),
                        wire::KeyToHex(wire::GenerateSigningKey()) } };
  co_await m_store.CompareAndSwap(lists::kTokenKeysKey, stored.revision,
                                  rotated.dump(), error);
  if (error) {
    // After a lost answer the poll shows whether the write took effect.
    aError = error == StoreError::Conflict ? RotationError::Lost
                                           : RotationError::Store;
    co_return newest;
  }
  InstallDocument(rotated.dump());
  co_return next;
}

} // namespace bramleylock::kernel
