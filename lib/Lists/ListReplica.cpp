// Installs received lists by merging them into those in force.

#include "bramleylock/Lists/ListReplica.h"

#include "bramleylock/Support/Log.h"

#include <fmt/format.h>

namespace bramleylock::lists {

ListReplica::ListReplica(Metrics& aMetrics)
  : m_metrics(aMetrics)
{
}

auto ListReplica::Install(const std::string& aDocument) -> InstallOutcome
{
  if (m_merged && aDocument == m_document) {
    return InstallOutcome::Unchanged;
  }
  std::error_code error;
  std::string detail;
  const auto received =
    ParseLists(aDocument, error, detail, ReferenceCheck::Skipped);
  if (error) {
    m_metrics.Add(Counter::ListsInvalid);
    LogError("lists-invalid",
             { { "why", error.message() }, { "detail", detail } });
    return InstallOutcome::Invalid;
  }
  if (!m_merged) {
    Replace(received);
    Publish();
    return InstallOutcome::Installed;
  }
  if (received.revision < m_merged->revision) {
    m_metrics.Add(Counter::ListsLowerRevision);
    LogError("lists-lower-revision",
             { { "in_force", std::to_string(Revision()) },
               { "offered", std::to_string(received.revision) } });
  }
  return MergeReceived(received);
}

auto ListReplica::MergeReceived(const PlanLists& aReceived) -> InstallOutcome
{
  MergeReport report;
  const auto changes = aReceived.forgottenRevision > 0
                         ? MergeFull(aReceived, report)
                         : MergeInPlace(MutableMerged(), aReceived, report);
  if (!changes.changed) {
    return InstallOutcome::Unchanged;
  }
  for (const auto& path : report.supersededPaths) {
    m_metrics.Add(Counter::ListsEditSuperseded);
    LogError("lists-edit-superseded", { { "entry", path } });
  }
  m_formattedEntries.Update(*m_merged, changes.paths);
  m_hasDanglingReferences = m_hasDanglingReferences ||
                            MayHaveDanglingReferences(*m_merged, changes.paths);
  Publish();
  return InstallOutcome::Installed;
}

/// Merges lists with pruned tombstones. Entries that they do not hold may have
/// been removed, so every entry has to be compared.
auto ListReplica::MergeFull(const PlanLists& aReceived, MergeReport& aReport)
  -> MergeChanges
{
  auto merged = Merge(*m_merged, aReceived, &aReport);
  MergeChanges changes;
  changes.changed = merged != *m_merged;
  if (changes.changed) {
    Replace(std::move(merged));
  }
  return changes;
}

/// Returns the merged lists for modification in place. They are copied first if
/// a reader holds them, so that readers keep an unchanged version.
auto ListReplica::MutableMerged() -> PlanLists&
{
  const long ownReferences = m_current == m_merged ? 2 : 1;
  if (m_merged.use_count() > ownReferences) {
    m_merged = std::make_shared<PlanLists>(*m_merged);
  }
  return *m_merged;
}

auto ListReplica::Replace(PlanLists aMerged) -> void
{
  m_merged = std::make_shared<PlanLists>(std::move(aMerged));
  m_formattedEntries = ListDocument(*m_merged);
  m_hasDanglingReferences = true;
}

auto ListReplica::Publish() -> void
{
  m_current = m_merged;
  if (m_hasDanglingReferences) {
    auto resolved = WithoutDanglingReferences(*m_merged);
    m_hasDanglingReferences = resolved != *m_merged;
    if (m_hasDanglingReferences) {
      m_current = std::make_shared<const PlanLists>(std::move(resolved));
    }
  }
  m_document = m_formattedEntries.Text(*m_merged);
  m_digest = DigestOf(m_document);
  m_metrics.Add(Counter::ListsInstalled);
  LogInfo("lists-installed", { { "revision", std::to_string(Revision()) },
                               { "digest", fmt::format("{:x}", m_digest) } });
  for (const auto& listener : m_listeners) {
    listener();
  }
}

auto ListReplica::Current() const -> std::shared_ptr<const PlanLists>
{
  return m_current;
}

auto ListReplica::Merged() const -> std::shared_ptr<const PlanLists>
{
  return m_merged;
}

auto ListReplica::Document() const -> const std::string&
{
  return m_document;
}

auto ListReplica::Revision() const -> std::uint64_t
{
  return m_merged ? m_merged->revision : 0;
}

auto ListReplica::Digest() const -> std::uint64_t
{
  return m_digest;
}

auto ListReplica::OnInstall(std::function<void()> aListener) -> void
{
  m_listeners.push_back(std::move(aListener));
}

} // namespace bramleylock::lists
