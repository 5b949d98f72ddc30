// Versioning, short form and expiry of failure domain summaries.

#include "bramleylock/Peer/DomainTable.h"

#include <criterion/criterion.h>

using namespace bramleylock;
using namespace bramleylock::peer;

namespace {

const auto kNow = Clock::time_point(std::chrono::hours(1));

auto Summary(std::uint64_t aVersion, std::uint64_t aContents, bool aFull)
{
  wire::DomainSummary summary{ "south", aVersion, aContents, 1, {} };
  if (aFull) {
    summary.members.push_back({ "a", "south", "a:1", 1, 0, 1, false });
  }
  return summary;
}

} // namespace

Test(DomainTable, LowerVersionNeverReplacesAHigherOne)
{
  DomainTable table;
  cr_assert(table.Apply(Summary(5, 1, true), kNow));
  cr_assert(!table.Apply(Summary(4, 2, true), kNow));
  cr_assert(!table.Apply(Summary(5, 2, true), kNow));
  cr_assert(table.Find("south")->summary.contents == 1);
}

Test(DomainTable, ShortFormForOtherContentsIsNotTaken)
{
  DomainTable table;
  cr_assert(!table.Apply(Summary(5, 1, false), kNow));
  table.Apply(Summary(5, 1, true), kNow);
  cr_assert(!table.Apply(Summary(6, 2, false), kNow));
  cr_assert(table.Apply(Summary(6, 1, false), kNow));
  cr_assert(table.Find("south")->summary.members.size() == 1);
}

Test(DomainTable, DomainIsLostOnceWhenItsVersionStandsStill)
{
  DomainTable table;
  table.Apply(Summary(5, 1, true), kNow);
  const auto later = kNow + std::chrono::seconds(10);
  cr_assert(table.Expire(later).size() == 1);
  cr_assert(table.Expire(later).empty());
  table.Apply(Summary(6, 1, false), later);
  cr_assert(!table.Find("south")->lost);
}

Test(DomainTable, OversizedSummaryIsRefused)
{
  DomainTable table;
  auto summary = Summary(5, 1, true);
  summary.members.resize(DomainTable::kSummaryMembers + 1);
  cr_assert(!table.Apply(summary, kNow));
}
