// Exhaustive interleavings of two edits with lost answers and a restored store.

#include "bramleylock/Lists/ListEditor.h"
#include "bramleylock/Lists/WatcherElection.h"
#include "bramleylock/Support/Rendezvous.h"
#include "unittests/Lists/MockStore.h"

#include <criterion/criterion.h>

#include <optional>

using namespace bramleylock;
using namespace bramleylock::lists;

static constexpr Milliseconds kPause{ 1 };

/// Long enough never to expire, so that outcomes do not depend on the speed of
/// the machine.
static constexpr Milliseconds kBudget{ 60000 };
static constexpr Milliseconds kBudgetWhileDown{ 20 };

static auto PlanText(double aWeight) -> std::string
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
struct Node
{
  Node(MockStore& aStore, Edit aEdit, Milliseconds aBudget = kBudget)
    : keeper(metrics)
    , editor(aStore, keeper, metrics, { aBudget, kPause, kPause })
    , edit(std::move(aEdit))
  {
    keeper.Install(FirstDocument());
    keeper.OnInstall([this] { CheckNothingFell(); });
  }

  auto CheckNothingFell() -> void
  {
    fell = fell || keeper.Revision() < before.revision;
    for (const auto& [path, stamp] : before.stamps) {
      const auto now = keeper.Merged()->stamps.find(path);
      fell =
        fell || now == keeper.Merged()->stamps.end() || now->second < stamp;
    }
    before = *keeper.Merged();
  }

  auto Run() -> awaitable<void>
  {
    result = co_await editor.Submit(edit, EditMode::Write);
  }

  Metrics metrics;
  ListKeeper keeper;
  ListEditor editor;
  Edit edit;
  PlanLists before;
  bool fell = false;
  std::optional<EditResult> result;
};

/// Enumerates all sequences of choices in depth-first order.
class Choices
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
  int lost = 1;
  int notArrived = 1;
  int restores = 1;
  /// Whether a restore empties the store instead of restoring the first lists.
  bool empties = false;
};

} // namespace

static auto RunInterleaving(Choices& aChoices, Faults aFaults,
                            asio::io_context& aContext, MockStore& aStore,
                            std::array<Node*, 2> aNodes) -> void
{
  const auto first = aStore.stored;
  for (auto* node : aNodes) {
    Spawn(aContext, "edit", node->Run());
  }
  for (;;) {
    const auto unfinished =
      std::count_if(aNodes.begin(), aNodes.end(), [](const Node* aNode) {
        return !aNode->result.has_value();
      });
    if (unfinished == 0) {
      return;
    }
    if (aStore.waiting.size() < static_cast<std::size_t>(unfinished)) {
      aContext.run_one();
      continue;
    }
    struct Step
    {
      std::size_t call;
      CallFate fate;
      bool restore;
    };
    std::vector<Step> steps;
    std::size_t index = 0;
    for (const auto* call : aStore.waiting) {
      steps.push_back({ index, CallFate::Answered, false });
      if (call->write && aFaults.lost > 0) {
        steps.push_back({ index, CallFate::AnswerLost, false });
      }
      if (call->write && aFaults.notArrived > 0) {
        steps.push_back({ index, CallFate::NotArrived, false });
      }
      ++index;
    }
    if (aFaults.restores > 0) {
      steps.push_back({ 0, CallFate::Answered, true });
    }
    const auto step = steps[aChoices.Pick(steps.size())];
    if (step.restore) {
      --aFaults.restores;
      aStore.stored = aFaults.empties ? StoredValue{} : first;
      continue;
    }
    aFaults.lost -= step.fate == CallFate::AnswerLost ? 1 : 0;
    aFaults.notArrived -= step.fate == CallFate::NotArrived ? 1 : 0;
    aStore.Release(step.call, step.fate);
  }
}

/// Lets both balancers write back and read each other's writes.
static auto Settle(asio::io_context& aContext, MockStore& aStore,
                   std::array<Node*, 2> aNodes) -> void
{
  aStore.open = true;
  for (int round = 0; round < 2; ++round) {
    for (auto* node : aNodes) {
      Spawn(aContext, "settle", [](Node& aNode) -> awaitable<void> {
        co_await aNode.editor.WriteBack();
      }(*node));
      aContext.restart();
      aContext.run();
    }
  }
}

