// Installation of lists by merging.

#include "bramleylock/Lists/ListKeeper.h"

#include "bramleylock/Lists/ListMerge.h"
#include "bramleylock/Support/Log.h"

#include <fmt/format.h>

namespace bramleylock::lists {

ListKeeper::ListKeeper(Metrics& aMetrics)
  : m_metrics(aMetrics)
{
}

auto ListKeeper::Install(const std::string& aDocument) -> InstallOutcome
{
  if (m_merged && aDocument == m_document) {
    return InstallOutcome::Unchanged;
  }
  std::error_code error;
  std::string detail;
  const auto offered =
    ParseLists(aDocument, error, detail, References::Unchecked);
  if (error) {
    m_metrics.Add(Counter::ListsInvalid);
    LogError("lists-invalid",
             { { "why", error.message() }, { "detail", detail } });
    return InstallOutcome::Invalid;
  }
  if (!m_merged) {
    Replace(offered);
    return InstallOutcome::Installed;
  }
  if (offered.revision < m_merged->revision) {
    m_metrics.Add(Counter::ListsLowerRevision);
    LogError("lists-lower-revision",
             { { "in_force", std::to_string(Revision()) },
               { "offered", std::to_string(offered.revision) } });
  }
  MergeNotes notes;
  auto merged = Merge(*m_merged, offered, &notes);
  if (merged == *m_merged) {
    return InstallOutcome::Unchanged;
  }
  for (const auto& path : notes.superseded) {
    m_metrics.Add(Counter::ListsEditSuperseded);
    LogError("lists-edit-superseded", { { "entry", path } });
  }
  Replace(std::move(merged));
  return InstallOutcome::Installed;
}

auto ListKeeper::Replace(PlanLists aMerged) -> void
{
  m_merged = std::make_shared<const PlanLists>(std::move(aMerged));
  m_current = std::make_shared<const PlanLists>(WithoutDangling(*m_merged));
  m_document = FormatLists(*m_merged);
  m_digest = DigestOf(m_document);
  m_metrics.Add(Counter::ListsInstalled);
  LogInfo("lists-installed", { { "revision", std::to_string(Revision()) },
                               { "digest", fmt::format("{:x}", m_digest) } });
  for (const auto& listener : m_listeners) {
    listener();
  }
}

auto ListKeeper::Current() const -> std::shared_ptr<const PlanLists>
{
  return m_current;
}

auto ListKeeper::Merged() const -> std::shared_ptr<const PlanLists>
{
  return m_merged;
}

auto ListKeeper::Document() const -> const std::string&
{
  return m_document;
}

auto ListKeeper::Revision() const -> std::uint64_t
{
  return m_merged ? m_merged->revision : 0;
}

auto ListKeeper::Digest() const -> std::uint64_t
{
  return m_digest;
}

auto ListKeeper::OnInstall(std::function<void()> aListener) -> void
{
  m_listeners.push_back(std::move(aListener));
}

} // namespace bramleylock::lists
