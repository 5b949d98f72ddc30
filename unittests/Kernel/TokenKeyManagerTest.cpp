// Token keys: when a new key signs, and which keys are written to the store.

#include "bramleylock/Kernel/TokenKeyManager.h"
#include "unittests/Lists/MockStore.h"
#include "unittests/Peer/TestNetwork.h"

#include <criterion/criterion.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <memory>

using namespace bramleylock;
using namespace bramleylock::kernel;

static constexpr Milliseconds kNoSettlingTime{ 0 };
static constexpr std::chrono::seconds kOverlap{ 3600 };

/// Longer than the summary of another failure domain takes to arrive.
static constexpr Milliseconds kSummaryExchangeTime{ 3000 };

/// Longer than a write to the store takes.
static constexpr Milliseconds kStoreWriteTime{ 200 };

/// Longer than the interval at which the key manager checks the keys.
static constexpr Milliseconds kKeyCheckTime{ 1200 };

static auto TwoKeys() -> std::string
{
  const nlohmann::json keys{
    { "1", wire::KeyToHex(wire::GenerateSigningKey()) },
    { "2", wire::KeyToHex(wire::GenerateSigningKey()) }
  };
  return keys.dump();
}

namespace {

/// Balancer "a" in the failure domain "north", with a store.
struct Fixture
{
  Fixture() { store.completeImmediately = true; }

  /// Adds the balancer, whose heartbeats report its newest key.
  auto AddSelf() -> void
  {
    members =
      &network.Add("a", "north", 1, [this](wire::Heartbeat& aHeartbeat) {
        aHeartbeat.newestKeyId = keyRing.NewestKeyId();
        aHeartbeat.signingKeyId = keyRing.SigningKeyId();
      });
  }

  /// Adds a peer that reports aNewest as its newest key.
  auto AddPeer(const std::string& aName, const std::string& aDomain,
               const std::uint32_t& aNewest) -> void
  {
    network.Add(aName, aDomain, 1, [&aNewest](wire::Heartbeat& aHeartbeat) {
      aHeartbeat.newestKeyId = aNewest;
    });
  }

  /// Adds a peer that has key 2 and signs with aSigning.
  auto AddSigningPeer(const std::string& aName, const std::string& aDomain,
                      const std::uint32_t& aSigning) -> void
  {
    network.Add(aName, aDomain, 1, [&aSigning](wire::Heartbeat& aHeartbeat) {
      aHeartbeat.newestKeyId = 2;
      aHeartbeat.signingKeyId = aSigning;
    });
  }

  auto RunKeyManager(Milliseconds aTime,
                     std::chrono::seconds aOverlap = kOverlap,
                     Milliseconds aSettlingTime = kNoSettlingTime) -> void
  {
    keyManager = std::make_unique<TokenKeyManager>(
      network.context, store, keyRing, *network.links["a:1"], *members,
      network.metrics, aOverlap, aSettlingTime);
    keyManager->Start();
    network.RunFor(aTime);
  }

  peer::TestNetwork network;
  lists::MockStore store{ network.context };
  wire::KeyRing keyRing;
  peer::Membership* members = nullptr;
  std::unique_ptr<TokenKeyManager> keyManager;
};

} // namespace

Test(TokenKeyManager, NewKeySignsWhenAllMembersOfOtherDomainsHaveIt)
{
  Fixture fixture;
  fixture.store.stored = { TwoKeys(), 1 };
  const std::uint32_t current = 2;
  std::uint32_t lateKey = 1;
  fixture.AddSelf();
  fixture.AddPeer("b", "south", current);
  fixture.AddPeer("c", "south", lateKey);
  fixture.network.RunFor(kSummaryExchangeTime);
  fixture.RunKeyManager(kSummaryExchangeTime);
  cr_assert_eq(fixture.keyManager->NewestKey(), 2);
  cr_assert_eq(fixture.keyManager->SigningKey(), 1);
  lateKey = 2;
  fixture.network.RunFor(kSummaryExchangeTime);
  cr_assert_eq(fixture.keyManager->SigningKey(), 2);
}

Test(TokenKeyManager, UnreachableDomainDoesNotDelaySwitch)
{
  Fixture fixture;
  fixture.store.stored = { TwoKeys(), 1 };
  const std::uint32_t old = 1;
  fixture.AddSelf();
  fixture.AddPeer("b", "south", old);
  fixture.network.RunFor(kSummaryExchangeTime);
  fixture.RunKeyManager(kSummaryExchangeTime);
  cr_assert_eq(fixture.keyManager->SigningKey(), 1);
  fixture.network.CutBothDirections("a", "b");
  fixture.network.RunFor(2 * kSummaryExchangeTime);
  cr_assert_eq(fixture.keyManager->SigningKey(), 2);
}

