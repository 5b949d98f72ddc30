// Routes of the administration API that show and edit the lists.

#include "bramleylock/Kernel/AdminApi.h"

#include "bramleylock/Support/Json.h"
#include "bramleylock/Support/Random.h"

namespace bramleylock::kernel {

using lists::EditMode;
using lists::EditStatus;
using nlohmann::json;

namespace {

struct StatusRow
{
  EditStatus status;
  unsigned httpStatus;
};

} // namespace

static constexpr std::array<StatusRow, 7> kHttpStatuses{ {
  { EditStatus::Accepted, 200 },
  { EditStatus::Unchanged, 200 },
  { EditStatus::DryRun, 200 },
  { EditStatus::Conflict, 409 },
  { EditStatus::Invalid, 422 },
  { EditStatus::Unavailable, 503 },
  { EditStatus::Unknown, 504 },
} };

static auto HttpStatusOf(EditStatus aStatus) -> unsigned
{
  for (const auto& row : kHttpStatuses) {
    if (row.status == aStatus) {
      return row.httpStatus;
    }
  }
  return 500;
}

static auto FormatChanges(const std::vector<lists::EntryChange>& aChanges)
  -> json
{
  json changes = json::array();
  for (const auto& change : aChanges) {
    changes.push_back({ { "path", change.path },
                        { "base", json::parse(change.base) },
                        { "wanted", json::parse(change.wanted) } });
  }
  return changes;
}

static auto FormatConflicts(const std::vector<lists::EntryConflict>& aConflicts)
  -> json
{
  json conflicts = json::array();
  for (const auto& conflict : aConflicts) {
    conflicts.push_back({ { "path", conflict.path },
                          { "base", json::parse(conflict.base) },
                          { "wanted", json::parse(conflict.wanted) },
                          { "current", json::parse(conflict.current) },
                          { "other_edit", conflict.otherEdit } });
  }
  return conflicts;
}

static auto DetailOf(const lists::EditResult& aResult) -> std::string
{
  switch (aResult.status) {
    case EditStatus::Conflict:
      return "another edit changed the same entries; read the lists and "
             "repeat the edit";
    case EditStatus::Unknown:
      return "the write was sent but its answer was lost; repeat the request "
             "with the same edit id";
    default:
      return aResult.detail;
  }
}

static auto FormatResult(const lists::EditResult& aResult,
                         const std::string& aEditId) -> http::Reply
{
  const std::string status(NameOf(lists::kEditStatusNames, aResult.status));
  json body{ { "status", status },
             { "edit", aEditId },
             { "revision", aResult.revision },
             { "changes", FormatChanges(aResult.changes) } };
  const auto httpStatus = HttpStatusOf(aResult.status);
  if (httpStatus != 200) {
    body["error"] = status;
    body["detail"] = DetailOf(aResult);
    body["conflicts"] = FormatConflicts(aResult.conflicts);
  }
  return ReplyJson(httpStatus, body);
}

static auto FormatForOperators(const lists::PlanLists& aLists) -> json
{
  auto document = json::parse(lists::FormatLists(aLists));
  for (const auto* internal :
       { "stamps", "edits", "revision", "forgotten_revision" }) {
    document.erase(internal);
  }
  return document;
}

auto AdminApi::GetLists(const http::Request&) -> awaitable<http::Reply>
{
  const auto current = m_components.lists.Current();
  if (!current) {
    co_return ReplyError(503, "not-ready", NotReadyReason());
  }
  co_return ReplyJson(200, { { "revision", current->revision },
                             { "lists", FormatForOperators(*current) } });
}

auto AdminApi::GetHistory(const http::Request&) -> awaitable<http::Reply>
{
  const auto current = m_components.lists.Current();
  json edits = json::array();
  if (current) {
    for (const auto& edit : current->edits) {
      edits.push_back({ { "id", edit.id },
                        { "revision", edit.revision },
                        { "accepted_at_ms", edit.acceptedAtMs },
                        { "entries", edit.entries } });
    }
  }
  co_return ReplyJson(
    200, { { "revision", m_components.lists.Revision() }, { "edits", edits } });
}

auto AdminApi::GetEdit(const http::Request& aRequest) -> awaitable<http::Reply>
{
  const auto id = http::QueryParameter(aRequest.target, "id");
  const auto current = m_components.lists.Current();
  const bool inForce = current && lists::HasEdit(*current, id);
  co_return ReplyJson(200, { { "edit", id },
                             { "in_force", inForce },
                             { "revision", m_components.lists.Revision() } });
}

auto AdminApi::SubmitEdit(lists::Edit aEdit, const http::Request& aRequest)
  -> awaitable<http::Reply>
{
  const auto id = aEdit.id;
  const auto mode = http::QueryParameter(aRequest.target, "dry_run", "0") == "0"
                      ? EditMode::Write
                      : EditMode::DryRun;
  const auto result =
    co_await m_components.editor.Submit(std::move(aEdit), mode);
  co_return FormatResult(result, id);
}

/// Replaces the whole lists, which the operator edited from the revision in the
/// query parameter "expected". An entry that another edit changed since that
/// revision cannot be distinguished from one that the operator changed, so the
/// request is rejected when the revision is not the current one. PATCH merges
/// concurrent edits instead.
auto AdminApi::PutLists(const http::Request& aRequest) -> awaitable<http::Reply>
{
  std::error_code error;
  std::string detail;
  const auto wanted = lists::ParseLists(aRequest.body, error, detail);
  if (error) {
    m_components.metrics.Add(Counter::ListsEditInvalid);
    co_return ReplyError(422, error.message(), detail);
  }
  const auto current = m_components.lists.Current();
  const auto base = current ? *current : lists::PlanLists{};
  const auto expected = http::QueryParameter(aRequest.target, "expected",
                                             std::to_string(base.revision));
  if (expected != std::to_string(base.revision)) {
    m_components.metrics.Add(Counter::ListsEditConflict);
    co_return ReplyError(409, "conflict",
                         "the lists are at revision " +
                           std::to_string(base.revision) +
                           "; read them and repeat the edit");
  }
  const auto id =
    http::QueryParameter(aRequest.target, "edit", SecureRandomIdentifier());
  // GCC 12 destroys a braced temporary in the arguments of an awaited call
  // twice.
  lists::Edit edit{ id, lists::ChangesBetween(base, wanted) };
  co_return co_await SubmitEdit(std::move(edit), aRequest);
}

/// Parses {"edit": ID, "changes": [{"path", "base", "wanted"}]}; returns
/// nullopt for any other form.
static auto ReadEdit(const std::string& aBody) -> std::optional<lists::Edit>
{
  const auto body = ParseForeignJson(aBody);
  if (!body.is_object() || !body.contains("edit") ||
      !body["edit"].is_string() || !body.contains("changes") ||
      !body["changes"].is_array()) {
    return std::nullopt;
  }
  lists::Edit edit;
  edit.id = body["edit"].get<std::string>();
  for (const auto& row : body["changes"]) {
    if (!row.is_object() || !row.contains("path") || !row["path"].is_string()) {
      return std::nullopt;
    }
    edit.changes.push_back({ row["path"].get<std::string>(),
                             row.value("base", json()).dump(),
                             row.value("wanted", json()).dump() });
  }
  return edit;
}

auto AdminApi::PatchLists(const http::Request& aRequest)
  -> awaitable<http::Reply>
{
  const auto edit = ReadEdit(aRequest.body);
  if (!edit || edit->id.empty()) {
    co_return ReplyError(422, "invalid",
                         "expected {\"edit\": ID, \"changes\": [{\"path\", "
                         "\"base\", \"wanted\"}]}");
  }
  co_return co_await SubmitEdit(*edit, aRequest);
}

} // namespace bramleylock::kernel
