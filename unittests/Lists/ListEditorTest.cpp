// Exhaustive interleavings of two edits with lost answers and a restored store.

#include "bramleylock/Lists/ListEditor.h"
#include "bramleylock/Lists/WatcherElection.h"
#include "bramleylock/Support/Rendezvous.h"
#include "unittests/Lists/MockStore.h"

#include <criterion/criterion.h>

#include <optional>

using namespace bramleylock;
using namespace bramleylock::lists;

static constexpr Milliseconds kBackoff{ 1 };

/// Long enough never to expire, so that outcomes do not depend on the speed of
/// the machine.
static constexpr Milliseconds kRetryTimeout{ 60000 };
static constexpr Milliseconds kRetryTimeoutWhileDown{ 20 };

static auto PlanJson(double aWeight) -> std::string
{
  PlanLists lists;
  lists.plans["x"] = { std::string(64, 'a'), aWeight, 0, 0, {} };
  return FormatEntry(lists, "plans/x");
}

static auto FirstDocument() -> std::string
{
  PlanLists lists;
  lists.plans["clubs"] = { std::string(64, 'a'), 1, 0, 0, {} };
  lists.plans["members"] = { std::string(64, 'a'), 1, 0, 0, {} };
  return FormatLists(lists);
}

namespace {

/// One balancer with one edit.
struct EditingBalancer
{
  EditingBalancer(MockStore& aStore, Edit aEdit,
                  Milliseconds aRetryTimeout = kRetryTimeout)
    : replica(metrics)
    , editor(aStore, replica, metrics, { aRetryTimeout, kBackoff, kBackoff })
    , edit(std::move(aEdit))
  {
    replica.Install(FirstDocument());
    replica.OnInstall([this] { CheckStampsDidNotDecrease(); });
  }

  auto CheckStampsDidNotDecrease() -> void
  {
    stampDecreased = stampDecreased || replica.Revision() < previous.revision;
    for (const auto& [path, stamp] : previous.stamps) {
      const auto now = replica.Merged()->stamps.find(path);
      stampDecreased = stampDecreased ||
                       now == replica.Merged()->stamps.end() ||
                       now->second < stamp;
    }
    previous = *replica.Merged();
  }

  auto Run() -> awaitable<void>
  {
    result = co_await editor.Submit(edit, EditMode::Write);
  }

  Metrics metrics;
  ListReplica replica;
  ListEditor editor;
  Edit edit;
  PlanLists previous;
  bool stampDecreased = false;
  std::optional<EditResult> result;
};

/// Enumerates all sequences of choices in depth-first order.
class ChoiceEnumerator
{
public:
  auto Pick(std::size_t aCount) -> std::size_t
  {
    if (m_next == m_path.size()) {
      m_path.push_back({ 0, aCount });
    }
    return m_path[m_next++].first;
  }

  /// Advances to the next sequence; returns false after the last one.
  auto Advance() -> bool
  {
    m_next = 0;
    while (!m_path.empty() && ++m_path.back().first == m_path.back().second) {
      m_path.pop_back();
    }
    return !m_path.empty();
  }

private:
  std::vector<std::pair<std::size_t, std::size_t>> m_path;
  std::size_t m_next = 0;
};

/// Maximum number of faults of each kind in one interleaving.
struct Faults
{
  int lostAnswers = 1;
  int undeliveredWrites = 1;
  int restores = 1;
  /// Whether a restore empties the store instead of restoring the first lists.
  bool restoreEmpties = false;
};

} // namespace

