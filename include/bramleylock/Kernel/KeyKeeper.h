// Keeps the token keys current.
#pragma once

#include "bramleylock/Lists/PlatformStore.h"
#include "bramleylock/Peer/Membership.h"
#include "bramleylock/Wire/Token.h"

namespace bramleylock::kernel {

/// Reads the token keys from the platform's store, and from peers while the
/// store is down.
class KeyKeeper
{
public:
  KeyKeeper(asio::io_context& aContext, lists::PlatformStore& aStore,
            wire::KeyRing& aKeys, peer::PeerHub& aHub);

  auto Start() -> void;

  /// Compares the keys that a peer said it has with those here.
  auto OnHeartbeat(const peer::Member& aMember) -> void;

  /// The highest key id, 0 while there is none.
  auto NewestKey() const -> std::uint32_t;

private:
  auto ListenToPeers() -> void;
  auto KeepKeys() -> awaitable<void>;
  auto CreateKeys() -> awaitable<void>;
  auto InstallKeys(const std::string& aDocument) -> void;
  auto SendKeys(const std::string& aAddress) -> void;

  asio::io_context& m_context;
  lists::PlatformStore& m_store;
  wire::KeyRing& m_keys;
  peer::PeerHub& m_hub;
};

} // namespace bramleylock::kernel
