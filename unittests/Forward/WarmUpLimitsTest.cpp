// Limits of targets that warm up. The load: a whole failure domain returns cold
// at the peak, and each of many balancers would send it as much as it can.

#include "unittests/Forward/TestForward.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <deque>

using namespace bramleylock;
using namespace bramleylock::forward;

namespace {

constexpr double kLimit = 10;
constexpr WarmUpTolerance kTolerance{ 1.5, 5 };
constexpr double kMostPerSecond = kLimit * 1.5 + 5;

auto Addresses(std::size_t aCount) -> std::vector<std::string>
{
  std::vector<std::string> addresses;
  addresses.reserve(aCount);
  for (std::size_t i = 0; i < aCount; ++i) {
    addresses.push_back("10.0.0." + std::to_string(i) + ":1");
  }
  return addresses;
}

auto ColdTarget(Clock::time_point aNow) -> DirectoryEntry
{
  DirectoryEntry target;
  target.record = MakeTarget("cold", 5);
  target.tag = ComputeTag("cold", 1);
  target.warmUpEndsAt = aNow + std::chrono::seconds(30);
  return target;
}

/// The limits of several balancers, which know aKnown of their failure domain.
struct Fleet
{
  Fleet(std::size_t aCount, std::size_t aKnown, const std::string& aDomain)
  {
    const auto addresses = Addresses(aCount);
    for (std::size_t i = 0; i < aCount; ++i) {
      auto known = addresses;
      std::rotate(known.begin(), known.begin() + static_cast<std::ptrdiff_t>(i),
                  known.end());
      known.resize(aKnown);
      balancers.emplace_back(kTolerance);
      balancers.back().SetBalancers({ aDomain, addresses[i], known, aCount });
    }
  }

  /// Lets every balancer send as much as it may for aSeconds, after aIdle
  /// without demand, and returns the most requests within one second.
  auto MostPerSecond(int aSeconds, Milliseconds aIdle = {}) -> std::size_t
  {
    for (auto& limits : balancers) {
      limits.MayOpenFlow(target, kLimit, now);
    }
    now += aIdle;
    target.warmUpEndsAt = now + std::chrono::seconds(30);
    std::deque<Clock::time_point> sent;
    std::size_t most = 0;
    for (int step = 0; step < aSeconds * 100; ++step) {
      now += Milliseconds(10);
      for (auto& limits : balancers) {
        if (limits.MayOpenFlow(target, kLimit, now)) {
          limits.RecordRequest(target, kLimit, now);
          sent.push_back(now);
          ++total;
        }
      }
      while (!sent.empty() && now - sent.front() >= std::chrono::seconds(1)) {
        sent.pop_front();
      }
      most = std::max(most, sent.size());
    }
    return most;
  }

  Clock::time_point now{ std::chrono::hours(1) };
  DirectoryEntry target = ColdTarget(now);
  std::vector<WarmUpLimits> balancers;
  std::size_t total = 0;
};

} // namespace

// Guards against a target that gets its limit from each of 21 balancers, and
// against one that is left idle.
Test(WarmUpLimits, FleetKeepsTheLimitAndUsesIt)
{
  Fleet fleet(21, 21, "here");
  cr_assert(fleet.MostPerSecond(10) <= kMostPerSecond);
  cr_assert(fleet.total >= 0.8 * kLimit * 10, "%zu", fleet.total);
}

// Guards against a burst after a time without demand, in which allowances grow.
Test(WarmUpLimits, IdleTimeDoesNotAddUp)
{
  Fleet fleet(21, 21, "here");
  cr_assert(fleet.MostPerSecond(5, Milliseconds(9000)) <= kMostPerSecond);
}

// Guards against balancers that have just started, or are all cut off from each
// other, and each consider themselves the only ones.
Test(WarmUpLimits, BalancersThatKnowNobodyKeepTheLimitTogether)
{
  Fleet fleet(21, 1, "here");
  cr_assert(fleet.MostPerSecond(10) <= kMostPerSecond);
}

