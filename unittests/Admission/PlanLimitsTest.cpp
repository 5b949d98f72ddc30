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
  return PlanLimits(AllowanceSharingRegistry::Instance().Create(aSharing));
}

/// The number of requests out of aOffered that aLimits admits.
static auto CountAdmitted(PlanLimits& aLimits, const lists::Plan& aPlan,
                          int aOffered, std::uint64_t aNowMs = kNowMs) -> int
{
  int admitted = 0;
  for (int i = 0; i < aOffered; ++i) {
    const auto refusal = aLimits.Consume("clubs", aPlan, aNowMs);
    admitted += refusal.reason == Reason::None ? 1 : 0;
  }
  return admitted;
}

Test(AllowanceAllocation, PartsAddUpToTheTotal)
{
  for (const std::uint64_t total : { 0, 1, 7, 859, 860, 861, 100000 }) {
    for (std::uint64_t period = 0; period < 20; ++period) {
      const auto rotation = AllocationRotation("clubs", period);
      std::uint64_t sum = 0;
      for (std::size_t i = 0; i < 860; ++i) {
        sum += IntegerShare(total, { i, 860 }, rotation);
      }
      cr_assert_eq(sum, total);
    }
  }
}

Test(AllowanceAllocation, SharesBelowOneRequestAddUpAcrossFleet)
{
  const auto plan = MakePlan(10);
  std::uint64_t sum = 0;
  for (int domain = 0; domain < 14; ++domain) {
    for (int self = 0; self < 86; ++self) {
      auto limits = MakeLimits();
      limits.SetFleetView(MakeView(14, 86, self, domain));
      sum += CountAdmitted(limits, plan, 5);
    }
  }
  cr_assert_eq(sum, 10);
}

Test(AllowanceAllocation, FractionalLimitsAddUpOverPeriods)
{
  std::uint64_t sum = 0;
  for (std::uint64_t period = kPeriod; period < kPeriod + 1000; ++period) {
    sum += RequestsInPeriod(0.3, period);
  }
  cr_assert(sum >= 299 && sum <= 301);
}

Test(AllowanceAllocation, ViewsThatDifferInOneMemberExceedLimitSlightly)
{
  // Half of the members compute the allocation with the last member in their
  // view, half without it.
  for (const std::uint64_t total : { 3, 20, 100, 1000 }) {
    for (std::uint64_t period = 0; period < 50; ++period) {
      const auto rotation = AllocationRotation("clubs", period);
      std::uint64_t sum = IntegerShare(total, { 19, 20 }, rotation);
      for (std::size_t i = 0; i < 19; ++i) {
        sum += IntegerShare(total, { i, i % 2 == 0 ? 20U : 19U }, rotation);
      }
      cr_assert_leq(sum, total + total / 19 + 2);
    }
  }
}

Test(AllowanceAllocation, PlanRestrictedToOtherDomainsHasNoShare)
{
  auto plan = MakePlan(100);
  plan.failureDomains = { "domain-001", "domain-002" };
  cr_assert_eq(DomainShareIndex(plan, MakeView(3, 2)).count, 0);
  const auto place = DomainShareIndex(plan, MakeView(3, 2, 0, 2));
  cr_assert_eq(place.index, 1);
  cr_assert_eq(place.count, 2);
}

Test(PlanLimits, PlanWithoutLimitsIsNeverRefused)
{
  auto limits = MakeLimits();
  limits.SetFleetView(MakeView(3, 2));
  cr_assert_eq(CountAdmitted(limits, MakePlan(0), 10000), 10000);
}

Test(PlanLimits, RateBeyondTheShareIsRefusedUntilTheNextPeriod)
{
  auto limits = MakeLimits();
  limits.SetFleetView(MakeView(3, 2));
  const auto plan = MakePlan(60);
  cr_assert_eq(CountAdmitted(limits, plan, 100, kNowMs + 400), 10);
  const auto refusal = limits.Consume("clubs", plan, kNowMs + 400);
  cr_assert_eq(refusal.reason, Reason::PlanRate);
  cr_assert_eq(refusal.retryAfterMs, 600);
  cr_assert_eq(CountAdmitted(limits, plan, 100, kNowMs + kAllowancePeriodMs),
               10);
}

