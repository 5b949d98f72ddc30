// Token keys from the store, and their exchange between peers.

#include "bramleylock/Kernel/KeyKeeper.h"

#include "bramleylock/Support/Log.h"

#include <nlohmann/json.hpp>

namespace bramleylock::kernel {

using lists::StoreError;
using nlohmann::json;

static constexpr Milliseconds kRetryStore{ 500 };
static constexpr Milliseconds kPollKeys{ 5000 };

KeyKeeper::KeyKeeper(asio::io_context& aContext, lists::PlatformStore& aStore,
                     wire::KeyRing& aKeys, peer::PeerHub& aHub)
  : m_context(aContext)
  , m_store(aStore)
  , m_keys(aKeys)
  , m_hub(aHub)
{
}

auto KeyKeeper::Start() -> void
{
  ListenToPeers();
  Spawn(m_context, "keep-keys", KeepKeys());
}

auto KeyKeeper::ListenToPeers() -> void
{
  m_hub.On(wire::MessageType::Keys,
           [this](const wire::Hello&, const std::string& aBody) {
             auto message = wire::UnpackBody<wire::KeysMessage>(aBody);
             if (!message) {
               return;
             }
             for (const auto& [id, text] : message->keys) {
               wire::SigningKey key{};
               if (wire::KeyFromHex(text, key)) {
                 m_keys.Add(id, key);
               }
             }
           });
}

auto KeyKeeper::SendKeys(const std::string& aAddress) -> void
{
  wire::KeysMessage message;
  for (const auto& [id, key] : m_keys.Keys()) {
    message.keys.emplace_back(id, wire::KeyToHex(key));
  }
  m_hub.SendMessage(aAddress, wire::MessageType::Keys, message);
}

auto KeyKeeper::OnHeartbeat(const peer::Member& aMember) -> void
{
  // The one that has newer keys sends them, so that nobody has to ask.
  if (aMember.latest.newestKey < NewestKey()) {
    SendKeys(aMember.address);
  }
}

auto KeyKeeper::NewestKey() const -> std::uint32_t
{
  return m_keys.Empty() ? 0 : m_keys.Keys().rbegin()->first;
}

auto KeyKeeper::InstallKeys(const std::string& aDocument) -> void
{
  const auto document = json::parse(aDocument, nullptr, false);
  if (!document.is_object()) {
    LogError("token-keys-invalid", {});
    return;
  }
  for (const auto& [id, text] : document.items()) {
    wire::SigningKey key{};
    if (text.is_string() && wire::KeyFromHex(text.get<std::string>(), key)) {
      m_keys.Add(static_cast<std::uint32_t>(std::stoul(id)), key);
    }
  }
}

auto KeyKeeper::CreateKeys() -> awaitable<void>
{
  // The first writer wins; whoever loses reads the winner's key next time.
  const json document{ { "1", wire::KeyToHex(wire::NewSigningKey()) } };
  std::error_code error;
  co_await m_store.CompareAndSwap(lists::kTokenKeysKey, 0, document.dump(),
                                  error);
}

auto KeyKeeper::KeepKeys() -> awaitable<void>
{
  for (;;) {
    std::error_code error;
    const auto stored = co_await m_store.Get(lists::kTokenKeysKey, error);
    if (error == StoreError::NotFound) {
      co_await CreateKeys();
      continue;
    }
    if (!error) {
      InstallKeys(stored.value);
    }
    co_await Sleep(error ? kRetryStore : kPollKeys);
  }
}

} // namespace bramleylock::kernel
