// Odd values in the messages of peers, and odd targets that are accepted.

#include "unittests/Forward/TestForward.h"

#include "bramleylock/Forward/RoutingState.h"
#include "bramleylock/Wire/Messages.h"

#include <criterion/criterion.h>

#include <sys/resource.h>

using namespace bramleylock;
using namespace bramleylock::forward;

/// Memory that refusing a message may take.
static constexpr long kMaxRefusalKiB = 8192;

/// Largest message of a peer, see SecureLink.
static constexpr std::size_t kLargestMessageBytes = 2U << 20;

/// Largest start time in milliseconds that leaves room for later ones.
static constexpr std::uint64_t kEarliestInvalidStart = 1ULL << 48;

namespace {

struct Node
{
  Clock::time_point now{ std::chrono::hours(1) };
  PlainCodec codec;
  Metrics metrics;
  RouteTable routes;
  TargetDirectory targets{ codec };
  RoutingState state{ routes, targets, metrics };
};

} // namespace

static auto UpdateWith(const TargetRecord& aTarget) -> RoutingUpdate
{
  RoutingUpdate update;
  update.revision = 9;
  update.routesVersion = 3;
  update.routes.push_back(MakeRoutes(3));
  update.targets = { MakeTarget("a", 5), aTarget };
  return update;
}

static auto PeakMemoryKiB() -> long
{
  rusage usage{};
  ::getrusage(RUSAGE_SELF, &usage);
  return usage.ru_maxrss;
}

Test(OddUpdates, DeepOrHugeMessageIsRefusedWithoutMemory, .timeout = 20)
{
  const auto before = PeakMemoryKiB();
  const std::string array1(1, '\x91');
  const std::string array32("\xdd\xff\xff\xff\xff", 5);
  const std::string map32("\xdf\xff\xff\xff\xff", 5);
  const std::string string32("\xdb\xff\xff\xff\xff", 5);
  const std::string binary32("\xc6\xff\xff\xff\xff", 5);
  const std::string extension32("\xc9\xff\xff\xff\xff\x01", 6);
  for (const auto& part :
       { array1, std::string("\x9f"), std::string("\x81\xa1k"), array32, map32,
         string32, binary32, extension32, array1 + array32, array1 + string32,
         std::string("\xc1"), std::string(1, '\0') }) {
    std::string body;
    cr_assert(!wire::UnpackBody<RoutingUpdate>(part));
    while (body.size() + part.size() <= kLargestMessageBytes) {
      body += part;
    }
    cr_assert(!wire::UnpackBody<RoutingUpdate>(body));
    cr_assert(!wire::UnpackBody<wire::Gossip>(body));
  }
  cr_assert(!wire::UnpackBody<RoutingUpdate>(""));
  const auto used = PeakMemoryKiB() - before;
  cr_assert(used < kMaxRefusalKiB, "%ld KiB", used);
}

Test(OddUpdates, NumberOfAnotherTypeOrRangeIsRefused)
{
  const auto unpacks = [](const auto& aNumber) {
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> packer(buffer);
    packer.pack_array(4);
    packer.pack(std::string("route"));
    packer.pack(1);
    packer.pack(aNumber);
    packer.pack(std::vector<int>{});
    using Fields = std::tuple<std::string, std::uint32_t, std::uint16_t,
                              std::vector<RouteShare>>;
    return wire::UnpackBody<Fields>({ buffer.data(), buffer.size() })
      .has_value();
  };
  cr_assert(unpacks(65535));
  cr_assert(!unpacks(65536));
  cr_assert(!unpacks(-1));
  cr_assert(!unpacks(~std::uint64_t{ 0 }));
  cr_assert(!unpacks(1.5));
  cr_assert(!unpacks(std::numeric_limits<double>::infinity()));
  cr_assert(!unpacks(std::numeric_limits<double>::quiet_NaN()));
  cr_assert(!unpacks(std::string("80")));
}

