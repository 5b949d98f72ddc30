// Tests of the number of balancers assumed to share the targets while a failure
// domain is unreachable.

#include "unittests/Forward/TestForward.h"

#include <criterion/criterion.h>

using namespace bramleylock;
using namespace bramleylock::forward;

/// Adds three targets with two slots each in each of two failure domains, and
/// marks those in the other domain as silent.
static auto AddTargetsAndPartitionDomain(TestForward& aTest) -> void
{
  for (const auto* id : { "a", "b", "c" }) {
    aTest.targets.Apply(MakeTarget(id, 5), aTest.now);
  }
  for (const auto* id : { "x", "y", "z" }) {
    auto remoteTarget = MakeTarget(id, 6);
    remoteTarget.failureDomain = "there";
    aTest.targets.Apply(remoteTarget, aTest.now);
    aTest.targets.Find(id)->stats.silentSince = aTest.now;
  }
}

/// Seven of eight balancers are in the unreachable domain, so they do not share
/// the remaining targets.
Test(Sharing, UnreachableBalancersDoNotShareTheTargets)
{
  TestForward test;
  test.forwarder.SetBalancers(8, { { "here", 1 }, { "there", 7 } });
  AddTargetsAndPartitionDomain(test);
  for (std::uint16_t port = 1; port <= 6; ++port) {
    test.Send(TestForward::Opening(port));
  }
  cr_assert(test.forwarder.PendingFlowCount() == 0,
            "all six slots are available here");
  // A domain is reachable if at least one of its targets answers.
  test.targets.Find("x")->stats.silentSince = {};
  test.Send(TestForward::Opening(7));
  cr_assert(test.forwarder.PendingFlowCount() == 1);
}

/// A balancer that starts without the store knows no members, only the recorded
/// number of balancers.
Test(Sharing, UnreachableDomainsAreConsideredBeforeMembersAreFound)
{
  TestForward test;
  test.forwarder.SetBalancers(4);
  AddTargetsAndPartitionDomain(test);
  // Two balancers share six slots: each may open three flows plus three
  // standard deviations.
  for (std::uint16_t port = 1; port <= 9; ++port) {
    test.Send(TestForward::Opening(port));
  }
  cr_assert(test.forwarder.PendingFlowCount() == 0);
  test.Send(TestForward::Opening(10));
  cr_assert(test.forwarder.PendingFlowCount() == 1);
}