static auto RunInterleaving(ChoiceEnumerator& aChoices, Faults aFaults,
                            asio::io_context& aContext, MockStore& aStore,
                            std::array<EditingBalancer*, 2> aNodes) -> void
{
  const auto first = aStore.stored;
  for (auto* node : aNodes) {
    Spawn(aContext, "edit", node->Run());
  }
  for (;;) {
    const auto unfinished = std::count_if(
      aNodes.begin(), aNodes.end(),
      [](const EditingBalancer* aNode) { return !aNode->result.has_value(); });
    if (unfinished == 0) {
      return;
    }
    if (aStore.pendingCalls.size() < static_cast<std::size_t>(unfinished)) {
      aContext.run_one();
      continue;
    }
    struct Step
    {
      std::size_t call;
      CallResult callResult;
      bool restore;
    };
    std::vector<Step> steps;
    std::size_t index = 0;
    for (const auto* call : aStore.pendingCalls) {
      steps.push_back({ index, CallResult::Answered, false });
      if (call->write && aFaults.lostAnswers > 0) {
        steps.push_back({ index, CallResult::AnswerLost, false });
      }
      if (call->write && aFaults.undeliveredWrites > 0) {
        steps.push_back({ index, CallResult::NotDelivered, false });
      }
      ++index;
    }
    if (aFaults.restores > 0) {
      steps.push_back({ 0, CallResult::Answered, true });
    }
    const auto step = steps[aChoices.Pick(steps.size())];
    if (step.restore) {
      --aFaults.restores;
      aStore.stored = aFaults.restoreEmpties ? StoredValue{} : first;
      continue;
    }
    aFaults.lostAnswers -= step.callResult == CallResult::AnswerLost ? 1 : 0;
    aFaults.undeliveredWrites -=
      step.callResult == CallResult::NotDelivered ? 1 : 0;
    aStore.Complete(step.call, step.callResult);
  }
}

/// Lets both balancers write back and read each other's writes.
static auto Converge(asio::io_context& aContext, MockStore& aStore,
                     std::array<EditingBalancer*, 2> aNodes) -> void
{
  aStore.completeImmediately = true;
  for (int round = 0; round < 2; ++round) {
    for (auto* node : aNodes) {
      Spawn(aContext, "settle", [](EditingBalancer& aNode) -> awaitable<void> {
        co_await aNode.editor.WriteBack();
      }(*node));
      aContext.restart();
      aContext.run();
    }
  }
}

static auto CheckOutcome(const EditingBalancer& aNode, const MockStore& aStore)
  -> void
{
  cr_assert(!aNode.stampDecreased);
  const auto& lists = *aNode.replica.Merged();
  if (aNode.result->status == EditStatus::Accepted) {
    cr_assert(HasEdit(lists, aNode.edit.id));
  }
  if (aNode.result->status == EditStatus::Conflict) {
    cr_assert(!HasEdit(lists, aNode.edit.id));
  }
  cr_assert_str_eq(aStore.stored.value.c_str(),
                   aNode.replica.Document().c_str());
}

static auto ExploreInterleavings(
  const Edit& aLeft, const Edit& aRight, Faults aFaults,
  const std::function<void(const EditingBalancer&, const EditingBalancer&)>&
    aCheck) -> int
{
  ChoiceEnumerator choices;
  int runs = 0;
  do {
    asio::io_context context(1);
    MockStore store(context);
    store.stored = { FirstDocument(), 1 };
    EditingBalancer left(store, aLeft);
    EditingBalancer right(store, aRight);
    RunInterleaving(choices, aFaults, context, store, { &left, &right });
    Converge(context, store, { &left, &right });
    CheckOutcome(left, store);
    CheckOutcome(right, store);
    aCheck(left, right);
    ++runs;
  } while (choices.Advance());
  return runs;
}

static auto WeightOf(const EditingBalancer& aNode, const std::string& aPlan)
  -> double
{
  return aNode.replica.Current()->plans.at(aPlan).weight;
}