static auto CheckOutcome(const Node& aNode, const MockStore& aStore) -> void
{
  cr_assert(!aNode.fell);
  const auto& lists = *aNode.keeper.Merged();
  if (aNode.result->status == EditStatus::Accepted) {
    cr_assert(HasEdit(lists, aNode.edit.id));
  }
  if (aNode.result->status == EditStatus::Conflict) {
    cr_assert(!HasEdit(lists, aNode.edit.id));
  }
  cr_assert_str_eq(aStore.stored.value.c_str(),
                   aNode.keeper.Document().c_str());
}

static auto Explore(const Edit& aLeft, const Edit& aRight, Faults aFaults,
                    const std::function<void(const Node&, const Node&)>& aCheck)
  -> int
{
  Choices choices;
  int runs = 0;
  do {
    asio::io_context context(1);
    MockStore store(context);
    store.stored = { FirstDocument(), 1 };
    Node left(store, aLeft);
    Node right(store, aRight);
    RunInterleaving(choices, aFaults, context, store, { &left, &right });
    Settle(context, store, { &left, &right });
    CheckOutcome(left, store);
    CheckOutcome(right, store);
    aCheck(left, right);
    ++runs;
  } while (choices.Advance());
  return runs;
}

static auto WeightOf(const Node& aNode, const std::string& aPlan) -> double
{
  return aNode.keeper.Current()->plans.at(aPlan).weight;
}

Test(ListEditor, EditsOfOtherEntriesSurviveEveryInterleaving)
{
  const Edit left{ "l", { { "plans/clubs", PlanText(1), PlanText(2) } } };
  const Edit right{ "r", { { "plans/members", PlanText(1), PlanText(3) } } };
  const int runs =
    Explore(left, right, {}, [](const Node& aLeft, const Node& aRight) {
      cr_assert(aLeft.result->status == EditStatus::Accepted);
      cr_assert(aRight.result->status == EditStatus::Accepted);
      cr_assert_eq(WeightOf(aLeft, "clubs"), 2);
      cr_assert_eq(WeightOf(aLeft, "members"), 3);
    });
  cr_log_info("%d interleavings", runs);
  cr_assert_gt(runs, 100);
}

Test(ListEditor, EditsOfOtherEntriesSurviveAnEmptiedStore)
{
  const Edit left{ "l", { { "plans/clubs", PlanText(1), PlanText(2) } } };
  const Edit right{ "r", { { "plans/members", PlanText(1), PlanText(3) } } };
  const int runs = Explore(
    left, right, { 1, 0, 1, true }, [](const Node& aLeft, const Node& aRight) {
      cr_assert(aLeft.result->status == EditStatus::Accepted);
      cr_assert(aRight.result->status == EditStatus::Accepted);
      cr_assert_eq(WeightOf(aLeft, "clubs"), 2);
      cr_assert_eq(WeightOf(aLeft, "members"), 3);
    });
  cr_assert_gt(runs, 100);
}

Test(ListEditor, OneOfTwoEditsOfAnEntryIsRefusedWithoutARestore)
{
  const Edit left{ "l", { { "plans/clubs", PlanText(1), PlanText(2) } } };
  const Edit right{ "r", { { "plans/clubs", PlanText(1), PlanText(3) } } };
  Explore(left, right, { 1, 1, 0 }, [](const Node& aLeft, const Node& aRight) {
    const bool leftWon = aLeft.result->status == EditStatus::Accepted;
    const auto& other = leftWon ? aRight : aLeft;
    cr_assert(leftWon || aRight.result->status == EditStatus::Accepted);
    cr_assert(other.result->status == EditStatus::Conflict);
    cr_assert_eq(WeightOf(aLeft, "clubs"), leftWon ? 2 : 3);
  });
}