Test(PlanLimits, CheckDoesNotConsumeAllowance)
{
  auto limits = MakeLimits();
  limits.SetFleetView(MakeView(3, 2));
  const auto plan = MakePlan(60);
  for (int i = 0; i < 100; ++i) {
    cr_assert_eq(limits.Check("clubs", plan, kNowMs).reason, Reason::None);
  }
  cr_assert_eq(CountAdmitted(limits, plan, 100), 10);
}

Test(PlanLimits, ChangedLimitAppliesImmediately)
{
  auto limits = MakeLimits();
  limits.SetFleetView(MakeView(3, 2));
  cr_assert_eq(CountAdmitted(limits, MakePlan(60), 100), 10);
  cr_assert_eq(CountAdmitted(limits, MakePlan(120), 100), 10);
  cr_assert_eq(CountAdmitted(limits, MakePlan(60), 100), 0);
}

Test(PlanLimits, JoiningBalancerReducesSharesImmediately)
{
  auto limits = MakeLimits();
  limits.SetFleetView(MakeView(3, 1));
  cr_assert_eq(CountAdmitted(limits, MakePlan(60), 12), 12);
  limits.SetFleetView(MakeView(3, 2));
  cr_assert_eq(CountAdmitted(limits, MakePlan(60), 100), 0);
}

Test(PlanLimits, ShareOfFailedBalancerIsReallocatedInNextPeriod)
{
  auto limits = MakeLimits();
  limits.SetFleetView(MakeView(3, 2));
  cr_assert_eq(CountAdmitted(limits, MakePlan(60), 100), 10);
  limits.SetFleetView(MakeView(3, 1));
  cr_assert_eq(CountAdmitted(limits, MakePlan(60), 100), 0);
  cr_assert_eq(
    CountAdmitted(limits, MakePlan(60), 100, kNowMs + kAllowancePeriodMs), 20);
}

Test(PlanLimits, RequestsInFlightStayWithinTheShareOfTheConcurrency)
{
  auto limits = MakeLimits();
  limits.SetFleetView(MakeView(3, 2));
  const auto plan = MakePlan(0, 12);
  limits.BeginRequest("clubs");
  cr_assert_eq(limits.Consume("clubs", plan, kNowMs).reason, Reason::None);
  limits.BeginRequest("clubs");
  const auto refusal = limits.Consume("clubs", plan, kNowMs);
  cr_assert_eq(refusal.reason, Reason::PlanConcurrency);
  cr_assert_gt(refusal.retryAfterMs, 0);
  limits.EndRequest("clubs");
  cr_assert_eq(limits.Consume("clubs", plan, kNowMs).reason, Reason::None);
}

Test(PlanLimits, ConcurrencyLimitAppliesAcrossPeriods)
{
  auto limits = MakeLimits();
  limits.SetFleetView(MakeView(1, 1));
  const auto plan = MakePlan(0, 1);
  limits.BeginRequest("clubs");
  for (std::uint64_t later = 0; later < 200; ++later) {
    const auto now = kNowMs + later * kAllowancePeriodMs;
    cr_assert_eq(limits.Consume("clubs", plan, now).reason,
                 Reason::PlanConcurrency);
  }
}

Test(PlanLimits, ConcurrencyBelowNumberOfBalancersAddsUp)
{
  int slots = 0;
  for (int domain = 0; domain < 3; ++domain) {
    for (int self = 0; self < 20; ++self) {
      auto limits = MakeLimits();
      limits.SetFleetView(MakeView(3, 20, self, domain));
      const auto refusal = limits.Consume("clubs", MakePlan(0, 7), kNowMs);
      slots += refusal.reason == Reason::None ? 1 : 0;
    }
  }
  cr_assert_eq(slots, 7);
}

Test(AllowanceTransfer, IdleBalancerGrantsAllItsAllowance)
{
  auto idle = MakeLimits("transfer");
  auto busy = MakeLimits("transfer");
  idle.SetFleetView(MakeView(3, 2, 0));
  busy.SetFleetView(MakeView(3, 2, 1));
  const auto plan = MakePlan(60);
  cr_assert_eq(CountAdmitted(busy, plan, 30), 10);
  const auto granted = idle.GrantToPeer("clubs", plan, kPeriod, 20, kNowMs);
  cr_assert_eq(granted, 10);
  busy.AddGrant("clubs", plan, kPeriod, granted, kNowMs);
  cr_assert_eq(CountAdmitted(busy, plan, 30), 10);
  cr_assert_eq(CountAdmitted(idle, plan, 30), 0);
}

