// Tests the allocation, transfer and enforcement of plan limits in a fleet.

#include "bramleylock/Admission/PlanLimits.h"

#include <criterion/criterion.h>

#include <fmt/format.h>

#include <algorithm>

using namespace bramleylock;
using namespace bramleylock::admission;
using wire::Reason;

static constexpr std::uint64_t kPeriod = 1780000000;
static constexpr std::uint64_t kNowMs = kPeriod * kAllowancePeriodMs;

static auto MakeView(int aDomains, int aMembers, int aSelf = 0, int aDomain = 0)
  -> FleetView
{
  FleetView view;
  for (int i = 0; i < aDomains; ++i) {
    view.failureDomains.push_back(fmt::format("domain-{:03}", i));
  }
  for (int i = 0; i < aMembers; ++i) {
    view.members.push_back(fmt::format("member-{:03}", i));
  }
  view.failureDomain = view.failureDomains[aDomain];
  view.self = view.members[aSelf];
  return view;
}

static auto MakePlan(double aRate, std::uint32_t aConcurrency = 0)
  -> lists::Plan
{
  lists::Plan plan;
  plan.ratePerSecond = aRate;
  plan.concurrency = aConcurrency;
  return plan;
}

static auto MakeLimits(const std::string& aSharing = "static") -> PlanLimits
{
  return PlanLimits(SharingRegistry::Instance().Create(aSharing));
}

/// The number of requests out of aOffered that aLimits admits.
static auto Taken(PlanLimits& aLimits, const lists::Plan& aPlan, int aOffered,
                  std::uint64_t aNowMs = kNowMs) -> int
{
  int taken = 0;
  for (int i = 0; i < aOffered; ++i) {
    const auto refusal = aLimits.Take("clubs", aPlan, aNowMs);
    taken += refusal.reason == Reason::None ? 1 : 0;
  }
  return taken;
}

Test(AllowanceDeal, PartsAddUpToTheTotal)
{
  for (const std::uint64_t total : { 0, 1, 7, 859, 860, 861, 100000 }) {
    for (std::uint64_t period = 0; period < 20; ++period) {
      const auto rotation = RotationOf("clubs", period);
      std::uint64_t sum = 0;
      for (std::size_t i = 0; i < 860; ++i) {
        sum += DealtPart(total, { i, 860 }, rotation);
      }
      cr_assert_eq(sum, total);
    }
  }
}

Test(AllowanceDeal, SharesBelowOneRequestAddUpOverTheFleet)
{
  const auto plan = MakePlan(10);
  std::uint64_t sum = 0;
  for (int domain = 0; domain < 14; ++domain) {
    for (int self = 0; self < 86; ++self) {
      auto limits = MakeLimits();
      limits.SetView(MakeView(14, 86, self, domain));
      sum += Taken(limits, plan, 5);
    }
  }
  cr_assert_eq(sum, 10);
}

Test(AllowanceDeal, FractionsOfALimitAddUpOverPeriods)
{
  std::uint64_t sum = 0;
  for (std::uint64_t period = kPeriod; period < kPeriod + 1000; ++period) {
    sum += RequestsInPeriod(0.3, period);
  }
  cr_assert(sum >= 299 && sum <= 301);
}

Test(AllowanceDeal, MembersThatDisagreeAboutOneOvershootLittle)
{
  // Half of the members compute the allocation with the last member in their
  // view, half without it.
  for (const std::uint64_t total : { 3, 20, 100, 1000 }) {
    for (std::uint64_t period = 0; period < 50; ++period) {
      const auto rotation = RotationOf("clubs", period);
      std::uint64_t sum = DealtPart(total, { 19, 20 }, rotation);
      for (std::size_t i = 0; i < 19; ++i) {
        sum += DealtPart(total, { i, i % 2 == 0 ? 20U : 19U }, rotation);
      }
      cr_assert_leq(sum, total + total / 19 + 2);
    }
  }
}

Test(AllowanceDeal, PlanOfOtherDomainsHasNoShareHere)
{
  auto plan = MakePlan(100);
  plan.failureDomains = { "domain-001", "domain-002" };
  cr_assert_eq(DomainPlace(plan, MakeView(3, 2)).count, 0);
  const auto place = DomainPlace(plan, MakeView(3, 2, 0, 2));
  cr_assert_eq(place.position, 1);
  cr_assert_eq(place.count, 2);
}

