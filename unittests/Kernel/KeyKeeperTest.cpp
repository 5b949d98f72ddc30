// When a new token key signs.

#include "bramleylock/Kernel/KeyKeeper.h"
#include "unittests/Lists/MockStore.h"
#include "unittests/Peer/TestNetwork.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

using namespace bramleylock;
using namespace bramleylock::kernel;

static constexpr Milliseconds kNoSettling{ 0 };
static constexpr std::chrono::seconds kOverlap{ 3600 };

/// Longer than summaries of another domain take.
static constexpr Milliseconds kExchange{ 3000 };

static auto TwoKeys() -> std::string
{
  const nlohmann::json keys{ { "1", wire::KeyToHex(wire::NewSigningKey()) },
                             { "2", wire::KeyToHex(wire::NewSigningKey()) } };
  return keys.dump();
}

Test(KeyKeeper, ANewKeySignsWhenEveryMemberOfTheOtherDomainsHasIt)
{
  peer::TestNetwork network;
  lists::MockStore store(network.context);
  store.open = true;
  store.stored = { TwoKeys(), 1 };
  wire::KeyRing ring;
  std::uint32_t late = 1;
  auto& members =
    network.Add("a", "north", 1, [&ring](wire::Heartbeat& aHeartbeat) {
      aHeartbeat.newestKey = ring.Newest();
    });
  network.Add("b", "south", 1,
              [](wire::Heartbeat& aHeartbeat) { aHeartbeat.newestKey = 2; });
  network.Add("c", "south", 1, [&late](wire::Heartbeat& aHeartbeat) {
    aHeartbeat.newestKey = late;
  });
  network.RunFor(kExchange);
  KeyKeeper keeper(network.context, store, ring, *network.links["a:1"], members,
                   network.metrics, kOverlap, kNoSettling);
  keeper.Start();
  network.RunFor(kExchange);
  cr_assert_eq(keeper.NewestKey(), 2);
  cr_assert_eq(keeper.SigningKey(), 1);
  late = 2;
  network.RunFor(kExchange);
  cr_assert_eq(keeper.SigningKey(), 2);
}

Test(KeyKeeper, ALostDomainIsNotWaitedFor)
{
  peer::TestNetwork network;
  lists::MockStore store(network.context);
  store.open = true;
  store.stored = { TwoKeys(), 1 };
  wire::KeyRing ring;
  auto& members =
    network.Add("a", "north", 1, [&ring](wire::Heartbeat& aHeartbeat) {
      aHeartbeat.newestKey = ring.Newest();
    });
  network.Add("b", "south", 1,
              [](wire::Heartbeat& aHeartbeat) { aHeartbeat.newestKey = 1; });
  network.RunFor(kExchange);
  KeyKeeper keeper(network.context, store, ring, *network.links["a:1"], members,
                   network.metrics, kOverlap, kNoSettling);
  keeper.Start();
  network.RunFor(kExchange);
  cr_assert_eq(keeper.SigningKey(), 1);
  network.CutBoth("a", "b");
  network.RunFor(2 * kExchange);
  cr_assert_eq(keeper.SigningKey(), 2);
}

Test(KeyKeeper, AnEmptiedStoreGetsTheKeysInForce)
{
  peer::TestNetwork network;
  lists::MockStore store(network.context);
  store.open = true;
  wire::KeyRing ring;
  ring.Add(3, wire::NewSigningKey());
  auto& members = network.Add("a", "north");
  KeyKeeper keeper(network.context, store, ring, *network.links["a:1"], members,
                   network.metrics, kOverlap, kNoSettling);
  keeper.Start();
  network.RunFor(Milliseconds(200));
  const auto written = nlohmann::json::parse(store.stored.value);
  cr_assert(written ==
            nlohmann::json({ { "3", wire::KeyToHex(ring.Keys().at(3)) } }));
}

Test(KeyKeeper, AStoreRestoredToBeforeARotationGetsTheNewestKey)
{
  peer::TestNetwork network;
  lists::MockStore store(network.context);
  store.open = true;
  store.stored = { R"({"1":"00"})", 4 };
  wire::KeyRing ring;
  ring.Add(2, wire::NewSigningKey());
  auto& members = network.Add("a", "north");
  KeyKeeper keeper(network.context, store, ring, *network.links["a:1"], members,
                   network.metrics, kOverlap, kNoSettling);
  keeper.Start();
  network.RunFor(Milliseconds(200));
  cr_assert(nlohmann::json::parse(store.stored.value).contains("2"));
}

Test(KeyKeeper, NoFirstKeyIsMadeWhilePeersHaveOne)
{
  peer::TestNetwork network;
  lists::MockStore store(network.context);
  store.open = true;
  wire::KeyRing ring;
  auto& members = network.Add("a", "north");
  network.Add("b", "north", 1,
              [](wire::Heartbeat& aHeartbeat) { aHeartbeat.newestKey = 1; });
  KeyKeeper keeper(network.context, store, ring, *network.links["a:1"], members,
                   network.metrics, kOverlap, kNoSettling);
  keeper.Start();
  network.RunFor(kExchange);
  cr_assert(store.written.empty());
}

Test(KeyKeeper, TheFirstBalancerMakesTheFirstKey)
{
  peer::TestNetwork network;
  lists::MockStore store(network.context);
  store.open = true;
  wire::KeyRing ring;
  auto& members = network.Add("a", "north");
  KeyKeeper keeper(network.context, store, ring, *network.links["a:1"], members,
                   network.metrics, kOverlap, kNoSettling);
  keeper.Start();
  network.RunFor(kExchange);
  cr_assert_eq(keeper.NewestKey(), 1);
  cr_assert_eq(store.written.size(), 1);
}