Test(AllowanceTransfer, BusyBalancerKeepsAllowanceForExpectedRequests)
{
  auto limits = MakeLimits("transfer");
  limits.SetFleetView(MakeView(3, 2));
  const auto plan = MakePlan(60);
  const auto next = kNowMs + kAllowancePeriodMs;
  cr_assert_eq(CountAdmitted(limits, plan, 7), 7);
  cr_assert_eq(limits.GrantToPeer("clubs", plan, kPeriod + 1, 20, next), 3);
  cr_assert_eq(CountAdmitted(limits, plan, 30, next), 7);
}

Test(AllowanceTransfer, LostGrantIsNotUsed)
{
  auto granter = MakeLimits("transfer");
  granter.SetFleetView(MakeView(3, 2));
  const auto plan = MakePlan(60);
  cr_assert_eq(granter.GrantToPeer("clubs", plan, kPeriod, 4, kNowMs), 4);
  cr_assert_eq(CountAdmitted(granter, plan, 30), 6);
}

Test(AllowanceTransfer, AllowanceOfAnotherPeriodIsNotTransferred)
{
  auto limits = MakeLimits("transfer");
  limits.SetFleetView(MakeView(3, 2));
  const auto plan = MakePlan(60);
  cr_assert_eq(limits.GrantToPeer("clubs", plan, kPeriod - 1, 5, kNowMs), 0);
  limits.AddGrant("clubs", plan, kPeriod - 1, 5, kNowMs);
  cr_assert_eq(CountAdmitted(limits, plan, 30), 10);
}

Test(AllowanceTransfer, LoweredLimitLeavesNothingToGrant)
{
  auto limits = MakeLimits("transfer");
  limits.SetFleetView(MakeView(3, 2));
  cr_assert_eq(limits.GrantToPeer("clubs", MakePlan(60), kPeriod, 8, kNowMs),
               8);
  cr_assert_eq(limits.GrantToPeer("clubs", MakePlan(30), kPeriod, 8, kNowMs),
               0);
  cr_assert_eq(CountAdmitted(limits, MakePlan(30), 30), 0);
}

Test(AllowanceTransfer, BalancerReportsItsShortfall)
{
  auto limits = MakeLimits("transfer");
  limits.SetFleetView(MakeView(3, 2));
  std::vector<std::uint64_t> shortfalls;
  limits.SetShortfallHandler(
    [&shortfalls](const std::string&, std::uint64_t, std::uint64_t aWanted) {
      shortfalls.push_back(aWanted);
    });
  const auto plan = MakePlan(60);
  CountAdmitted(limits, plan, 12);
  cr_assert_eq(shortfalls.size(), 2);
  cr_assert_eq(shortfalls.back(), 2);
  limits.Check("clubs", plan, kNowMs + kAllowancePeriodMs);
  cr_assert_eq(shortfalls.size(), 3);
  cr_assert_eq(shortfalls.back(), 2);
}

Test(AllowanceTransfer, PeersWithSharesBelowOneRequestAreFound)
{
  auto limits = MakeLimits("transfer");
  limits.SetFleetView(MakeView(1, 86));
  const auto plan = MakePlan(3);
  const auto admitted = CountAdmitted(limits, plan, 5);
  const auto holders = limits.PeersWithAllowance("clubs", plan);
  cr_assert_eq(static_cast<int>(holders.size()) + admitted, 3);
}

Test(AllowanceTransfer, StaticSharingTransfersNothing)
{
  auto limits = MakeLimits();
  limits.SetFleetView(MakeView(3, 2));
  limits.SetShortfallHandler(
    [](const std::string&, std::uint64_t, std::uint64_t) {
      cr_assert_fail("static sharing requested allowance from a peer");
    });
  const auto plan = MakePlan(60);
  cr_assert_eq(limits.GrantToPeer("clubs", plan, kPeriod, 5, kNowMs), 0);
  cr_assert_eq(CountAdmitted(limits, plan, 30), 10);
}
