// Read, merge, validate, compare-and-swap, and read back after a lost answer.

#include "bramleylock/Lists/ListEditor.h"

#include "bramleylock/Support/Log.h"
#include "bramleylock/Support/Random.h"

namespace bramleylock::lists {

ListEditor::ListEditor(PlatformStore& aStore, ListReplica& aLists,
                       Metrics& aMetrics, EditorOptions aOptions)
  : m_store(aStore)
  , m_lists(aLists)
  , m_metrics(aMetrics)
  , m_options(aOptions)
{
}

auto ListEditor::MergedLists() const -> PlanLists
{
  return m_lists.Merged() ? *m_lists.Merged() : PlanLists{};
}

auto ListEditor::MergeStoredLists(std::error_code& aError)
  -> awaitable<std::uint64_t>
{
  const auto stored = co_await m_store.Get(kListsKey, aError);
  if (aError == StoreError::NotFound) {
    aError.clear();
    co_return 0;
  }
  if (aError) {
    co_return 0;
  }
  m_lists.Install(stored.value);
  co_return stored.revision;
}

/// Fills aResult and returns true if aLists records aEdit as accepted.
static auto FindAccepted(const PlanLists& aLists, const Edit& aEdit,
                         EditResult& aResult) -> bool
{
  for (const auto& record : aLists.edits) {
    if (record.id == aEdit.id) {
      aResult.status = EditStatus::Accepted;
      aResult.revision = record.revision;
      return true;
    }
  }
  return false;
}

auto ListEditor::BackOff(RetryState& aRetryState) -> awaitable<bool>
{
  if (Clock::now() + aRetryState.backoff > aRetryState.deadline) {
    co_return false;
  }
  m_metrics.Add(Counter::ListsEditRetried);
  // The jitter keeps two editors that conflicted from retrying in lockstep.
  const Milliseconds jitter(SecureRandomNumber() % aRetryState.backoff.count());
  co_await Sleep(aRetryState.backoff + jitter);
  aRetryState.backoff = std::min(aRetryState.backoff * 2, m_options.maxBackoff);
  co_return true;
}

auto ListEditor::WriteDocument(std::uint64_t aExpected,
                               const std::string& aDocument,
                               RetryState& aRetryState, EditResult& aResult,
                               std::error_code& aError) -> awaitable<void>
{
  for (;;) {
    co_await m_store.CompareAndSwap(kListsKey, aExpected, aDocument, aError);
    if (aError != StoreError::OutcomeUnknown) {
      co_return;
    }
    m_metrics.Add(Counter::ListsEditUnknown);
    aResult.status = EditStatus::Unknown;
    const bool retry = co_await BackOff(aRetryState);
    if (!retry) {
      co_return;
    }
    // The lists are read back first, so that a write that took effect is not
    // sent twice.
    std::error_code readError;
    const auto revision = co_await MergeStoredLists(readError);
    if (!readError) {
      aRetryState.revisionReadBack = revision;
      co_return;
    }
    // The read failed, so the same write is sent again. It is idempotent: if an
    // earlier compare-and-swap took effect, this one finds another revision.
    // Requiring a successful read would make each attempt depend on two
    // consecutive calls.
  }
}

/// Makes one attempt; returns whether aResult is final.
auto ListEditor::AttemptEdit(const Edit& aEdit, EditMode aMode,
                             RetryState& aRetryState, EditResult& aResult)
  -> awaitable<bool>
{
  std::error_code error;
  auto revision = std::exchange(aRetryState.revisionReadBack, std::nullopt);
  if (!revision) {
    revision = co_await MergeStoredLists(error);
  }
  if (error) {
    aResult.detail = error.message();
    co_return false;
  }
  const auto current = MergedLists();
  if (FindAccepted(current, aEdit, aResult)) {
    co_return true;
  }
  aResult.conflicts.clear();
  const auto next = ApplyEdit(current, aEdit, UnixTimeMs(), aResult.conflicts,
                              error, aResult.detail);
  if (error || !aResult.conflicts.empty()) {
    // The write of an earlier attempt, if its outcome is unknown, may still be
    // in transit. It cannot take effect any more, as it expects a revision that
    // the store no longer has.
    aResult.status = error ? EditStatus::Invalid : EditStatus::Conflict;
    m_metrics.Add(error ? Counter::ListsEditInvalid
                        : Counter::ListsEditConflict);
    co_return true;
  }
  aResult.changes = ChangesBetween(current, next);
  aResult.revision = next.revision;
  if (aResult.changes.empty()) {
    aResult.status = EditStatus::Unchanged;
    aResult.revision = current.revision;
    co_return true;
  }
  if (aMode == EditMode::DryRun) {
    aResult.status = EditStatus::DryRun;
    co_return true;
  }
  const auto document = FormatLists(next);
  co_await WriteDocument(*revision, document, aRetryState, aResult, error);
  if (!error) {
    m_lists.Install(document);
    aResult.status = EditStatus::Accepted;
    m_metrics.Add(Counter::ListsEditAccepted);
    co_return true;
  }
  aResult.detail = error.message();
  co_return false;
}

auto ListEditor::Submit(Edit aEdit, EditMode aMode) -> awaitable<EditResult>
{
  EditResult result;
  RetryState retryState{ Clock::now() + m_options.retryTimeout,
                         m_options.initialBackoff,
                         {} };
  for (;;) {
    const bool final = co_await AttemptEdit(aEdit, aMode, retryState, result);
    if (final) {
      co_return result;
    }
    const bool retry =
      retryState.revisionReadBack || co_await BackOff(retryState);
    if (!retry) {
      co_return result;
    }
  }
}

auto ListEditor::MatchesMergedLists(const std::string& aDocument) const -> bool
{
  if (m_lists.Merged() && aDocument == m_lists.Document()) {
    return true;
  }
  std::error_code error;
  std::string detail;
  const auto held =
    ParseLists(aDocument, error, detail, ReferenceCheck::Skipped);
  return !error && m_lists.Merged() && held == *m_lists.Merged();
}

auto ListEditor::WriteBack() -> awaitable<bool>
{
  if (m_lists.Revision() == 0) {
    co_return false;
  }
  std::error_code error;
  const auto stored = co_await m_store.Get(kListsKey, error);
  if (error && error != StoreError::NotFound) {
    co_return false;
  }
  if (!error) {
    m_lists.Install(stored.value);
  }
  if (MatchesMergedLists(stored.value)) {
    co_return true;
  }
  const auto document = m_lists.Document();
  co_await m_store.CompareAndSwap(kListsKey, error ? 0 : stored.revision,
                                  document, error);
  if (error) {
    co_return false;
  }
  m_metrics.Add(Counter::ListsWrittenBack);
  LogWarning("lists-written-back",
             { { "revision", std::to_string(m_lists.Revision()) } });
  co_return true;
}

} // namespace bramleylock::lists
