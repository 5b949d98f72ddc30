// Reads the execution journals of a cluster's targets, and the losses of the
// targets' proxies.

#include "measure/Cluster.h"

namespace bramleylock::measure {

using nlohmann::json;

auto Cluster::Journal(TargetProcess& aTarget) -> json
{
  const auto saved = m_savedJournals.find(aTarget.name);
  if (saved != m_savedJournals.end()) {
    return saved->second;
  }
  return Control(aTarget.process->Value("target"), "/journal", {});
}

auto Cluster::SaveJournal(TargetProcess& aTarget) -> void
{
  m_savedJournals[aTarget.name] = Journal(aTarget);
  if (aTarget.proxy) {
    m_savedDroppedRequests[aTarget.name] = DroppedRequests(aTarget);
  }
}

auto Cluster::RunsByRequest() -> std::map<std::string, RunCount>
{
  std::map<std::string, RunCount> runs;
  for (auto& target : m_targets) {
    const auto journal = Journal(target);
    for (const auto& run : journal["runs"]) {
      auto& count = runs[run.value("id", "")];
      ++count.runs;
      count.services.insert(target.service);
    }
  }
  return runs;
}

auto Cluster::RunCountsByTarget(const std::string& aService)
  -> std::map<std::string, int>
{
  std::map<std::string, int> runs;
  for (auto& target : m_targets) {
    if (target.service == aService) {
      runs[target.name] = static_cast<int>(Journal(target)["runs"].size());
    }
  }
  return runs;
}

/// The ID in the payload of a request to a target; empty without an ID.
static auto RequestId(const std::string& aRequest) -> std::string
{
  static const std::string kIdKey = "\nid=";
  const auto found = aRequest.find(kIdKey);
  if (found == std::string::npos) {
    return "";
  }
  const auto from = found + kIdKey.size();
  return aRequest.substr(from, aRequest.find(' ', from) - from);
}

auto Cluster::DroppedRequests(TargetProcess& aTarget) -> std::set<std::string>
{
  const auto saved = m_savedDroppedRequests.find(aTarget.name);
  if (saved != m_savedDroppedRequests.end()) {
    return saved->second;
  }
  std::set<std::string> ids;
  const auto losses =
    Control(aTarget.proxy->Value("control"), "/control/losses", {});
  for (const std::string request : losses["requests"]) {
    if (request.starts_with("POST ")) {
      ids.insert(RequestId(request));
    }
  }
  ids.erase("");
  return ids;
}

} // namespace bramleylock::measure