// Guards against a limit that a large part of the domain and the few balancers
// that it does not know use twice, and against two halves that each take all.
Test(WarmUpLimits, PartsOfAPartitionedDomainKeepTheLimitTogether)
{
  for (const std::size_t known : { 20, 17, 11 }) {
    Fleet fleet(21, known, "here");
    const auto addresses = Addresses(21);
    for (std::size_t i = 0; i < 21; ++i) {
      const bool inFirst = i < known;
      const auto first =
        addresses.begin() + (inFirst ? 0 : static_cast<long>(known));
      const auto last = inFirst ? addresses.begin() + static_cast<long>(known)
                                : addresses.end();
      fleet.balancers[i].SetBalancers(
        { "here", addresses[i], { first, last }, 21 });
    }
    const auto most = fleet.MostPerSecond(10);
    cr_assert(most <= kMostPerSecond, "%zu with %zu known", most, known);
  }
}

// Guards against balancers that each take the whole limit at the first start,
// when neither peers nor their usual number are known.
Test(WarmUpLimits, NothingIsSentBeforeTheNumberOfBalancersIsKnown)
{
  Fleet fleet(21, 1, "here");
  const auto addresses = Addresses(21);
  for (std::size_t i = 0; i < 21; ++i) {
    fleet.balancers[i].SetBalancers(
      { "here", addresses[i], { addresses[i] }, 0 });
  }
  fleet.MostPerSecond(5);
  cr_assert(fleet.total == 0);
}

// Guards against balancers of other failure domains, which select other owners.
Test(WarmUpLimits, OtherDomainsSendNothingToATargetThatWarmsUp)
{
  Fleet fleet(21, 21, "there");
  fleet.MostPerSecond(5);
  cr_assert(fleet.total == 0);
}

// Guards against requests on open flows that are not counted: they are never
// held back, so fewer flows are opened.
Test(WarmUpLimits, RequestsOnOpenFlowsCount)
{
  Fleet fleet(1, 1, "here");
  auto& limits = fleet.balancers.front();
  std::size_t opened = 0;
  for (int step = 0; step < 500; ++step) {
    fleet.now += Milliseconds(10);
    if (step % 10 == 0) {
      limits.RecordRequest(fleet.target, kLimit, fleet.now);
    }
    if (limits.MayOpenFlow(fleet.target, kLimit, fleet.now)) {
      limits.RecordRequest(fleet.target, kLimit, fleet.now);
      ++opened;
    }
  }
  cr_assert(opened <= 5, "%zu flows beside 10 requests a second", opened);
}

// Guards against limits for deployments that set none, and for warm targets.
Test(WarmUpLimits, NoLimitWithoutASettingOrAfterTheWarmUp)
{
  Fleet fleet(21, 21, "there");
  auto& limits = fleet.balancers.front();
  cr_assert(limits.MayOpenFlow(fleet.target, 0, fleet.now));
  fleet.target.warmUpEndsAt = fleet.now;
  cr_assert(limits.MayOpenFlow(fleet.target, kLimit, fleet.now));
}

// Guards against load that stays away from warm targets, and against clients
// that wait for cold ones until their deadline.
Test(WarmUpLimits, RestOfTheLoadGoesToWarmTargetsOrIsRefused)
{
  TestForward test;
  auto routes = MakeRoutes(2);
  routes.services.push_back({ "orders", "/health", 0, 2000, 1 });
  test.routes.Install(routes, test.now);
  test.forwarder.SetDomainBalancers({ "here", "a:1", { "a:1" }, 1 });
  auto cold = MakeTarget("cold", 5);
  cold.warmUpMs = 30000;
  test.targets.Apply(cold, test.now);
  std::uint16_t port = 0;
  for (int flow = 0; flow < 5; ++flow) {
    test.Send(TestForward::Opening(++port));
  }
  cr_assert(test.sink.toTargets.size() <= 1);
  cr_assert(test.sink.resets.size() >= 4);
  cr_assert(test.metrics.Get(Counter::FlowRefusedWarmUp) >= 4);

  test.targets.Apply(MakeTarget("warm", 6), test.now);
  test.sink.toTargets.clear();
  for (int flow = 0; flow < 3; ++flow) {
    test.Send(TestForward::Opening(++port));
    cr_assert(test.sink.toTargets.back().target == "warm");
  }
}
