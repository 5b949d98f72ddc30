// Distribution of work over failure domains, and the choice by shares.

#include "bramleylock/Target/Spill.h"
#include "bramleylock/Target/TargetChoice.h"

#include <criterion/criterion.h>

#include <cmath>

using namespace bramleylock;
using namespace bramleylock::target;

static auto AlmostEqual(double aLeft, double aRight) -> bool
{
  return std::abs(aLeft - aRight) < 1e-9;
}

Test(Spill, UnevenDomainsLoadEverySlotEvenly)
{
  const DomainShares demand{ { "a", 3 }, { "b", 2 }, { "c", 2 } };
  const DomainShares supply{ { "a", 10 }, { "b", 10 }, { "c", 8 } };
  std::map<std::string, double> load;
  for (const auto& [from, work] : demand) {
    for (const auto& [to, share] : SpillShares(demand, supply, from)) {
      load[to] += work * share;
    }
  }
  for (const auto& [domain, slots] : supply) {
    cr_assert(AlmostEqual(load[domain] / slots, 7.0 / 28), "%s",
              domain.c_str());
  }
}

Test(Spill, DomainWithSpareCapacityKeepsItsWork)
{
  const auto shares =
    SpillShares({ { "a", 1 }, { "b", 2 } }, { { "a", 4 }, { "b", 4 } }, "a");
  cr_assert(AlmostEqual(shares.at("a"), 1));
  cr_assert(AlmostEqual(shares.at("b"), 0));
}

Test(Spill, DomainWithoutSlotsSpillsAllWork)
{
  const auto shares =
    SpillShares({ { "a", 1 }, { "b", 1 } }, { { "b", 4 }, { "c", 4 } }, "a");
  cr_assert(AlmostEqual(shares.at("b") + shares.at("c"), 1));
  cr_assert(shares.at("c") > shares.at("b"));
}

Test(Choice, SpillOverNeverTakesATargetWithoutShare)
{
  Random random(1);
  const auto choice = ChoiceRegistry::Instance().Create("spill-over");
  const std::vector<Candidate> candidates{ { 9, 0, 2, 1, true, 1, 1 },
                                           { 0, 0, 2, 1, false, 0, 0 } };
  for (int i = 0; i < 100; ++i) {
    cr_assert_eq(choice->Pick(candidates, random), 0u);
  }
}

Test(Choice, SpillOverTakesTheLessLoadedOfTwoWithCredit)
{
  Random random(1);
  const auto choice = ChoiceRegistry::Instance().Create("spill-over");
  const std::vector<Candidate> candidates{ { 3, 0, 2, 1, true, 0.5, 0.6 },
                                           { 0, 0, 2, 1, true, 0.5, 0.4 } };
  cr_assert_eq(choice->Pick(candidates, random), 1u);
}