Test(TokenKeyManager, EmptiedStoreGetsKeysInForce)
{
  Fixture fixture;
  fixture.keyRing.Add(3, wire::GenerateSigningKey());
  fixture.AddSelf();
  fixture.RunKeyManager(kStoreWriteTime);
  const auto written = nlohmann::json::parse(fixture.store.stored.value);
  const auto key = wire::KeyToHex(fixture.keyRing.Keys().at(3));
  cr_assert(written == nlohmann::json({ { "3", key } }));
}

Test(TokenKeyManager, StoreRestoredToBeforeRotationGetsNewestKey)
{
  Fixture fixture;
  fixture.store.stored = { R"({"1":"00"})", 4 };
  fixture.keyRing.Add(2, wire::GenerateSigningKey());
  fixture.AddSelf();
  fixture.RunKeyManager(kStoreWriteTime);
  cr_assert(nlohmann::json::parse(fixture.store.stored.value).contains("2"));
}

Test(TokenKeyManager, NoFirstKeyIsCreatedWhilePeersHaveOne)
{
  Fixture fixture;
  const std::uint32_t heldKey = 1;
  fixture.AddSelf();
  fixture.AddPeer("b", "north", heldKey);
  fixture.RunKeyManager(kSummaryExchangeTime);
  cr_assert(fixture.store.writtenValues.empty());
}

Test(TokenKeyManager, FirstBalancerCreatesFirstKey)
{
  Fixture fixture;
  fixture.AddSelf();
  fixture.RunKeyManager(kSummaryExchangeTime);
  cr_assert_eq(fixture.keyManager->NewestKey(), 1);
  cr_assert_eq(fixture.store.writtenValues.size(), 1);
}

/// A peer that received the new key late still issues tokens that are signed
/// with the old one. Their flows must not break.
Test(TokenKeyManager, OldKeyStaysWhileAPeerSignsWithIt)
{
  for (const std::string domain : { "north", "south" }) {
    Fixture fixture;
    fixture.store.stored = { TwoKeys(), 1 };
    std::uint32_t peersKey = 1;
    fixture.AddSelf();
    fixture.AddSigningPeer("b", domain, peersKey);
    fixture.network.RunFor(kSummaryExchangeTime);
    fixture.RunKeyManager(kSummaryExchangeTime, std::chrono::seconds(0));
    cr_assert_eq(fixture.keyManager->SigningKey(), 2);
    cr_assert(fixture.keyRing.Keys().contains(1), "%s", domain.c_str());
    peersKey = 2;
    fixture.network.RunFor(kSummaryExchangeTime);
    cr_assert(!fixture.keyRing.Keys().contains(1), "%s", domain.c_str());
  }
}

/// The peers already sign with the new key and will remove the old one.
Test(TokenKeyManager, BalancerThatReceivesTheKeyLateSignsWithItAtOnce)
{
  Fixture fixture;
  fixture.store.stored = { TwoKeys(), 1 };
  const std::uint32_t peersKey = 2;
  fixture.AddSelf();
  fixture.AddSigningPeer("b", "north", peersKey);
  fixture.network.RunFor(kSummaryExchangeTime);
  fixture.RunKeyManager(kKeyCheckTime, kOverlap, std::chrono::hours(1));
  cr_assert_eq(fixture.keyManager->SigningKey(), 2);
}

/// The exception ended the task that polls the store for keys.
Test(TokenKeyManager, OddKeysInTheStoreDoNotEndThePolling)
{
  for (const auto* odd :
       { R"("a":"00")", R"("":"00")", R"("99999999999999999999":"00")",
         R"("4294967297":"00")", R"("-1":"00")", R"("2 ":"00")", R"("2":7)",
         R"("2":[])" }) {
    Fixture fixture;
    const auto key = wire::KeyToHex(wire::GenerateSigningKey());
    fixture.store.stored = { fmt::format(R"({{{},"9":"{}"}})", odd, key), 1 };
    fixture.keyRing.Add(10, wire::GenerateSigningKey());
    fixture.AddSelf();
    fixture.RunKeyManager(kStoreWriteTime);
    cr_assert(fixture.keyRing.Keys().contains(9), "%s", odd);
    cr_assert_eq(fixture.keyRing.Keys().size(), 2, "%s", odd);
    // The store lacks the newest key, which the polling adds.
    cr_assert(nlohmann::json::parse(fixture.store.stored.value).contains("10"),
              "%s", odd);
  }
}
