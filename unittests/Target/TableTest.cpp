// Effects of failures, shed requests, warm-up and connection limits on the
// target choice, with a mock transport.

#include "bramleylock/Target/HealthProber.h"

#include <criterion/criterion.h>

using namespace bramleylock;
using namespace bramleylock::target;

namespace {

class MockConnection : public TargetConnection
{
public:
  explicit MockConnection(bool aSilent)
    : m_silent(aSilent)
  {
  }
  auto Send(const TargetCall&, std::error_code&) -> awaitable<void> override
  {
    co_return;
  }
  auto ReadHead(std::error_code&) -> awaitable<TargetHead> override
  {
    co_return TargetHead{};
  }
  auto ReadSome(char*, std::size_t, std::error_code&)
    -> awaitable<std::size_t> override
  {
    co_return 0;
  }
  auto Probe(Milliseconds, std::error_code& aError) -> awaitable<void> override
  {
    if (m_silent) {
      aError = TargetError::Timeout;
    }
    co_return;
  }
  auto Reusable() const -> bool override { return true; }
  auto Close() -> void override {}

private:
  bool m_silent;
};

class MockTransport : public TargetTransport
{
public:
  auto Connect(std::string, Milliseconds, std::error_code&)
    -> awaitable<std::unique_ptr<TargetConnection>> override
  {
    ++connects;
    co_return std::make_unique<MockConnection>(false);
  }
  int connects = 0;
};

/// A table with targets a-0, a-1, ... in the own failure domain a, and targets
/// b-0, b-1, ... in domain b.
struct Fixture
{
  Fixture(int aOwnDomainTargets, int aOtherDomainTargets)
    : transport(new MockTransport)
    , table("a", std::unique_ptr<TargetTransport>(transport),
            ChoiceRegistry::Instance().Create("spill-over"), metrics, 1)
  {
    for (int i = 0; i < aOwnDomainTargets; ++i) {
      entries.push_back({ "a-" + std::to_string(i), "service", "a", false });
    }
    for (int i = 0; i < aOtherDomainTargets; ++i) {
      entries.push_back({ "b-" + std::to_string(i), "service", "b", false });
    }
    table.SetTargets(entries);
  }

  auto Fail(const std::string& aAddress, int aTimes) -> void
  {
    for (int i = 0; i < aTimes; ++i) {
      table.Report(table.All().at(aAddress), TargetOutcome::Lost);
    }
  }

  auto CountEjected() -> int
  {
    int count = 0;
    for (const auto& [address, target] : table.All()) {
      count += target->ejectedUntil > Clock::now() ? 1 : 0;
    }
    return count;
  }

  /// The number of times that aAddress is chosen in aTimes choices.
  auto CountChosen(const std::string& aAddress, int aTimes) -> int
  {
    int count = 0;
    for (int i = 0; i < aTimes; ++i) {
      const auto target = table.Choose("service", {});
      count += target && target->address == aAddress ? 1 : 0;
    }
    return count;
  }

  Metrics metrics;
  MockTransport* transport;
  TargetTable table;
  std::vector<TargetListEntry> entries;
};

auto ConnectOnce(TargetTable& aTable, std::shared_ptr<Target> aTarget,
                 std::error_code& aError) -> awaitable<void>
{
  co_await aTable.Connect(aTarget, Milliseconds(0), aError);
}

} // namespace

Test(TargetTable, EjectsAtMostHalfWhenAllFail)
{
  Fixture fixture(6, 0);
  for (const auto& entry : fixture.entries) {
    fixture.Fail(entry.address, 5);
  }
  cr_assert_eq(fixture.CountEjected(), 3);
}

Test(TargetTable, EjectsAllTargetsOfAnUnreachableDomain)
{
  Fixture fixture(2, 6);
  for (int i = 0; i < 6; ++i) {
    fixture.Fail("b-" + std::to_string(i), 3);
  }
  cr_assert_eq(fixture.CountEjected(), 6);
}

Test(TargetTable, SheddingTargetGetsFewerRequestsAndRecovers)
{
  Fixture fixture(4, 0);
  const auto target = fixture.table.All().at("a-0");
  for (int i = 0; i < 8; ++i) {
    fixture.table.Report(target, TargetOutcome::Shed);
  }
  cr_assert_lt(fixture.CountChosen("a-0", 400), 20);
  for (int i = 0; i < 20; ++i) {
    fixture.table.Report(target, TargetOutcome::Answered);
  }
  cr_assert_gt(fixture.CountChosen("a-0", 400), 80);
}

Test(TargetTable, ChoiceStaysEvenWhenAllTargetsShed)
{
  Fixture fixture(4, 0);
  for (const auto& entry : fixture.entries) {
    fixture.table.Report(fixture.table.All().at(entry.address),
                         TargetOutcome::Shed);
  }
  cr_assert_geq(fixture.CountChosen("a-0", 400), 95);
}