Test(ListEditor, AnEditThatARestoreSupersedesIsCounted)
{
  const Edit left{ "l", { { "plans/clubs", PlanText(1), PlanText(2) } } };
  const Edit right{ "r", { { "plans/clubs", PlanText(1), PlanText(3) } } };
  Explore(left, right, {}, [](const Node& aLeft, const Node& aRight) {
    const bool both = aLeft.result->status == EditStatus::Accepted &&
                      aRight.result->status == EditStatus::Accepted;
    const auto counted = aLeft.metrics.Get(Counter::ListsEditSuperseded) +
                         aRight.metrics.Get(Counter::ListsEditSuperseded);
    cr_assert(!both || counted > 0);
  });
}

Test(ListEditor, AStoreThatIsDownLeavesTheEditUnwritten)
{
  asio::io_context context(1);
  MockStore store(context);
  Node node(store, { "l", { { "plans/clubs", PlanText(1), PlanText(2) } } },
            kBudgetWhileDown);
  Spawn(context, "edit", node.Run());
  while (!node.result) {
    context.run_one();
    while (!store.waiting.empty()) {
      store.Release(0, CallFate::NotArrived);
    }
  }
  cr_assert(node.result->status == EditStatus::Unavailable);
  cr_assert_eq(WeightOf(node, "clubs"), 1);
}

/// Runs one edit. Its store calls complete with aFates in turn; calls after the
/// last of them are answered.
static auto RunScript(asio::io_context& aContext, MockStore& aStore,
                      Node& aNode, std::vector<CallFate> aFates) -> void
{
  std::size_t next = 0;
  Spawn(aContext, "edit", aNode.Run());
  while (!aNode.result) {
    aContext.run_one();
    while (!aStore.waiting.empty()) {
      const auto fate =
        next < aFates.size() ? aFates[next] : CallFate::Answered;
      ++next;
      aStore.Release(0, fate);
    }
  }
}

Test(ListEditor, AWriteThatCannotBeReadBackIsSentAgain)
{
  asio::io_context context(1);
  MockStore store(context);
  store.stored = { FirstDocument(), 1 };
  Node node(store, { "l", { { "plans/clubs", PlanText(1), PlanText(2) } } });
  RunScript(context, store, node,
            { CallFate::Answered, CallFate::NotArrived, CallFate::NotArrived });
  cr_assert(node.result->status == EditStatus::Accepted);
  cr_assert_eq(store.written.size(), 1);
  cr_assert_eq(store.reads, 2);
}

Test(ListEditor, AWriteSentAgainAfterItTookEffectIsReadBack)
{
  asio::io_context context(1);
  MockStore store(context);
  store.stored = { FirstDocument(), 1 };
  Node node(store, { "l", { { "plans/clubs", PlanText(1), PlanText(2) } } });
  RunScript(context, store, node,
            { CallFate::Answered, CallFate::AnswerLost, CallFate::NotArrived,
              CallFate::Answered, CallFate::NotArrived });
  cr_assert(node.result->status == EditStatus::Accepted);
  cr_assert_eq(store.written.size(), 1);
  cr_assert_eq(store.reads, 4);
  cr_assert_eq(WeightOf(node, "clubs"), 2);
}

Test(ListEditor, AWriteWhoseAnswerIsLostIsReadBackAndNotSentTwice)
{
  asio::io_context context(1);
  MockStore store(context);
  store.stored = { FirstDocument(), 1 };
  Node node(store, { "l", { { "plans/clubs", PlanText(1), PlanText(2) } } });
  RunScript(context, store, node, { CallFate::Answered, CallFate::AnswerLost });
  cr_assert(node.result->status == EditStatus::Accepted);
  cr_assert_eq(store.written.size(), 1);
  cr_assert_eq(store.writes, 1);
}

Test(WatcherElection, SuccessorsTakeOverInPairsWhileNoWordIsFresh)
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
    election.Heard(order[0], start);
    election.Heard(order[1], start);
  }
  cr_assert(watching(start) == std::vector({ order[0], order[1] }));
  const auto silent = start + kWordFresh + Milliseconds(1);
  cr_assert(watching(silent) ==
            std::vector({ order[0], order[1], order[2], order[3] }));
  for (auto& [node, election] : elections) {
    election.Heard(order[2], silent);
    election.Heard(order[3], silent);
  }
  elections.at(order[2]).Answered(silent);
  elections.at(order[3]).Answered(silent);
  cr_assert(watching(silent + kSuccession) ==
            std::vector({ order[0], order[1], order[2], order[3] }));
}
