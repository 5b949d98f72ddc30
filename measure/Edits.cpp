// Scenarios "edit-spread", "twin-edit" and "lost-answer": propagation of list
// edits, concurrent edits, and lost responses of the store.

#include "measure/EditProbe.h"

#include <thread>

namespace bramleylock::measure {

using nlohmann::json;

static constexpr int kEdits = 20;
static constexpr double kIdleSeconds = 5;

/// Time until the members of a new cluster know each other.
static constexpr double kSettleSeconds = 3;

/// Store calls per second of one watcher without edits: one poll of the VM list
/// per second, the keys, and the long poll of the lists.
static constexpr double kCallsPerSecondAndWatcher = 1.5;

/// The cluster of EditClusterOptions, or with the number of nodes of the
/// command line.
static auto ClusterOptionsFor(const ScenarioOptions& aOptions) -> ClusterOptions
{
  auto options = EditClusterOptions(aOptions);
  options.balancers = aOptions.nodes > 0 ? aOptions.nodes : options.balancers;
  return options;
}

namespace {

class EditSpread : public Scenario
{
public:
  auto Summary() const -> std::string override
  {
    return "edits through random balancers; platform calls when idle and per "
           "edit";
  }

  auto Run(const ScenarioOptions& aOptions, Report& aReport) -> void override
  {
    Cluster cluster(*aOptions.deployment, ClusterOptionsFor(aOptions));
    cluster.Start();
    SleepSeconds(kSettleSeconds);
    EditProbe probe(cluster, *aOptions.deployment);
    Random random(aOptions.seed);
    // Long polls of balancers that are no longer watchers are not cancelled;
    // they end within this time.
    SleepSeconds(10);
    const auto before = StoreCalls(cluster);
    SleepSeconds(kIdleSeconds);
    const auto idleCalls = StoreCalls(cluster) - before;
    const auto started = Clock::now();
    const auto writes = StoreWrites(cluster);
    const auto calls = StoreCalls(cluster);
    for (int i = 0; i < kEdits; ++i) {
      auto& balancers = cluster.Balancers();
      probe.EditAndWait(balancers[random() % balancers.size()],
                        probe.Plans()[random() % probe.Plans().size()]);
    }
    const std::chrono::duration<double> elapsed = Clock::now() - started;
    const auto idleCallsPerSecond =
      static_cast<double>(idleCalls) / kIdleSeconds;
    const auto domains =
      static_cast<double>(aOptions.deployment->failureDomains.size());
    const auto perEdit = (static_cast<double>(StoreCalls(cluster) - calls) -
                          idleCallsPerSecond * elapsed.count()) /
                         kEdits;
    aReport.Add("balancers", std::uint64_t{ cluster.Balancers().size() });
    aReport.Add("calls_per_s_at_rest", idleCallsPerSecond);
    aReport.Add("calls_per_s_and_domain", idleCallsPerSecond / domains);
    aReport.Add("calls_per_edit", perEdit);
    aReport.Add("writes_per_edit",
                static_cast<double>(StoreWrites(cluster) - writes) / kEdits);
    aReport.Require("calls_per_s_and_domain<=3",
                    idleCallsPerSecond / domains <=
                      kCallsPerSecondAndWatcher * 2);
    for (const auto* name :
         { "lists_fetched", "lists_lower_revision", "lists_send_deferred",
           "lists_written_back", "watch_takeover" }) {
      aReport.Add(name, cluster.CounterSum(name));
    }
    probe.AddResults(aReport);
  }
};

class ConcurrentEdits : public Scenario
{
public:
  auto Summary() const -> std::string override
  {
    return "two concurrent edits, of different entries and of the same one";
  }

