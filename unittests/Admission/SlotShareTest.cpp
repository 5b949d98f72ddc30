// Tests the division of a service's slots between balancers and domains.

#include "bramleylock/Admission/SlotShare.h"

#include <criterion/criterion.h>

using namespace bramleylock::admission;

static auto TotalShares(double aSlots,
                        const std::vector<BalancerDemand>& aDemands) -> double
{
  double total = 0;
  for (const auto& balancer : aDemands) {
    total += SlotShare(aSlots, balancer.address, aDemands);
  }
  return total;
}

Test(SlotShare, FullDemandAssignsEachSlotOnce)
{
  std::vector<BalancerDemand> demands;
  for (const auto* address : { "a", "b", "c", "d", "e", "f", "g", "h" }) {
    demands.push_back({ address, 100 });
  }
  cr_assert_float_eq(TotalShares(42, demands), 42, 1e-9);
}

Test(SlotShare, UnevenDemandBorrowsUnclaimedSlots)
{
  const std::vector<BalancerDemand> demands{ { "a", 100 },
                                             { "b", 1 },
                                             { "c", 1 } };
  cr_assert_float_eq(SlotShare(12, "a", demands), 10, 1e-9);
}

Test(SlotShare, IdleBalancerKeepsAnEvenShare)
{
  const std::vector<BalancerDemand> demands{ { "a", 100 }, { "b", 0 } };
  cr_assert_float_eq(SlotShare(12, "b", demands), 6, 1e-9);
}

Test(SlotShare, MoreBalancersThanSlotsGetOneEach)
{
  const std::vector<BalancerDemand> demands{ { "a", 9 },
                                             { "b", 9 },
                                             { "c", 9 } };
  cr_assert_float_eq(TotalShares(2, demands), 3, 1e-9);
}

Test(SlotShare, FullDomainsKeepTheirOwnSlots)
{
  const ByDomain demand{ { "x", 90 }, { "y", 90 } };
  const ByDomain supply{ { "x", 10 }, { "y", 4 } };
  cr_assert_float_eq(DomainSlots("x", demand, supply), 10, 1e-9);
  cr_assert_float_eq(DomainSlots("y", demand, supply), 4, 1e-9);
}

Test(SlotShare, DomainBorrowsUnclaimedSlots)
{
  const ByDomain demand{ { "x", 90 }, { "y", 4 }, { "z", 30 } };
  const ByDomain supply{ { "x", 10 }, { "y", 14 }, { "z", 10 } };
  cr_assert_float_eq(DomainSlots("x", demand, supply), 18, 1e-9);
  cr_assert_float_eq(DomainSlots("y", demand, supply), 14, 1e-9);
}