Test(PlanLimits, PlanWithoutLimitsIsNeverRefused)
{
  auto limits = MakeLimits();
  limits.SetView(MakeView(3, 2));
  cr_assert_eq(Taken(limits, MakePlan(0), 10000), 10000);
}

Test(PlanLimits, RateBeyondTheShareIsRefusedUntilTheNextPeriod)
{
  auto limits = MakeLimits();
  limits.SetView(MakeView(3, 2));
  const auto plan = MakePlan(60);
  cr_assert_eq(Taken(limits, plan, 100, kNowMs + 400), 10);
  const auto refusal = limits.Take("clubs", plan, kNowMs + 400);
  cr_assert_eq(refusal.reason, Reason::PlanRate);
  cr_assert_eq(refusal.retryAfterMs, 600);
  cr_assert_eq(Taken(limits, plan, 100, kNowMs + kAllowancePeriodMs), 10);
}

Test(PlanLimits, CheckTakesNothing)
{
  auto limits = MakeLimits();
  limits.SetView(MakeView(3, 2));
  const auto plan = MakePlan(60);
  for (int i = 0; i < 100; ++i) {
    cr_assert_eq(limits.Check("clubs", plan, kNowMs).reason, Reason::None);
  }
  cr_assert_eq(Taken(limits, plan, 100), 10);
}

Test(PlanLimits, ChangedLimitIsInForceAtOnce)
{
  auto limits = MakeLimits();
  limits.SetView(MakeView(3, 2));
  cr_assert_eq(Taken(limits, MakePlan(60), 100), 10);
  cr_assert_eq(Taken(limits, MakePlan(120), 100), 10);
  cr_assert_eq(Taken(limits, MakePlan(60), 100), 0);
}

Test(PlanLimits, JoiningBalancerShrinksSharesAtOnce)
{
  auto limits = MakeLimits();
  limits.SetView(MakeView(3, 1));
  cr_assert_eq(Taken(limits, MakePlan(60), 12), 12);
  limits.SetView(MakeView(3, 2));
  cr_assert_eq(Taken(limits, MakePlan(60), 100), 0);
}

Test(PlanLimits, DeadBalancersShareComesBackInTheNextPeriod)
{
  auto limits = MakeLimits();
  limits.SetView(MakeView(3, 2));
  cr_assert_eq(Taken(limits, MakePlan(60), 100), 10);
  limits.SetView(MakeView(3, 1));
  cr_assert_eq(Taken(limits, MakePlan(60), 100), 0);
  cr_assert_eq(Taken(limits, MakePlan(60), 100, kNowMs + kAllowancePeriodMs),
               20);
}

Test(PlanLimits, RequestsInFlightStayWithinTheShareOfTheConcurrency)
{
  auto limits = MakeLimits();
  limits.SetView(MakeView(3, 2));
  const auto plan = MakePlan(0, 12);
  limits.Begin("clubs");
  cr_assert_eq(limits.Take("clubs", plan, kNowMs).reason, Reason::None);
  limits.Begin("clubs");
  const auto refusal = limits.Take("clubs", plan, kNowMs);
  cr_assert_eq(refusal.reason, Reason::PlanConcurrency);
  cr_assert_gt(refusal.retryAfterMs, 0);
  limits.End("clubs");
  cr_assert_eq(limits.Take("clubs", plan, kNowMs).reason, Reason::None);
}

Test(PlanLimits, ConcurrencyOutlastsThePeriods)
{
  auto limits = MakeLimits();
  limits.SetView(MakeView(1, 1));
  const auto plan = MakePlan(0, 1);
  limits.Begin("clubs");
  for (std::uint64_t later = 0; later < 200; ++later) {
    const auto now = kNowMs + later * kAllowancePeriodMs;
    cr_assert_eq(limits.Take("clubs", plan, now).reason,
                 Reason::PlanConcurrency);
  }
}

Test(PlanLimits, ConcurrencyBelowTheNumberOfBalancersAddsUp)
{
  int slots = 0;
  for (int domain = 0; domain < 3; ++domain) {
    for (int self = 0; self < 20; ++self) {
      auto limits = MakeLimits();
      limits.SetView(MakeView(3, 20, self, domain));
      const auto refusal = limits.Take("clubs", MakePlan(0, 7), kNowMs);
      slots += refusal.reason == Reason::None ? 1 : 0;
    }
  }
  cr_assert_eq(slots, 7);
}