Test(ListEditor, EditsOfDifferentEntriesSurviveEveryInterleaving)
{
  const Edit left{ "l", { { "plans/clubs", PlanJson(1), PlanJson(2) } } };
  const Edit right{ "r", { { "plans/members", PlanJson(1), PlanJson(3) } } };
  const int runs = ExploreInterleavings(
    left, right, {},
    [](const EditingBalancer& aLeft, const EditingBalancer& aRight) {
      cr_assert(aLeft.result->status == EditStatus::Accepted);
      cr_assert(aRight.result->status == EditStatus::Accepted);
      cr_assert_eq(WeightOf(aLeft, "clubs"), 2);
      cr_assert_eq(WeightOf(aLeft, "members"), 3);
    });
  cr_log_info("%d interleavings", runs);
  cr_assert_gt(runs, 100);
}

Test(ListEditor, EditsOfDifferentEntriesSurviveAnEmptiedStore)
{
  const Edit left{ "l", { { "plans/clubs", PlanJson(1), PlanJson(2) } } };
  const Edit right{ "r", { { "plans/members", PlanJson(1), PlanJson(3) } } };
  const int runs = ExploreInterleavings(
    left, right, { 1, 0, 1, true },
    [](const EditingBalancer& aLeft, const EditingBalancer& aRight) {
      cr_assert(aLeft.result->status == EditStatus::Accepted);
      cr_assert(aRight.result->status == EditStatus::Accepted);
      cr_assert_eq(WeightOf(aLeft, "clubs"), 2);
      cr_assert_eq(WeightOf(aLeft, "members"), 3);
    });
  cr_assert_gt(runs, 100);
}

Test(ListEditor, ConflictingEditIsRejectedWithoutARestore)
{
  const Edit left{ "l", { { "plans/clubs", PlanJson(1), PlanJson(2) } } };
  const Edit right{ "r", { { "plans/clubs", PlanJson(1), PlanJson(3) } } };
  ExploreInterleavings(
    left, right, { 1, 1, 0 },
    [](const EditingBalancer& aLeft, const EditingBalancer& aRight) {
      const bool leftWon = aLeft.result->status == EditStatus::Accepted;
      const auto& other = leftWon ? aRight : aLeft;
      cr_assert(leftWon || aRight.result->status == EditStatus::Accepted);
      cr_assert(other.result->status == EditStatus::Conflict);
      cr_assert_eq(WeightOf(aLeft, "clubs"), leftWon ? 2 : 3);
    });
}

Test(ListEditor, EditSupersededAfterARestoreIsCounted)
{
  const Edit left{ "l", { { "plans/clubs", PlanJson(1), PlanJson(2) } } };
  const Edit right{ "r", { { "plans/clubs", PlanJson(1), PlanJson(3) } } };
  ExploreInterleavings(
    left, right, {},
    [](const EditingBalancer& aLeft, const EditingBalancer& aRight) {
      const bool both = aLeft.result->status == EditStatus::Accepted &&
                        aRight.result->status == EditStatus::Accepted;
      const auto counted = aLeft.metrics.Get(Counter::ListsEditSuperseded) +
                           aRight.metrics.Get(Counter::ListsEditSuperseded);
      cr_assert(!both || counted > 0);
    });
}

Test(ListEditor, UnavailableStoreLeavesTheEditUnwritten)
{
  asio::io_context context(1);
  MockStore store(context);
  EditingBalancer node(store,
                       { "l", { { "plans/clubs", PlanJson(1), PlanJson(2) } } },
                       kRetryTimeoutWhileDown);
  Spawn(context, "edit", node.Run());
  while (!node.result) {
    context.run_one();
    while (!store.pendingCalls.empty()) {
      store.Complete(0, CallResult::NotDelivered);
    }
  }
  cr_assert(node.result->status == EditStatus::Unavailable);
  cr_assert_eq(WeightOf(node, "clubs"), 1);
}

/// Runs one edit. Its store calls complete with aFates in turn; calls after the
/// last of them are answered.
static auto RunWithCallResults(asio::io_context& aContext, MockStore& aStore,
                               EditingBalancer& aNode,
                               std::vector<CallResult> aCallResults) -> void
{
  std::size_t next = 0;
  Spawn(aContext, "edit", aNode.Run());
  while (!aNode.result) {
    aContext.run_one();
    while (!aStore.pendingCalls.empty()) {
      const auto callResult =
        next < aCallResults.size() ? aCallResults[next] : CallResult::Answered;
      ++next;
      aStore.Complete(0, callResult);
    }
  }
}

