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

/// What became of lists that were offered.
enum class InstallOutcome
{
  Installed,
  Unchanged,
  Invalid
};

/// Holds the merge of all lists seen. An entry's stamp never falls, so lists
/// of a lower revision change nothing, whoever brings them.
class ListKeeper
{
public:
  explicit ListKeeper(Metrics& aMetrics);

  /// Merges a document, or a part of one, into the lists in force.
  auto Install(const std::string& aDocument) -> InstallOutcome;

  /// The lists in force, without dangling references; null until the first
  /// installation.
  auto Current() const -> std::shared_ptr<const PlanLists>;

  /// The merged lists as they are passed on; null like Current().
  auto Merged() const -> std::shared_ptr<const PlanLists>;

  /// The document of Merged().
  auto Document() const -> const std::string&;

  /// 0 until the first installation.
  auto Revision() const -> std::uint64_t;

  /// Digest of Document(); equal ones need no repair.
  auto Digest() const -> std::uint64_t;

  /// Calls aListener after each installation.
  auto OnInstall(std::function<void()> aListener) -> void;

private:
  auto MergeOffered(const PlanLists& aOffered) -> InstallOutcome;
  auto MergeWhole(const PlanLists& aOffered, MergeNotes& aNotes)
    -> MergeChanges;
  auto Replace(PlanLists aMerged) -> void;
  auto Writable() -> PlanLists&;
  auto Publish() -> void;

  Metrics& m_metrics;
  std::shared_ptr<const PlanLists> m_current;
  std::shared_ptr<PlanLists> m_merged;
  /// Whether the merged lists have references that m_current leaves out.
  bool m_dangling = false;
  ListDocument m_entries;
  std::string m_document;
  std::uint64_t m_digest = 0;
  std::vector<std::function<void()>> m_listeners;
};

} // namespace bramleylock::lists
