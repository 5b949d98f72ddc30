// Tests of the estimates of durations and round trips.

#include "bramleylock/Estimate/RoundTripTable.h"

#include <criterion/criterion.h>

using namespace bramleylock;
using namespace bramleylock::estimate;

static constexpr std::uint32_t kClient = 0x64400007;
static constexpr std::uint32_t kOtherClient = 0x64400008;

Test(TimeEstimate, FollowsSamplesAndTheirDeviation)
{
  TimeEstimate estimate;
  cr_assert(!estimate.HasSamples());
  for (int i = 0; i < 200; ++i) {
    estimate.Record(Milliseconds(i % 2 == 0 ? 40 : 60));
  }
  cr_assert(estimate.Mean() > Milliseconds(48) &&
            estimate.Mean() < Milliseconds(52));
  cr_assert(estimate.Deviation() > Milliseconds(8) &&
            estimate.Deviation() < Milliseconds(12));
  cr_assert(estimate.UpperBound(2) ==
            estimate.Mean() + 2 * estimate.Deviation());
}

Test(TimeEstimate, FirstSamplesHaveEqualWeight)
{
  TimeEstimate estimate;
  for (const int sample : { 90, 30, 30 }) {
    estimate.Record(Milliseconds(sample));
  }
  cr_assert(estimate.Mean() == Milliseconds(50));
}

Test(TimeEstimate, NegativeSampleCountsAsZero)
{
  TimeEstimate estimate;
  estimate.Record(Milliseconds(-5));
  cr_assert(estimate.Mean() == Milliseconds(0));
}

Test(RoundTripTable, TimeoutExceedsTheRoundTripOfEachClient)
{
  RoundTripTable table;
  const Clock::time_point now{ std::chrono::hours(1) };
  cr_assert(table.Timeout(kClient) == Milliseconds(200), "before samples");
  for (int i = 0; i < 50; ++i) {
    table.Record(kClient, Milliseconds(160), now);
    table.Record(kOtherClient, Milliseconds(4), now);
  }
  cr_assert(table.Timeout(kClient) == Milliseconds(210),
            "steady round trips leave a margin for delays of the machines");
  cr_assert(table.Timeout(kOtherClient) == Milliseconds(60),
            "the lower limit allows for the balancer's own delays");
}

/// Guards against a bound that is reached before most reactions arrive, or only
/// when the timeout is.
Test(RoundTripTable, UsualBoundIsBetweenTheRoundTripAndTheTimeout)
{
  RoundTripTable table;
  const Clock::time_point now{ std::chrono::hours(1) };
  cr_assert(table.UsualBound(kClient) == table.Timeout(kClient),
            "before samples");
  for (int i = 0; i < 50; ++i) {
    table.Record(kClient, Milliseconds(160), now);
    table.Record(kOtherClient, Milliseconds(4), now);
  }
  cr_assert(table.UsualBound(kClient) == Milliseconds(170));
  cr_assert(table.UsualBound(kOtherClient) == Milliseconds(14));
  for (int i = 0; i < 200; ++i) {
    table.Record(kClient, Milliseconds(i % 2 == 0 ? 100 : 220), now);
  }
  cr_assert(table.UsualBound(kClient) > Milliseconds(220));
  cr_assert(table.UsualBound(kClient) < table.Timeout(kClient));
  for (int i = 0; i < 50; ++i) {
    table.Record(kClient, Milliseconds(2000), now);
  }
  cr_assert(table.UsualBound(kClient) <= table.Timeout(kClient));
}

/// Near clients react first. What they show must not be assumed of the others
/// before enough clients are known.
Test(RoundTripTable, FirstNearClientsDoNotDecideForDistantOnes)
{
  RoundTripTable table;
  const Clock::time_point now{ std::chrono::hours(1) };
  for (std::uint32_t client = 1; client <= 3; ++client) {
    table.Record(client, Milliseconds(4), now);
  }
  cr_assert(table.Timeout(kOtherClient) == Milliseconds(200));
  cr_assert(table.Timeout(1) == Milliseconds(60));
}

/// A client that responds late on purpose, on any number of flows, must not
/// change the timeout of clients without samples by much.
Test(RoundTripTable, OneLateClientDoesNotDecideForOthers)
{
  RoundTripTable table;
  Clock::time_point now{ std::chrono::hours(1) };
  for (std::uint32_t client = 1; client <= 40; ++client) {
    table.Record(client, Milliseconds(10), now);
  }
  const auto before = table.Mean(kOtherClient);
  for (int i = 0; i < 1000; ++i) {
    now += std::chrono::microseconds(900);
    table.Record(kClient, std::chrono::hours(1), now);
  }
  // At most one contribution within the second, capped at one second.
  cr_assert(table.Mean(kOtherClient) < before + Milliseconds(70));
  cr_assert(table.Timeout(kClient) == Milliseconds(1000));
}

Test(RoundTripTable, IsBoundedAndForgetsUnusedClients)
{
  RoundTripTable table;
  Clock::time_point now{ std::chrono::hours(1) };
  for (std::uint32_t client = 0; client < 32768; ++client) {
    table.Record(client, Milliseconds(client % 100), now);
  }
  cr_assert_eq(table.Size(), RoundTripTable::kMaxClients);
  cr_assert(!table.Contains(0));
  cr_assert(table.Contains(32767));
  now += std::chrono::seconds(61);
  table.Record(kClient, Milliseconds(10), now);
  table.RemoveUnusedSince(now - std::chrono::seconds(60));
  cr_assert_eq(table.Size(), 1);
}

Test(RoundTripTable, ClientAddsFewSharedSamplesPerSecond)
{
  RoundTripTable table;
  Clock::time_point now{ std::chrono::hours(1) };
  table.Record(kClient, Milliseconds(5), now);
  int admitted = 0;
  for (int i = 0; i < 1000; ++i) {
    admitted += table.AdmitSharedSample(kClient, now) ? 1 : 0;
    now += Milliseconds(1);
  }
  cr_assert_eq(admitted, 10);
}