Test(ListEditor, WriteIsSentAgainWhenReadBackFails)
{
  asio::io_context context(1);
  MockStore store(context);
  store.stored = { FirstDocument(), 1 };
  EditingBalancer node(
    store, { "l", { { "plans/clubs", PlanJson(1), PlanJson(2) } } });
  RunWithCallResults(context, store, node,
                     { CallResult::Answered, CallResult::NotDelivered,
                       CallResult::NotDelivered });
  cr_assert(node.result->status == EditStatus::Accepted);
  cr_assert_eq(store.writtenValues.size(), 1);
  cr_assert_eq(store.readCalls, 2);
}

Test(ListEditor, RepeatedWriteThatTookEffectIsReadBack)
{
  asio::io_context context(1);
  MockStore store(context);
  store.stored = { FirstDocument(), 1 };
  EditingBalancer node(
    store, { "l", { { "plans/clubs", PlanJson(1), PlanJson(2) } } });
  RunWithCallResults(context, store, node,
                     { CallResult::Answered, CallResult::AnswerLost,
                       CallResult::NotDelivered, CallResult::Answered,
                       CallResult::NotDelivered });
  cr_assert(node.result->status == EditStatus::Accepted);
  cr_assert_eq(store.writtenValues.size(), 1);
  cr_assert_eq(store.readCalls, 4);
  cr_assert_eq(WeightOf(node, "clubs"), 2);
}

Test(ListEditor, WriteWithLostAnswerIsReadBackNotRepeated)
{
  asio::io_context context(1);
  MockStore store(context);
  store.stored = { FirstDocument(), 1 };
  EditingBalancer node(
    store, { "l", { { "plans/clubs", PlanJson(1), PlanJson(2) } } });
  RunWithCallResults(context, store, node,
                     { CallResult::Answered, CallResult::AnswerLost });
  cr_assert(node.result->status == EditStatus::Accepted);
  cr_assert_eq(store.writtenValues.size(), 1);
  cr_assert_eq(store.writeCalls, 1);
}

Test(WatcherElection, SuccessorsTakeOverInPairsWithoutFreshReports)
{
  const std::vector<std::string> nodes{ "a", "b", "c", "d", "e", "f", "g" };
  const auto order = RendezvousOrder("platform-watch", nodes);
  std::map<std::string, WatcherElection> elections;
  for (const auto& node : nodes) {
    elections.emplace(node, WatcherElection(node));
  }
  const auto watching = [&](Clock::time_point aNow) {
    std::vector<std::string> found;
    for (const auto& node : order) {
      auto others = nodes;
      std::erase(others, node);
      if (elections.at(node).ShouldWatch(others, aNow)) {
        found.push_back(node);
      }
    }
    return found;
  };
  const auto start = Clock::now();
  for (auto& [node, election] : elections) {
    election.RecordWatcherReport(order[0], start);
    election.RecordWatcherReport(order[1], start);
  }
  cr_assert(watching(start) == std::vector({ order[0], order[1] }));
  const auto silent = start + kWatcherReportLifetime + Milliseconds(1);
  cr_assert(watching(silent) ==
            std::vector({ order[0], order[1], order[2], order[3] }));
  for (auto& [node, election] : elections) {
    election.RecordWatcherReport(order[2], silent);
    election.RecordWatcherReport(order[3], silent);
  }
  elections.at(order[2]).RecordStoreAnswer(silent);
  elections.at(order[3]).RecordStoreAnswer(silent);
  cr_assert(watching(silent + kSuccessorTurn) ==
            std::vector({ order[0], order[1], order[2], order[3] }));
}