  auto Run(const ScenarioOptions& aOptions, Report& aReport) -> void override
  {
    Cluster cluster(*aOptions.deployment, ClusterOptionsFor(aOptions));
    cluster.Start();
    EditProbe probe(cluster, *aOptions.deployment);
    Random random(aOptions.seed);
    std::uint64_t bothRefused = 0;
    std::uint64_t bothAccepted = 0;
    std::uint64_t otherEntriesRefused = 0;
    std::uint64_t conflictsShown = 0;
    for (int i = 0; i < kEdits; ++i) {
      const bool same = i % 2 == 1;
      const auto plans = probe.Plans();
      const std::array<json, 2> edits{ probe.NextEdit(plans[0]),
                                       probe.NextEdit(plans[same ? 0 : 1]) };
      std::array<json, 2> answers;
      auto& balancers = cluster.Balancers();
      const auto first = random() % balancers.size();
      const auto second = random() % balancers.size();
      std::thread other(
        [&] { answers[1] = probe.Submit(balancers[second], edits[1]); });
      answers[0] = probe.Submit(balancers[first], edits[0]);
      other.join();
      int accepted = 0;
      for (std::size_t k = 0; k < 2; ++k) {
        if (answers[k].value("status", "") == "accepted") {
          ++accepted;
          probe.MarkAccepted(edits[k]);
          continue;
        }
        const auto shown = answers[k].value("conflicts", json::array());
        conflictsShown += !shown.empty() && shown[0].value("other_edit", "") ==
                                              edits[1 - k].value("edit", "")
                            ? 1
                            : 0;
      }
      bothRefused += accepted == 0 ? 1 : 0;
      bothAccepted += same && accepted == 2 ? 1 : 0;
      otherEntriesRefused += !same && accepted < 2 ? 1 : 0;
      probe.WaitInForce(kPropagationLimitSeconds);
    }
    aReport.Add("both_refused", bothRefused);
    aReport.Add("both_accepted_same_entry", bothAccepted);
    aReport.Add("other_entries_refused", otherEntriesRefused);
    aReport.Add("conflicts_shown", conflictsShown);
    aReport.Require("both_refused=0", bothRefused == 0);
    aReport.Require("both_accepted_same_entry=0", bothAccepted == 0);
    aReport.Require("other_entries_refused=0", otherEntriesRefused == 0);
    aReport.Require("conflicts_shown=10", conflictsShown == kEdits / 2);
    probe.AddResults(aReport);
  }
};

class LostAnswer : public Scenario
{
public:
  auto Summary() const -> std::string override
  {
    return "the store's responses to writes are lost after they took effect";
  }

  auto Run(const ScenarioOptions& aOptions, Report& aReport) -> void override
  {
    Cluster cluster(*aOptions.deployment, ClusterOptionsFor(aOptions));
    cluster.Start();
    EditProbe probe(cluster, *aOptions.deployment);
    Random random(aOptions.seed);
    std::uint64_t differentOutcomes = 0;
    std::set<std::string> ids;
    const auto writes = StoreWrites(cluster);
    for (int i = 0; i < kEdits; ++i) {
      auto& balancers = cluster.Balancers();
      auto& editor = balancers[random() % balancers.size()];
      const auto edit = probe.NextEdit(probe.Plans()[0]);
      ids.insert(edit.value("edit", ""));
      cluster.SetStoreFault({ { "lose_answers", 1 } });
      const auto answer = probe.Submit(editor, edit);
      // The operator's connection may also break. The same edit, submitted
      // through another balancer, must be recognized and not written again.
      const auto repeated =
        probe.Submit(balancers[random() % balancers.size()], edit);
      differentOutcomes +=
        answer.value("revision", 0) != repeated.value("revision", 1) ? 1 : 0;
      if (answer.value("status", "") == "accepted") {
        probe.MarkAccepted(edit);
      }
      probe.WaitInForce(kPropagationLimitSeconds);
    }
    std::uint64_t inHistory = 0;
    const auto history =
      cluster.Admin(cluster.Balancers()[0], "GET", "/lists/history");
    for (const auto& row : history.value("edits", json::array())) {
      inHistory += ids.contains(row.value("id", "")) ? 1 : 0;
    }
    const auto written = StoreWrites(cluster) - writes;
    aReport.Add("edits", std::uint64_t{ ids.size() });
    aReport.Add("edits_in_history", inHistory);
    aReport.Add("store_writes", written);
    aReport.Add("other_outcome_when_repeated", differentOutcomes);
    aReport.Require("edits_in_history=20", inHistory == kEdits);
    aReport.Require("store_writes=20", written == kEdits);
    aReport.Require("other_outcome_when_repeated=0", differentOutcomes == 0);
    probe.AddResults(aReport);
  }
};

const Registration<ScenarioRegistry, EditSpread> kEditSpread("edit-spread");
const Registration<ScenarioRegistry, ConcurrentEdits> kConcurrentEdits(
  "twin-edit");
const Registration<ScenarioRegistry, LostAnswer> kLostAnswer("lost-answer");

} // namespace

} // namespace bramleylock::measure
