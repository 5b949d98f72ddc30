// Token buckets for retries, one for each plan and service.

#include "bramleylock/Admission/RetryBudget.h"

#include <algorithm>

namespace bramleylock::admission {

/// Retries added by each answer. The ratio covers the loss of one host in five.
static constexpr double kRetriesEach = 0.2;

/// Capacity of a bucket, which is also its initial content.
static constexpr double kMostRetries = 20;

auto RetryBudget::Find(const std::string& aPlan, const std::string& aService)
  -> double&
{
  return m_retries.try_emplace({ aPlan, aService }, kMostRetries).first->second;
}

auto RetryBudget::Earn(const std::string& aPlan, const std::string& aService)
  -> void
{
  auto& retries = Find(aPlan, aService);
  retries = std::min(kMostRetries, retries + kRetriesEach);
}

auto RetryBudget::Take(const std::string& aPlan, const std::string& aService)
  -> bool
{
  auto& retries = Find(aPlan, aService);
  if (retries < 1) {
    return false;
  }
  retries -= 1;
  return true;
}

} // namespace bramleylock::admission
