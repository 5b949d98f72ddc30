// The lists in force on this balancer.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "bramleylock/Lists/PlanLists.h"
#include "bramleylock/Support/Counters.h"

namespace bramleylock::lists {

/// Holds the lists with the highest revision seen. A lower revision is never
/// installed, whoever brings it.
class ListKeeper
{
public:
  explicit ListKeeper(Metrics& aMetrics);

  /// Installs a document if its revision is higher than the one in force and
  /// it is valid; tells whether it did.
  auto Install(std::uint64_t aRevision, const std::string& aDocument) -> bool;

  /// Null until the first lists are installed.
  auto Current() const -> std::shared_ptr<const PlanLists>;

  /// The document behind Current(), as it was received.
  auto Document() const -> const std::string&;

  auto Revision() const -> std::uint64_t;

  /// Calls aListener after each installation.
  auto OnInstall(std::function<void()> aListener) -> void;

private:
  Metrics& m_metrics;
  std::shared_ptr<const PlanLists> m_current;
  std::string m_document;
  std::vector<std::function<void()>> m_listeners;
};

} // namespace bramleylock::lists
