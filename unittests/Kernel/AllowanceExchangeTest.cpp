// Allowance transfers between two balancers over links that a test controls.

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

/// Records sent messages, which the test delivers or drops.
class RecordingLinks : public peer::PeerLinks
{
public:
  auto UpdateIdentity(const wire::Hello&) -> void override {}

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

/// One of the two balancers of a failure domain.
struct TestBalancer
{
  explicit TestBalancer(const std::string& aAddress)
    : limits(admission::AllowanceSharingRegistry::Instance().Create("transfer"))
    , exchange(lists, links, limits, metrics, [] { return kNowMs; })
  {
    self.address = aAddress;
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

  /// Offers aOffered requests of a plan and returns how many are admitted.
  auto TakeRequests(int aPlan, int aOffered) -> int
  {
    const auto name = fmt::format("plan-{}", aPlan);
    const auto plan = lists.Current()->plans.at(name);
    int admitted = 0;
    for (int i = 0; i < aOffered; ++i) {
      const auto refusal = limits.Consume(name, plan, kNowMs);
      admitted += refusal.reason == Reason::None ? 1 : 0;
    }
    return admitted;
  }

  /// Delivers all recorded messages to aOther.
  auto DeliverTo(TestBalancer& aOther) -> void
  {
    const auto messages = std::exchange(links.sent, {});
    for (const auto& message : messages) {
      cr_assert_eq(message.to, aOther.self.address);
      aOther.links.handlers.at(message.type)(self, message.body);
    }
  }

  static constexpr int kPlans = 40;
  Metrics metrics;
  lists::ListReplica lists{ metrics };
  RecordingLinks links;
  PlanLimits limits;
  AllowanceExchange exchange;
  wire::Hello self;
};

} // namespace

Test(AllowanceExchange, BusyBalancerUsesAllowanceOfIdlePeer)
{
  TestBalancer busy("a:1");
  TestBalancer idle("b:1");
  cr_assert_eq(busy.TakeRequests(0, 20), 10);
  busy.DeliverTo(idle);
  idle.DeliverTo(busy);
  cr_assert_geq(busy.TakeRequests(0, 20), 4);
  for (int i = 0; i < 10; ++i) {
    busy.DeliverTo(idle);
    idle.DeliverTo(busy);
  }
  const auto received = busy.metrics.Get(Counter::AllowanceReceived);
  cr_assert_eq(received, idle.metrics.Get(Counter::AllowanceGiven));
  cr_assert_leq(received, 10);
  cr_assert_eq(idle.TakeRequests(0, 20), 10 - static_cast<int>(received));
}

Test(AllowanceExchange, LostGrantIsUsedByNeitherBalancer)
{
  TestBalancer busy("a:1");
  TestBalancer idle("b:1");
  busy.TakeRequests(0, 20);
  busy.DeliverTo(idle);
  idle.links.sent.clear();
  cr_assert_eq(busy.TakeRequests(0, 20), 0);
  const auto given = idle.metrics.Get(Counter::AllowanceGiven);
  cr_assert_gt(given, 0);
  cr_assert_eq(idle.TakeRequests(0, 20), 10 - static_cast<int>(given));
}

Test(AllowanceExchange, FloodOfManyPlansSendsBoundedNumberOfMessages)
{
  TestBalancer busy("a:1");
  for (int plan = 0; plan < TestBalancer::kPlans; ++plan) {
    busy.TakeRequests(plan, 1000);
  }
  cr_assert_eq(busy.links.sent.size(), 16);
}

Test(AllowanceExchange, MalformedMessageIsCounted)
{
  TestBalancer busy("a:1");
  busy.links.handlers.at(MessageType::AllowanceGrant)({}, "x");
  busy.links.handlers.at(MessageType::AllowanceRequest)({}, "x");
  cr_assert_eq(busy.metrics.Get(Counter::PeerFrameMalformed), 2);
}
