// When a new token key signs.

#include "bramleylock/Kernel/KeyKeeper.h"
#include "unittests/Lists/MockStore.h"
#include "unittests/Peer/TestNetwork.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

#include <memory>

using namespace bramleylock;
using namespace bramleylock::kernel;

static constexpr Milliseconds kNoSettling{ 0 };
static constexpr std::chrono::seconds kOverlap{ 3600 };

/// Longer than summaries of another domain take.
static constexpr Milliseconds kExchange{ 3000 };

/// Longer than a write to the store takes.
static constexpr Milliseconds kWritten{ 200 };

static auto TwoKeys() -> std::string
{
  const nlohmann::json keys{
    { "1", wire::KeyToHex(wire::GenerateSigningKey()) },
    { "2", wire::KeyToHex(wire::GenerateSigningKey()) }
  };
  return keys.dump();
}

namespace {

/// The keys of balancer "a" in the failure domain north, with a store.
struct Bench
{
  Bench() { store.open = true; }

  /// Adds the balancer; its heartbeats tell its newest key.
  auto Join() -> void
  {
    members =
      &network.Add("a", "north", 1, [this](wire::Heartbeat& aHeartbeat) {
        aHeartbeat.newestKeyId = ring.NewestKeyId();
      });
  }

  /// Adds a peer that tells of key aNewest.
  auto AddPeer(const std::string& aName, const std::string& aDomain,
               const std::uint32_t& aNewest) -> void
  {
    network.Add(aName, aDomain, 1, [&aNewest](wire::Heartbeat& aHeartbeat) {
      aHeartbeat.newestKeyId = aNewest;
    });
  }

  auto Keep(Milliseconds aTime) -> void
  {
    keeper = std::make_unique<KeyKeeper>(
      network.context, store, ring, *network.links["a:1"], *members,
      network.metrics, kOverlap, kNoSettling);
    keeper->Start();
    network.RunFor(aTime);
  }

  peer::TestNetwork network;
  lists::MockStore store{ network.context };
  wire::KeyRing ring;
  peer::Membership* members = nullptr;
  std::unique_ptr<KeyKeeper> keeper;
};

} // namespace

Test(KeyKeeper, ANewKeySignsWhenEveryMemberOfTheOtherDomainsHasIt)
{
  Bench bench;
  bench.store.stored = { TwoKeys(), 1 };
  const std::uint32_t current = 2;
  std::uint32_t late = 1;
  bench.Join();
  bench.AddPeer("b", "south", current);
  bench.AddPeer("c", "south", late);
  bench.network.RunFor(kExchange);
  bench.Keep(kExchange);
  cr_assert_eq(bench.keeper->NewestKey(), 2);
  cr_assert_eq(bench.keeper->SigningKey(), 1);
  late = 2;
  bench.network.RunFor(kExchange);
  cr_assert_eq(bench.keeper->SigningKey(), 2);
}

Test(KeyKeeper, ALostDomainIsNotWaitedFor)
{
  Bench bench;
  bench.store.stored = { TwoKeys(), 1 };
  const std::uint32_t old = 1;
  bench.Join();
  bench.AddPeer("b", "south", old);
  bench.network.RunFor(kExchange);
  bench.Keep(kExchange);
  cr_assert_eq(bench.keeper->SigningKey(), 1);
  bench.network.CutBothDirections("a", "b");
  bench.network.RunFor(2 * kExchange);
  cr_assert_eq(bench.keeper->SigningKey(), 2);
}

Test(KeyKeeper, AnEmptiedStoreGetsTheKeysInForce)
{
  Bench bench;
  bench.ring.Add(3, wire::GenerateSigningKey());
  bench.Join();
  bench.Keep(kWritten);
  const auto written = nlohmann::json::parse(bench.store.stored.value);
  const auto key = wire::KeyToHex(bench.ring.Keys().at(3));
  cr_assert(written == nlohmann::json({ { "3", key } }));
}

Test(KeyKeeper, AStoreRestoredToBeforeARotationGetsTheNewestKey)
{
  Bench bench;
  bench.store.stored = { R"({"1":"00"})", 4 };
  bench.ring.Add(2, wire::GenerateSigningKey());
  bench.Join();
  bench.Keep(kWritten);
  cr_assert(nlohmann::json::parse(bench.store.stored.value).contains("2"));
}

Test(KeyKeeper, NoFirstKeyIsMadeWhilePeersHaveOne)
{
  Bench bench;
  const std::uint32_t held = 1;
  bench.Join();
  bench.AddPeer("b", "north", held);
  bench.Keep(kExchange);
  cr_assert(bench.store.written.empty());
}

Test(KeyKeeper, TheFirstBalancerMakesTheFirstKey)
{
  Bench bench;
  bench.Join();
  bench.Keep(kExchange);
  cr_assert_eq(bench.keeper->NewestKey(), 1);
  cr_assert_eq(bench.store.written.size(), 1);
}
