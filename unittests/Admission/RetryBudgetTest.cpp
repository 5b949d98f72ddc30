// Tests that retries are limited to a fraction of the answered requests.

#include "bramleylock/Admission/RetryBudget.h"

#include <criterion/criterion.h>

using bramleylock::admission::RetryBudget;

static auto WithdrawAll(RetryBudget& aBudget, const char* aPlan) -> int
{
  int withdrawn = 0;
  while (aBudget.TryWithdraw(aPlan, "service")) {
    ++withdrawn;
  }
  return withdrawn;
}

Test(RetryBudget, BucketEmptiesWithoutAnswers)
{
  RetryBudget budget;
  cr_assert_eq(WithdrawAll(budget, "a"), 20);
}

Test(RetryBudget, AnswersFundAFractionOfRetries)
{
  RetryBudget budget;
  WithdrawAll(budget, "a");
  for (int i = 0; i < 52; ++i) {
    budget.Deposit("a", "service");
  }
  cr_assert_eq(WithdrawAll(budget, "a"), 10);
}

Test(RetryBudget, PlansHaveSeparateBuckets)
{
  RetryBudget budget;
  WithdrawAll(budget, "a");
  cr_assert(budget.TryWithdraw("b", "service"));
}
