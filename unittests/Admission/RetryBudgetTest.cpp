// Tests that retries are limited to a fraction of the answered requests.

#include "bramleylock/Admission/RetryBudget.h"

#include <criterion/criterion.h>

using bramleylock::admission::RetryBudget;

static auto TakeAll(RetryBudget& aBudget, const char* aPlan) -> int
{
  int taken = 0;
  while (aBudget.Take(aPlan, "service")) {
    ++taken;
  }
  return taken;
}

Test(RetryBudget, FailuresAloneRunOut)
{
  RetryBudget budget;
  cr_assert_eq(TakeAll(budget, "a"), 20);
}

Test(RetryBudget, AnswersPayForAPartOfTheirNumber)
{
  RetryBudget budget;
  TakeAll(budget, "a");
  for (int i = 0; i < 52; ++i) {
    budget.Earn("a", "service");
  }
  cr_assert_eq(TakeAll(budget, "a"), 10);
}

Test(RetryBudget, OnePlanCannotSpendAnothers)
{
  RetryBudget budget;
  TakeAll(budget, "a");
  cr_assert(budget.Take("b", "service"));
}
