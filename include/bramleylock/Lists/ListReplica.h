// The lists in force on this balancer.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "bramleylock/Lists/ListDocument.h"
#include "bramleylock/Lists/ListMerge.h"
#include "bramleylock/Lists/PlanLists.h"
#include "bramleylock/Support/Counters.h"

namespace bramleylock::lists {

/// Result of ListReplica::Install.
enum class InstallOutcome
{
  Installed,
  Unchanged,
  Invalid
};

/// Holds the merge of all lists that this balancer has received. The stamp of
/// an entry never decreases, so lists of a lower revision change nothing,
/// whatever their source.
class ListReplica
{
public:
  explicit ListReplica(Metrics& aMetrics);

  /// Merges a document with all entries or only some of them into the lists in
  /// force.
  auto Install(const std::string& aDocument) -> InstallOutcome;

  /// Returns the lists in force without dangling references; null until the
  /// first installation.
  auto Current() const -> std::shared_ptr<const PlanLists>;

  /// Returns the merged lists, including dangling references, as they are sent
  /// to peers; null until the first installation.
  auto Merged() const -> std::shared_ptr<const PlanLists>;

  /// Returns the JSON document of Merged().
  auto Document() const -> const std::string&;

  /// Returns the revision of Merged(); 0 until the first installation.
  auto Revision() const -> std::uint64_t;

  /// Returns the digest of Document(). Balancers with equal digests hold the
  /// same lists.
  auto Digest() const -> std::uint64_t;

  /// Calls aListener after each installation.
  auto OnInstall(std::function<void()> aListener) -> void;

private:
  auto MergeReceived(const PlanLists& aReceived) -> InstallOutcome;
  auto MergeFull(const PlanLists& aReceived, MergeReport& aReport)
    -> MergeChanges;
  auto Replace(PlanLists aMerged) -> void;
  auto MutableMerged() -> PlanLists&;
  auto Publish() -> void;

  Metrics& m_metrics;
  std::shared_ptr<const PlanLists> m_current;
  std::shared_ptr<PlanLists> m_merged;
  /// Whether the merged lists may have dangling references, which m_current
  /// leaves out.
  bool m_hasDanglingReferences = false;
  ListDocument m_formattedEntries;
  std::string m_document;
  std::uint64_t m_digest = 0;
  std::vector<std::function<void()>> m_listeners;
};

} // namespace bramleylock::lists
