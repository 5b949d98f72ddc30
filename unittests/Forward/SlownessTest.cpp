// Tests of the learnt slowness of targets and its effect on the target choice.

#include "unittests/Forward/TestForward.h"

#include <criterion/criterion.h>

using namespace bramleylock;
using namespace bramleylock::forward;

namespace {

constexpr Milliseconds kUsualTime{ 50 };
constexpr Milliseconds kSlowTime{ 250 };

/// Serves one request per flow at the target that the forwarder chooses. Target
/// "a" takes aTimeOfA, the others the usual time.
struct Requests
{
  auto Serve(Milliseconds aTimeOfA) -> std::string
  {
    auto packet = TestForward::Opening(++port);
    packet.flow.client.ip += port;
    test.Send(packet);
    const auto sent = test.sink.toTargets.back();
    auto request = TestForward::Following(packet, sent.packet.tag);
    request.carriesData = true;
    test.Send(request);
    test.AdvanceTime(sent.target == "a" ? aTimeOfA : kUsualTime);
    request.acknowledgement += 1000;
    request.carriesData = false;
    request.ends = true;
    test.Send(request);
    return sent.target;
  }

  /// Returns how many of aCount requests are sent to target "a".
  auto CountAtA(int aCount, Milliseconds aTimeOfA) -> int
  {
    int atA = 0;
    for (int i = 0; i < aCount; ++i) {
      atA += Serve(aTimeOfA) == "a" ? 1 : 0;
    }
    return atA;
  }

  TestForward test;
  std::uint16_t port = 0;
};

} // namespace

/// Idle targets share the requests. Once one of them takes five times as long,
/// it is avoided until its slowness has faded.
Test(Slowness, SlowTargetIsAvoidedForAWhile)
{
  Requests requests;
  for (const auto* id : { "a", "b", "c", "d" }) {
    requests.test.targets.Apply(MakeTarget(id, 5), requests.test.now);
  }
  cr_assert(requests.CountAtA(100, kUsualTime) > 10);
  const auto slowRequests = requests.CountAtA(100, kSlowTime);
  cr_assert(slowRequests <= 8, "%d", slowRequests);
  requests.test.AdvanceTime(Milliseconds(10000));
  cr_assert(requests.CountAtA(100, kUsualTime) > 10);
}

/// The platform reports which targets are still warming up, but not how slow
/// they are. That is learnt from the first ones.
Test(Slowness, SlownessOfWarmingTargetsIsLearnt)
{
  Requests requests;
  auto& test = requests.test;
  for (const auto* id : { "b", "c", "d" }) {
    test.targets.Apply(MakeTarget(id, 5), test.now);
  }
  requests.CountAtA(50, kUsualTime);
  auto warming = MakeTarget("a", 6);
  warming.warmUpMs = 60000;
  test.targets.Apply(warming, test.now);
  // While the other targets have free slots, one that is slower is not used.
  cr_assert_eq(requests.CountAtA(50, kSlowTime), 0);
}

/// One client acknowledges its answers a second late on purpose, at one target
/// after the other. No target is avoided because of it.
Test(Slowness, OneLateClientDoesNotMakeTargetsAppearSlow)
{
  Requests requests;
  for (const auto* id : { "a", "b" }) {
    requests.test.targets.Apply(MakeTarget(id, 5), requests.test.now);
  }
  requests.CountAtA(50, kUsualTime);
  requests.Serve(Milliseconds(1000));
  for (const auto* id : { "a", "b" }) {
    cr_assert(requests.test.targets.Find(id)->stats.slowness < 1.5);
  }
}