Test(TargetTable, WarmsUpNewTargetsButNotTheFirstList)
{
  Fixture fixture(4, 0);
  cr_assert_geq(fixture.CountChosen("a-0", 400), 95);
  fixture.entries.push_back({ "a-9", "service", "a", false });
  fixture.table.SetTargets(fixture.entries);
  const int chosen = fixture.CountChosen("a-9", 400);
  cr_assert_gt(chosen, 0);
  cr_assert_lt(chosen, 40);
}

Test(TargetTable, ChoiceStaysEvenWhenAllTargetsAreUnhealthy)
{
  Fixture fixture(4, 0);
  for (const auto& entry : fixture.entries) {
    fixture.table.RecordProbe(entry.address, false, false);
  }
  cr_assert_geq(fixture.CountChosen("a-0", 400), 95);
}

Test(TargetTable, TargetAnnouncingDrainingIsNeverChosen)
{
  Fixture fixture(1, 0);
  fixture.table.RecordDraining(fixture.table.All().at("a-0"));
  cr_assert_null(fixture.table.Choose("service", {}));
  cr_assert_eq(fixture.table.DrainingTargets().size(), 1u);
}

Test(TargetTable, TargetReportedDrainingByPeersIsLastResort)
{
  Fixture fixture(2, 0);
  fixture.table.RecordPeersDraining({ "a-0" });
  cr_assert_eq(fixture.CountChosen("a-0", 100), 0);
  cr_assert(fixture.table.DrainingTargets().empty(),
            "a draining report of a peer was passed on as this balancer's own");
  fixture.table.RecordPeersDraining({ "a-1" });
  cr_assert_not_null(fixture.table.Choose("service", {}));
}

Test(TargetTable, SilentIdleConnectionDiscardsAllIdleConnections)
{
  Fixture fixture(1, 0);
  const auto target = fixture.table.All().at("a-0");
  for (int i = 0; i < 3; ++i) {
    target->idleConnections.push_back(std::make_shared<MockConnection>(true));
  }
  asio::io_context context;
  std::error_code error;
  Spawn(context, "test", ConnectOnce(fixture.table, target, error));
  context.run();
  cr_assert(!error);
  cr_assert(target->idleConnections.empty());
  cr_assert_eq(fixture.transport->connects, 1);
  cr_assert_eq(fixture.metrics.Get(Counter::TargetSilent), 1u);
}

Test(ConnectionShare, BalancersTogetherStayUnderTheLimit)
{
  for (const std::size_t balancers : { 7, 800, 12000 }) {
    std::uint64_t total = 0;
    for (std::size_t i = 0; i < balancers; ++i) {
      total += ConnectionShare(2000, balancers, "vm-" + std::to_string(i),
                               "10.0.0.1:80");
    }
    cr_assert_leq(total, 2000u, "%zu balancers", balancers);
    cr_assert_gt(total, 1500u, "%zu balancers", balancers);
  }
}

Test(ConnectionShare, RefusedConnectionLowersTheLimitTemporarily)
{
  Fixture fixture(1, 0);
  fixture.table.SetBalancerCount(7, "self");
  const auto target = fixture.table.All().at("a-0");
  target->inFlight = 5;
  fixture.table.Report(target, TargetOutcome::ConnectFailed);
  cr_assert_null(fixture.table.Choose("service", {}));
  target->inFlight = 3;
  cr_assert_not_null(fixture.table.Choose("service", {}));
}

Test(HealthProber, ThreeBalancersOfItsDomainProbeEachTarget)
{
  BalancersByDomain balancers;
  for (int i = 0; i < 9; ++i) {
    balancers["a"].push_back("near-" + std::to_string(i));
    balancers["b"].push_back("far-" + std::to_string(i));
  }
  Target target;
  target.address = "10.0.0.1:80";
  target.failureDomain = "a";
  const auto count = [&](const std::string& aPrefix) {
    int probers = 0;
    for (int i = 0; i < 9; ++i) {
      probers +=
        IsProber(balancers, aPrefix + std::to_string(i), target) ? 1 : 0;
    }
    return probers;
  };
  cr_assert_eq(count("near-"), 3);
  cr_assert_eq(count("far-"), 0);
  balancers.erase("a");
  cr_assert_leq(count("far-"), 3);
  cr_assert_gt(count("far-"), 0);
}

/// Balancers of different builds must agree on the probers, so the ranks do not
/// depend on the standard library.
Test(HealthProber, ProbersAreTheSameInEveryBuild)
{
  BalancersByDomain balancers;
  std::string probers;
  for (int i = 0; i < 9; ++i) {
    balancers["a"].push_back("near-" + std::to_string(i));
  }
  Target target;
  target.address = "10.0.0.1:80";
  target.failureDomain = "a";
  for (int i = 0; i < 9; ++i) {
    const auto name = "near-" + std::to_string(i);
    probers += IsProber(balancers, name, target) ? std::to_string(i) : "";
  }
  cr_assert(probers == "238", "%s", probers.c_str());
}
