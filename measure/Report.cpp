// Collects and prints the results of a scenario.

#include "measure/Scenario.h"

#include <fmt/format.h>

#include <algorithm>
#include <iostream>

namespace bramleylock::measure {

auto Report::Add(const std::string& aKey, const std::string& aValue) -> void
{
  m_rows.emplace_back(aKey, aValue);
}

auto Report::Add(const std::string& aKey, double aValue) -> void
{
  Add(aKey, fmt::format("{:.3f}", aValue));
}

auto Report::Add(const std::string& aKey, std::uint64_t aValue) -> void
{
  Add(aKey, std::to_string(aValue));
}

auto Report::Require(const std::string& aWhat, bool aHolds) -> void
{
  if (!aHolds) {
    m_failedRequirements.push_back(aWhat);
  }
}

auto Report::AddChecks(const Checks& aChecks) -> void
{
  Add("requests", aChecks.requests);
  Add("answered", aChecks.answered);
  Add("refused", aChecks.refused);
  Add("unknown", aChecks.unknown);
  Add("broken_flows", aChecks.brokenFlows);
  Add("wrong_service", aChecks.wrongService);
  Add("wrong_answer", aChecks.wrongAnswer);
  Add("double_runs", aChecks.doubleRuns);
  Add("false_not_run", aChecks.falseNotRun);
  Require("requests>0", aChecks.requests > 0);
  Require("wrong_service=0", aChecks.wrongService == 0);
  Require("wrong_answer=0", aChecks.wrongAnswer == 0);
  Require("double_runs=0", aChecks.doubleRuns == 0);
  Require("false_not_run=0", aChecks.falseNotRun == 0);
}

auto Report::AddLatencies(
  const std::map<std::string, std::vector<Record>>& aRecords) -> void
{
  for (const auto& [label, records] : aRecords) {
    Add(label + "_p50_ms", LatencyQuantile(records, 0.5));
    Add(label + "_p99_ms", LatencyQuantile(records, 0.99));
  }
}

auto Report::AddReasons(
  const std::map<std::string, std::vector<Record>>& aRecords) -> void
{
  std::map<std::string, std::uint64_t> counts;
  for (const auto& [label, records] : aRecords) {
    for (const auto& record : records) {
      if (record.outcome != caller::CallOutcome::Answered) {
        ++counts[fmt::format("{}_{}_{}", label,
                             NameOf(caller::kCallOutcomeNames, record.outcome),
                             NameOf(wire::kReasonNames, record.reason))];
      }
    }
  }
  for (const auto& [key, count] : counts) {
    Add(key, count);
  }
}

auto Report::AllHold() const -> bool
{
  return m_failedRequirements.empty();
}

auto Report::Print(bool aJson) const -> void
{
  const std::string verdict = AllHold() ? "held" : "broken";
  if (aJson) {
    nlohmann::json document;
    for (const auto& [key, value] : m_rows) {
      document[key] = value;
    }
    document["broken"] = m_failedRequirements;
    document["verdict"] = verdict;
    std::cout << document.dump() << "\n";
    return;
  }
  for (const auto& [key, value] : m_rows) {
    std::cout << key << "=" << value << "\n";
  }
  for (const auto& what : m_failedRequirements) {
    std::cout << "broken=" << what << "\n";
  }
  std::cout << "verdict=" << verdict << std::endl;
}

auto Imbalance(Cluster& aCluster, const std::string& aService) -> double
{
  const auto runs = aCluster.RunCountsByTarget(aService);
  double total = 0;
  double busiest = 0;
  for (const auto& [name, count] : runs) {
    total += count;
    busiest = std::max<double>(busiest, count);
  }
  return total == 0 ? 0 : busiest / (total / static_cast<double>(runs.size()));
}

} // namespace bramleylock::measure
