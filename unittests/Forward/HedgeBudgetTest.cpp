// Tests of the limit of hedged first packets.

#include "bramleylock/Forward/HedgeBudget.h"

#include <criterion/criterion.h>

using namespace bramleylock::forward;

/// Guards against more hedges than the setting allows, in total or at once
/// after a quiet time.
Test(Hedging, BudgetIsAShareOfTheFirstPackets)
{
  HedgeBudget budget(5);
  cr_assert_not(budget.HasHedge(), "the budget starts empty");
  std::size_t taken = 0;
  for (std::size_t i = 1; i <= 10000; ++i) {
    budget.RecordFirstPacket();
    while (budget.HasHedge()) {
      budget.TakeHedge();
      ++taken;
    }
    cr_assert_leq(taken * 100, i * 5);
  }
  cr_assert_eq(taken, 500);
  for (std::size_t i = 0; i < 10000; ++i) {
    budget.RecordFirstPacket();
  }
  for (std::size_t i = 0; i < HedgeBudget::kMaxSavedHedges; ++i) {
    cr_assert(budget.HasHedge());
    budget.TakeHedge();
  }
  cr_assert_not(budget.HasHedge());
}
