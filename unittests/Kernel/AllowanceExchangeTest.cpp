// Allowance that moves between two balancers over links that a test controls.

#include "bramleylock/Kernel/AllowanceExchange.h"

#include <criterion/criterion.h>

#include <fmt/format.h>

using namespace bramleylock;
using namespace bramleylock::kernel;
using admission::PlanLimits;
using wire::MessageType;
using wire::Reason;

static constexpr std::uint64_t kNowMs = 1780000000000;

namespace {

/// Keeps what is sent, for the test to deliver or to lose.
class KeptLinks : public peer::PeerLinks
{
public:
  auto Introduce(const wire::Hello&) -> void override {}

  struct Message
  {
    std::string to;
    MessageType type{};
    std::string body;
  };

  auto On(MessageType aType, peer::MessageHandler aHandler) -> void override
  {
    handlers[aType] = std::move(aHandler);
  }

  auto Send(const std::string& aAddress, MessageType aType, std::string aBody)
    -> bool override
  {
    sent.push_back({ aAddress, aType, std::move(aBody) });
    return true;
  }

  auto OnUnreachable(std::function<void(const std::string&)>) -> void override
  {
  }

  std::map<MessageType, peer::MessageHandler> handlers;
  std::vector<Message> sent;
};

/// One balancer of a failure domain of two.
struct Side
{
  explicit Side(const std::string& aAddress)
    : limits(admission::AllowanceSharingRegistry::Instance().Create("transfer"))
    , exchange(lists, links, limits, metrics, [] { return kNowMs; })
  {
    hello.address = aAddress;
    lists::PlanLists document;
    document.revision = 1;
    for (int i = 0; i < kPlans; ++i) {
      auto& plan = document.plans[fmt::format("plan-{}", i)];
      plan.secretHash = std::string(64, 'a');
      plan.ratePerSecond = 20;
    }
    lists.Install(lists::FormatLists(document));
    limits.SetFleetView({ aAddress, "braga", { "braga" }, { "a:1", "b:1" } });
    exchange.Start();
  }

  /// Requests that the limits let through of aOffered.
  auto Taken(int aPlan, int aOffered) -> int
  {
    const auto name = fmt::format("plan-{}", aPlan);
    const auto plan = lists.Current()->plans.at(name);
    int taken = 0;
    for (int i = 0; i < aOffered; ++i) {
      const auto refusal = limits.Consume(name, plan, kNowMs);
      taken += refusal.reason == Reason::None ? 1 : 0;
    }
    return taken;
  }

  /// Hands everything that was sent to aOther.
  auto Deliver(Side& aOther) -> void
  {
    const auto messages = std::exchange(links.sent, {});
    for (const auto& message : messages) {
      cr_assert_eq(message.to, aOther.hello.address);
      aOther.links.handlers.at(message.type)(hello, message.body);
    }
  }

  static constexpr int kPlans = 40;
  Metrics metrics;
  lists::ListKeeper lists{ metrics };
  KeptLinks links;
  PlanLimits limits;
  AllowanceExchange exchange;
  wire::Hello hello;
};

} // namespace

Test(AllowanceExchange, BusyBalancerUsesWhatTheIdleOneIsDealt)
{
  Side busy("a:1");
  Side idle("b:1");
  cr_assert_eq(busy.Taken(0, 20), 10);
  busy.Deliver(idle);
  idle.Deliver(busy);
  cr_assert_geq(busy.Taken(0, 20), 4);
  for (int i = 0; i < 10; ++i) {
    busy.Deliver(idle);
    idle.Deliver(busy);
  }
  const auto received = busy.metrics.Get(Counter::AllowanceReceived);
  cr_assert_eq(received, idle.metrics.Get(Counter::AllowanceGiven));
  cr_assert_leq(received, 10);
  cr_assert_eq(idle.Taken(0, 20), 10 - static_cast<int>(received));
}

Test(AllowanceExchange, LostGrantIsUsedByNeither)
{
  Side busy("a:1");
  Side idle("b:1");
  busy.Taken(0, 20);
  busy.Deliver(idle);
  idle.links.sent.clear();
  cr_assert_eq(busy.Taken(0, 20), 0);
  const auto given = idle.metrics.Get(Counter::AllowanceGiven);
  cr_assert_gt(given, 0);
  cr_assert_eq(idle.Taken(0, 20), 10 - static_cast<int>(given));
}

Test(AllowanceExchange, FloodOfManyPlansSendsABoundedNumberOfMessages)
{
  Side busy("a:1");
  for (int plan = 0; plan < Side::kPlans; ++plan) {
    busy.Taken(plan, 1000);
  }
  cr_assert_eq(busy.links.sent.size(), 16);
}

Test(AllowanceExchange, MalformedMessageIsCounted)
{
  Side busy("a:1");
  busy.links.handlers.at(MessageType::AllowanceGrant)({}, "x");
  busy.links.handlers.at(MessageType::AllowanceRequest)({}, "x");
  cr_assert_eq(busy.metrics.Get(Counter::PeerFrameMalformed), 2);
}
