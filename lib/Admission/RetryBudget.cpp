// Token buckets for retries, one for each plan and service.

#include "bramleylock/Admission/RetryBudget.h"

#include <algorithm>

namespace bramleylock::admission {

/// Retries added by each answer. The ratio covers the loss of one host in five.
static constexpr double kRetriesPerAnswer = 0.2;

/// Capacity of a bucket, which is also its initial content.
static constexpr double kBucketCapacity = 20;

auto RetryBudget::FindBucket(const std::string& aPlan,
                             const std::string& aService) -> double&
{
  return m_buckets.try_emplace({ aPlan, aService }, kBucketCapacity)
    .first->second;
}

auto RetryBudget::Deposit(const std::string& aPlan, const std::string& aService)
  -> void
{
  auto& retries = FindBucket(aPlan, aService);
  retries = std::min(kBucketCapacity, retries + kRetriesPerAnswer);
}

auto RetryBudget::TryWithdraw(const std::string& aPlan,
                              const std::string& aService) -> bool
{
  auto& retries = FindBucket(aPlan, aService);
  if (retries < 1) {
    return false;
  }
  retries -= 1;
  return true;
}

} // namespace bramleylock::admission
