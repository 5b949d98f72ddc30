// Distribution and rotation of the keys that sign flow tokens.
#pragma once

#include <functional>

#include "bramleylock/Lists/PlatformStore.h"
#include "bramleylock/Peer/Membership.h"
#include "bramleylock/Peer/PeerLinks.h"
#include "bramleylock/Wire/Token.h"

namespace bramleylock::kernel {

enum class RotationError
{
  InProgress = 1,
  Superseded,
  StoreFailed
};

inline constexpr std::array<NameRow<RotationError>, 3> kRotationErrorNames{ {
  { RotationError::InProgress,
    "the previous key rotation is still in progress" },
  { RotationError::Superseded, "a concurrent key rotation was written first" },
  { RotationError::StoreFailed, "the platform's store did not answer" },
} };

/// Reads the token keys from the platform's store, and receives them from peers
/// while this balancer does not read the store or the store is down. Two keys
/// overlap: a new key signs only when every reachable failure domain reports
/// that all its balancers have it, and the old key is removed when no flow can
/// still need it: aOverlap after the last of them was seen to sign with it.
class TokenKeyManager
{
public:
  /// Minimum time between installing a new key and signing with it.
  static constexpr Milliseconds kSettlingTime{ 6000 };

  /// aOverlap is how long the old key is kept after all reachable balancers
  /// sign with the new one.
  TokenKeyManager(asio::io_context& aContext, lists::PlatformStore& aStore,
                  wire::KeyRing& aKeys, peer::PeerLinks& aLinks,
                  peer::Membership& aMembers, Metrics& aMetrics,
                  std::chrono::seconds aOverlap,
                  Milliseconds aSettlingTime = kSettlingTime);

  auto Start() -> void;

  /// Reads the store only while aMayReadStore returns true, so that the number
  /// of calls to the platform does not grow with the number of balancers.
  auto SetStoreReadCondition(std::function<bool()> aMayReadStore) -> void;

  /// Sends the keys to a peer whose heartbeat reports an older newest key.
  auto OnHeartbeat(const peer::Member& aMember) -> void;

  /// The highest key id, 0 while there is none.
  auto NewestKey() const -> std::uint32_t;

  /// The id of the key that signs, 0 while there is none.
  auto SigningKey() const -> std::uint32_t;

  /// Adds a new key in the store and returns its id. On failure sets aError to
  /// a RotationError and returns the newest id.
  auto Rotate(std::error_code& aError) -> awaitable<std::uint32_t>;

private:
  auto RegisterKeysHandler() -> void;
  auto PollStoreLoop() -> awaitable<void>;
  auto WriteKeys(std::uint64_t aExpected) -> awaitable<void>;
  auto PeersHaveKeys() const -> bool;
  auto ContainsNewestKey(const std::string& aDocument) const -> bool;
  auto RotationLoop() -> awaitable<void>;
  auto SwitchSigningKey() -> void;
  auto ExpireOldKeys() -> void;
  auto AnyPeerSignsWith(std::uint32_t aKey) const -> bool;
  auto InstallKey(std::uint32_t aId, const std::string& aHexKey) -> void;
  auto InstallKeys(const std::string& aDocument) -> void;
  auto SendKeys(const std::string& aAddress) -> void;

  asio::io_context& m_context;
  lists::PlatformStore& m_store;
  wire::KeyRing& m_keys;
  peer::PeerLinks& m_links;
  peer::Membership& m_members;
  Metrics& m_metrics;
  std::chrono::seconds m_overlap;
  Milliseconds m_settlingTime;
  Clock::time_point m_startedAt{};
  Clock::time_point m_newestInstalledAt{};
  /// Since when all reachable balancers sign with the newest key; the epoch
  /// while some do not.
  Clock::time_point m_allSignSince{};
  /// Keys with lower ids have expired and are not installed again.
  std::uint32_t m_expiredBelow = 0;
  std::function<bool()> m_mayReadStore;
};

} // namespace bramleylock::kernel

BRAMLEYLOCK_ERROR_ENUM(bramleylock::kernel, RotationError, kRotationErrorNames,
                       "bramleylock.rotation");
