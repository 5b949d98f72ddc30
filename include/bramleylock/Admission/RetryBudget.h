// Retry budget: limits retries to a fraction of the answered requests.
#pragma once

#include <map>
#include <string>
#include <utility>

namespace bramleylock::admission {

/// A token bucket for each plan and service. Every answer adds a fraction of a
/// retry, which limits retries to that fraction of the answered requests.
class RetryBudget
{
public:
  /// Credits the bucket for one answer.
  auto Deposit(const std::string& aPlan, const std::string& aService) -> void;

  /// Takes one retry from the bucket; returns false if it holds less than one.
  auto TryWithdraw(const std::string& aPlan, const std::string& aService)
    -> bool;

private:
  auto FindBucket(const std::string& aPlan, const std::string& aService)
    -> double&;

  std::map<std::pair<std::string, std::string>, double> m_buckets;
};

} // namespace bramleylock::admission
