// Installation of lists by revision.

#include "bramleylock/Lists/ListKeeper.h"

#include "bramleylock/Support/Log.h"

namespace bramleylock::lists {

ListKeeper::ListKeeper(Metrics& aMetrics)
  : m_metrics(aMetrics)
{
}

auto ListKeeper::Install(std::uint64_t aRevision, const std::string& aDocument)
  -> bool
{
  if (aRevision < Revision()) {
    m_metrics.Add(Counter::ListsLowerRevision);
    LogError("lists-lower-revision",
             { { "in_force", std::to_string(Revision()) },
               { "offered", std::to_string(aRevision) } });
    return false;
  }
  if (aRevision == Revision()) {
    return false;
  }
  std::error_code error;
  std::string detail;
  auto parsed = ParseLists(aDocument, error, detail);
  if (error) {
    m_metrics.Add(Counter::ListsInvalid);
    LogError("lists-invalid",
             { { "why", error.message() }, { "detail", detail } });
    return false;
  }
  parsed.revision = aRevision;
  m_current = std::make_shared<const PlanLists>(std::move(parsed));
  m_document = aDocument;
  m_metrics.Add(Counter::ListsInstalled);
  LogInfo("lists-installed", { { "revision", std::to_string(aRevision) } });
  for (const auto& listener : m_listeners) {
    listener();
  }
  return true;
}

auto ListKeeper::Current() const -> std::shared_ptr<const PlanLists>
{
  return m_current;
}

auto ListKeeper::Document() const -> const std::string&
{
  return m_document;
}

auto ListKeeper::Revision() const -> std::uint64_t
{
  return m_current ? m_current->revision : 0;
}

auto ListKeeper::OnInstall(std::function<void()> aListener) -> void
{
  m_listeners.push_back(std::move(aListener));
}

} // namespace bramleylock::lists