/// Such a record was applied: packets went to port 0, one target received all
/// flows, and no later start of the target was accepted.
Test(OddUpdates, RecordOutOfRangeIsSkipped)
{
  const auto valid = MakeTarget("b", 6);
  std::vector<TargetRecord> oddTargets(5, valid);
  oddTargets[0].port = 0;
  oddTargets[1].slots = 65537;
  oddTargets[2].slots = 4000000000;
  oddTargets[3].incarnation = ~std::uint64_t{ 0 };
  oddTargets[4].incarnation = kEarliestInvalidStart;
  for (const auto& odd : oddTargets) {
    Node node;
    cr_assert(IsValid(UpdateWith(odd)));
    cr_assert(node.state.ApplyUpdate(UpdateWith(odd), node.now));
    cr_assert(node.state.IsComplete() && node.state.Revision() == 9);
    cr_assert(node.targets.Find("a") != nullptr);
    cr_assert(node.targets.Find("b") == nullptr);
    cr_assert(node.metrics.Get(Counter::TargetEntryUnreadable) == 1);
  }
  Node node;
  auto largest = valid;
  largest.incarnation = kEarliestInvalidStart - 1;
  largest.slots = 65536;
  node.state.ApplyUpdate(UpdateWith(largest), node.now);
  cr_assert(node.targets.Find("b") != nullptr);
}

Test(OddUpdates, UnknownStateIsInvalid)
{
  auto odd = MakeTarget("b", 6);
  odd.slots = 0;
  cr_assert(!IsValid(UpdateWith(odd)));
  odd = MakeTarget("b", 6);
  odd.state = 4;
  cr_assert(!IsValid(UpdateWith(odd)));
}

Test(OddUpdates, RouteOutOfRangeIsInvalid)
{
  auto update = UpdateWith(MakeTarget("b", 6));
  update.routes[0].routes[0].port = 0;
  cr_assert(!IsValid(update));
  update = UpdateWith(MakeTarget("b", 6));
  update.routes[0].routes[0].kind = 3;
  cr_assert(!IsValid(update));
  update = UpdateWith(MakeTarget("b", 6));
  update.routes[0].routes[0].shares.clear();
  cr_assert(!IsValid(update));
}

Test(OddUpdates, LargestDurationsDoNotOverflow)
{
  Node node;
  auto target = MakeTarget("b", 6);
  target.warmUpMs = ~std::uint32_t{ 0 };
  cr_assert(node.state.ApplyUpdate(UpdateWith(target), node.now));
  const auto* entry = node.targets.Find("b");
  cr_assert(entry->warmUpEndsAt > node.now + std::chrono::hours(24));
  const auto sent = node.state.CreateUpdate({}, node.now);
  cr_assert(sent.targets.size() == 2);
  cr_assert(sent.targets[1].warmUpMs == ~std::uint32_t{ 0 });
}

/// The clock counts from the start of the machine. A state that was read before
/// then was taken for none, so that the balancer never became ready.
Test(OddUpdates, StateOlderThanTheClockIsComplete)
{
  Node node;
  node.now = Clock::time_point{ std::chrono::seconds(10) };
  auto update = UpdateWith(MakeTarget("b", 6));
  update.ageMs = 60000;
  cr_assert(node.state.ApplyUpdate(update, node.now));
  cr_assert(node.state.IsComplete());
  update.ageMs = ~std::uint32_t{ 0 };
  Node other;
  cr_assert(other.state.ApplyUpdate(update, other.now));
  cr_assert(other.state.IsComplete());
}

/// An odd entry with the address of a real host.
Test(OddUpdates, HostWhoseAddressAnOddEntryClaimsReturnsWithItsNextRenewal)
{
  Node node;
  StateReading reading;
  reading.revision = 9;
  reading.routes = MakeRoutes(3);
  reading.targets = { MakeTarget("a", 5) };
  node.state.ApplyReading(reading, true, false, node.now, node.now);
  auto odd = MakeTarget("odd", 10);
  odd.ip = reading.targets[0].ip;
  odd.port = reading.targets[0].port;
  odd.incarnation = reading.targets[0].incarnation + 1;
  node.state.ApplyReading({ 10, std::nullopt, { odd }, {} }, false, false,
                          node.now, node.now);
  auto renewed = reading.targets[0];
  renewed.revision = 11;
  node.state.ApplyReading({ 11, std::nullopt, { renewed }, {} }, false, false,
                          node.now, node.now);
  cr_assert(node.targets.Find("a")->AcceptsNewFlows(node.now));
}
