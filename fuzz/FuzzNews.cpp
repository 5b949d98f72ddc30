// Fuzzes what a peer says of routes and targets: whatever it is, versions and
// revisions never go back, and what is told on is sound.

#include "bramleylock/Forward/RoutingState.h"
#include "bramleylock/Support/Log.h"
#include "bramleylock/Wire/Messages.h"
#include "measure/PlainPackets.h"

#include <cstdlib>

using namespace bramleylock;
using namespace bramleylock::forward;

namespace {

constexpr Address kService{ 0xc6120001, 443 };

/// A balancer that has read one route and one target.
struct Node
{
  Node()
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
  static const bool quiet = [] {
    ConfigureLog({ LogLevel::Error, false, "fuzz" });
    return true;
  }();
  const std::string body(reinterpret_cast<const char*>(aData), aSize);
  const auto news = wire::UnpackBody<RoutingUpdate>(body);
  if (!quiet || !news || !IsValid(*news)) {
    return 0;
  }
  Node node;
  node.state.ApplyUpdate(*news, node.now);
  if (node.state.RoutesVersion() < 3 || node.state.Revision() < 9) {
    std::abort();
  }
  for (const auto* target : node.targets.Candidates("orders", node.now)) {
    if (target->record.service != "orders" ||
        node.targets.Lookup(target->tag, kService, node.routes) == nullptr) {
      std::abort();
    }
  }
  const auto told = wire::UnpackBody<RoutingUpdate>(
    wire::PackBody(node.state.CreateUpdate({}, node.now)));
  if (!told || !IsValid(*told)) {
    std::abort();
  }
  node.targets.Expire(std::chrono::seconds(61),
                      node.now + std::chrono::minutes(2));
  return 0;
}
