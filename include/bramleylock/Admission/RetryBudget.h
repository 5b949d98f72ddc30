// How many retries the answers of a plan at a service pay for.
#pragma once

#include <map>
#include <string>
#include <utility>

namespace bramleylock::admission {

/// A bucket for each plan and service: every answer adds a part of a retry, so
/// that retries stay a part of the work that succeeds.
class RetryBudget
{
public:
  /// Counts an answer.
  auto Earn(const std::string& aPlan, const std::string& aService) -> void;

  /// Pays for one retry; false when the bucket is empty.
  auto Take(const std::string& aPlan, const std::string& aService) -> bool;

private:
  auto Find(const std::string& aPlan, const std::string& aService) -> double&;

  std::map<std::pair<std::string, std::string>, double> m_retries;
};

} // namespace bramleylock::admission
