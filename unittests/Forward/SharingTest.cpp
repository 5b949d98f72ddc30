// How many balancers share the targets while a failure domain is out of reach.

#include "unittests/Forward/TestForward.h"

#include <criterion/criterion.h>

using namespace bramleylock;
using namespace bramleylock::forward;

/// Six slots in each of two failure domains, and no answer from the other one.
static auto CutDomainOff(TestForward& aTest) -> void
{
  for (const auto* id : { "a", "b", "c" }) {
    aTest.targets.Apply(MakeTarget(id, 5), aTest.now);
  }
  for (const auto* id : { "x", "y", "z" }) {
    auto far = MakeTarget(id, 6);
    far.failureDomain = "there";
    aTest.targets.Apply(far, aTest.now);
    aTest.targets.Find(id)->stats.silentSince = aTest.now;
  }
}

/// Seven of eight balancers are out of reach: these do not share the targets
/// that are left.
Test(Sharing, BalancersOutOfReachDoNotShareTheTargets)
{
  TestForward test;
  test.forwarder.SetBalancers(8, { { "here", 1 }, { "there", 7 } });
  CutDomainOff(test);
  for (std::uint16_t port = 1; port <= 6; ++port) {
    test.Send(TestForward::Opening(port));
  }
  cr_assert(test.forwarder.PendingFlowCount() == 0, "six slots are free");
  // Where one of them answers, its domain is in reach.
  test.targets.Find("x")->stats.silentSince = {};
  test.Send(TestForward::Opening(7));
  cr_assert(test.forwarder.PendingFlowCount() == 1);
}

/// A balancer that started without the store knows no members.
Test(Sharing, DomainsOutOfReachCountBeforeMembersAreFound)
{
  TestForward test;
  test.forwarder.SetBalancers(4);
  CutDomainOff(test);
  // Two balancers share six slots: three each, and as many as three standard
  // deviations more.
  for (std::uint16_t port = 1; port <= 9; ++port) {
    test.Send(TestForward::Opening(port));
  }
  cr_assert(test.forwarder.PendingFlowCount() == 0);
  test.Send(TestForward::Opening(10));
  cr_assert(test.forwarder.PendingFlowCount() == 1);
}
