// Fuzzes the routing updates of peers: no update may decrease the version of
// the routes or the revision of the state, and updates that are sent on to
// other peers must be valid.

#include "bramleylock/Forward/RoutingState.h"
#include "bramleylock/Support/Log.h"
#include "bramleylock/Wire/Messages.h"
#include "measure/PlainPackets.h"

#include <cstdlib>

using namespace bramleylock;
using namespace bramleylock::forward;

namespace {

constexpr Address kService{ 0xc6120001, 443 };

/// The routing state of a balancer that has read one route and one target from
/// the store.
struct Fixture
{
  Fixture()
  {
    StateReading reading;
    reading.revision = 9;
    RouteSet routes{ 3, 3, 15000, {}, {} };
    routes.routes.push_back({ "orders",
                              kService.ip,
                              kService.port,
                              { { "orders", 1 } },
                              1,
                              1,
                              2000 });
    reading.routes = routes;
    TargetRecord target;
    target.id = "a";
    target.incarnation = 1;
    target.service = "orders";
    target.ip = 1;
    target.port = 80;
    target.slots = 2;
    target.revision = 5;
    reading.targets.push_back(target);
    state.ApplyReading(reading, true, false, now, now);
  }

  Clock::time_point now{ std::chrono::hours(1) };
  PlainCodec codec;
  Metrics metrics;
  RouteTable routes;
  TargetDirectory targets{ codec };
  RoutingState state{ routes, targets, metrics };
};

} // namespace

extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t* aData,
                                       std::size_t aSize) -> int
{
  static const bool logConfigured = [] {
    ConfigureLog({ LogLevel::Error, false, "fuzz" });
    return true;
  }();
  const std::string input(reinterpret_cast<const char*>(aData), aSize);
  const auto update = wire::UnpackBody<RoutingUpdate>(input);
  if (!logConfigured || !update || !IsValid(*update)) {
    return 0;
  }
  Fixture fixture;
  fixture.state.ApplyUpdate(*update, fixture.now);
  if (fixture.state.RoutesVersion() < 3 || fixture.state.Revision() < 9) {
    std::abort();
  }
  for (const auto* target : fixture.targets.Candidates("orders", fixture.now)) {
    if (target->record.service != "orders" ||
        fixture.targets.Lookup(target->tag, kService, fixture.routes) ==
          nullptr) {
      std::abort();
    }
  }
  const auto sentUpdate = wire::UnpackBody<RoutingUpdate>(
    wire::PackBody(fixture.state.CreateUpdate({}, fixture.now)));
  if (!sentUpdate || !IsValid(*sentUpdate)) {
    std::abort();
  }
  fixture.targets.Expire(std::chrono::seconds(61),
                         fixture.now + std::chrono::minutes(2));
  return 0;
}