Test(AllowanceTransfer, IdleBalancerGivesAllItsAllowance)
{
  auto idle = MakeLimits("transfer");
  auto busy = MakeLimits("transfer");
  idle.SetView(MakeView(3, 2, 0));
  busy.SetView(MakeView(3, 2, 1));
  const auto plan = MakePlan(60);
  cr_assert_eq(Taken(busy, plan, 30), 10);
  const auto granted = idle.Give("clubs", plan, kPeriod, 20, kNowMs);
  cr_assert_eq(granted, 10);
  busy.Receive("clubs", plan, kPeriod, granted, kNowMs);
  cr_assert_eq(Taken(busy, plan, 30), 10);
  cr_assert_eq(Taken(idle, plan, 30), 0);
}

Test(AllowanceTransfer, BusyBalancerKeepsWhatItWillBeOffered)
{
  auto limits = MakeLimits("transfer");
  limits.SetView(MakeView(3, 2));
  const auto plan = MakePlan(60);
  const auto next = kNowMs + kAllowancePeriodMs;
  cr_assert_eq(Taken(limits, plan, 7), 7);
  cr_assert_eq(limits.Give("clubs", plan, kPeriod + 1, 20, next), 3);
  cr_assert_eq(Taken(limits, plan, 30, next), 7);
}

Test(AllowanceTransfer, LostGrantIsUsedByNobody)
{
  auto giver = MakeLimits("transfer");
  giver.SetView(MakeView(3, 2));
  const auto plan = MakePlan(60);
  cr_assert_eq(giver.Give("clubs", plan, kPeriod, 4, kNowMs), 4);
  cr_assert_eq(Taken(giver, plan, 30), 6);
}

Test(AllowanceTransfer, AllowanceOfAnotherPeriodIsNotMoved)
{
  auto limits = MakeLimits("transfer");
  limits.SetView(MakeView(3, 2));
  const auto plan = MakePlan(60);
  cr_assert_eq(limits.Give("clubs", plan, kPeriod - 1, 5, kNowMs), 0);
  limits.Receive("clubs", plan, kPeriod - 1, 5, kNowMs);
  cr_assert_eq(Taken(limits, plan, 30), 10);
}

Test(AllowanceTransfer, LoweredLimitLeavesNothingToGive)
{
  auto limits = MakeLimits("transfer");
  limits.SetView(MakeView(3, 2));
  cr_assert_eq(limits.Give("clubs", MakePlan(60), kPeriod, 8, kNowMs), 8);
  cr_assert_eq(limits.Give("clubs", MakePlan(30), kPeriod, 8, kNowMs), 0);
  cr_assert_eq(Taken(limits, MakePlan(30), 30), 0);
}

Test(AllowanceTransfer, ShortBalancerAsksForWhatItLacks)
{
  auto limits = MakeLimits("transfer");
  limits.SetView(MakeView(3, 2));
  std::vector<std::uint64_t> wanted;
  limits.OnShort(
    [&wanted](const std::string&, std::uint64_t, std::uint64_t aWanted) {
      wanted.push_back(aWanted);
    });
  const auto plan = MakePlan(60);
  Taken(limits, plan, 12);
  cr_assert_eq(wanted.size(), 2);
  cr_assert_eq(wanted.back(), 2);
  limits.Check("clubs", plan, kNowMs + kAllowancePeriodMs);
  cr_assert_eq(wanted.size(), 3);
  cr_assert_eq(wanted.back(), 2);
}

Test(AllowanceTransfer, HoldersOfSharesBelowOneRequestAreFound)
{
  auto limits = MakeLimits("transfer");
  limits.SetView(MakeView(1, 86));
  const auto plan = MakePlan(3);
  const auto taken = Taken(limits, plan, 5);
  const auto holders = limits.Holders("clubs", plan);
  cr_assert_eq(static_cast<int>(holders.size()) + taken, 3);
}

Test(AllowanceTransfer, StaticSharingMovesNothing)
{
  auto limits = MakeLimits();
  limits.SetView(MakeView(3, 2));
  limits.OnShort([](const std::string&, std::uint64_t, std::uint64_t) {
    cr_assert_fail("static sharing requested allowance from a peer");
  });
  const auto plan = MakePlan(60);
  cr_assert_eq(limits.Give("clubs", plan, kPeriod, 5, kNowMs), 0);
  cr_assert_eq(Taken(limits, plan, 30), 10);
}
