// Versioning, short form and expiry of failure domain summaries.

#include "bramleylock/Peer/DomainTable.h"

#include <criterion/criterion.h>

using namespace bramleylock;
using namespace bramleylock::peer;

namespace {

const auto kNow = Clock::time_point(std::chrono::hours(1));

auto MakeSummary(std::uint64_t aVersion, std::uint64_t aContentsHash,
                 bool aFull)
{
  wire::DomainSummary summary{ "south", aVersion, aContentsHash, 1, {} };
  if (aFull) {
    summary.members.push_back({ "a", "south", "a:1", 1, 0, 1, false });
  }
  return summary;
}

} // namespace

Test(DomainTable, LowerVersionNeverReplacesAHigherOne)
{
  DomainTable table;
  cr_assert(table.Apply(MakeSummary(5, 1, true), kNow));
  cr_assert(!table.Apply(MakeSummary(4, 2, true), kNow));
  cr_assert(!table.Apply(MakeSummary(5, 2, true), kNow));
  cr_assert(table.Find("south")->summary.contentsHash == 1);
}

Test(DomainTable, ShortSummaryOfOtherContentsIsIgnored)
{
  DomainTable table;
  cr_assert(!table.Apply(MakeSummary(5, 1, false), kNow));
  table.Apply(MakeSummary(5, 1, true), kNow);
  cr_assert(!table.Apply(MakeSummary(6, 2, false), kNow));
  cr_assert(table.Apply(MakeSummary(6, 1, false), kNow));
  cr_assert(table.Find("south")->summary.members.size() == 1);
}

Test(DomainTable, DomainIsReportedLostOnceWhenItsVersionStopsRising)
{
  DomainTable table;
  table.Apply(MakeSummary(5, 1, true), kNow);
  const auto later = kNow + std::chrono::seconds(10);
  cr_assert(table.Expire(later).size() == 1);
  cr_assert(table.Expire(later).empty());
  table.Apply(MakeSummary(6, 1, false), later);
  cr_assert(!table.Find("south")->lost);
}

Test(DomainTable, OversizedSummaryIsRefused)
{
  DomainTable table;
  auto summary = MakeSummary(5, 1, true);
  summary.members.resize(DomainTable::kMaxSummaryMembers + 1);
  cr_assert(!table.Apply(summary, kNow));
}
