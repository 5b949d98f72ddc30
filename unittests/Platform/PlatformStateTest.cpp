// Tests of reading the platform's store, run against its stand-in.

#include "platform/standins/StoreStandin.h"

#include "bramleylock/Forward/StateSource.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

using namespace bramleylock;
using namespace bramleylock::forward;

namespace {

/// A stand-in store with aHosts host entries, and a source that reads it.
struct StoreFixture
{
  explicit StoreFixture(int aHosts)
    : store(context, Tcp::endpoint(asio::ip::address_v4::loopback(), 0))
  {
    for (int i = 0; i < aHosts; ++i) {
      store.Put(fmt::format("servers/h-{:04x}", i + 1),
                fmt::format(R"({{"service":"orders","addr":"10.0.0.{}:80",)"
                            R"("zone":"here","version":"v1","slots":2,)"
                            R"("state":"ready","coldLeftMs":0,"seq":1,)"
                            R"("born":1000}})",
                            i + 1));
    }
    const auto endpoint = store.Endpoint();
    source = StateSourceRegistry::Instance().Create(
      "bandeiras", context, FormatEndpoint(endpoint.address(), endpoint.port()),
      metrics);
  }

  auto ReadState() -> StateReading
  {
    StateReading reading;
    RunTask(
      [&]() -> awaitable<void> { reading = co_await source->ReadAll(error); });
    return reading;
  }

  /// Reads the full state and returns the number of targets read.
  auto ReadAll() -> std::size_t { return ReadState().targets.size(); }

  auto ReadChanges(const StoreRevision& aRevision) -> StateReading
  {
    error.clear();
    StateReading reading;
    RunTask([&]() -> awaitable<void> {
      reading = co_await source->ReadChanges(aRevision, Milliseconds(0), error);
    });
    return reading;
  }

  auto RecordBalancers(std::uint32_t aCount) -> void
  {
    RunTask([&]() -> awaitable<void> {
      co_await source->RecordBalancerCount(aCount, error);
    });
  }

  auto RecordFormerShares(const std::vector<FormerShare>& aShares) -> void
  {
    error.clear();
    RunTask([&]() -> awaitable<void> {
      co_await source->RecordFormerShares(aShares, error);
    });
  }

  auto ReadSecret(StateSource& aSource) -> std::string
  {
    std::string secret;
    RunTask([&]() -> awaitable<void> {
      secret = co_await aSource.ClusterSecret(error);
    });
    return secret;
  }

  /// Reads the cluster secret through a new source, as another balancer does
  /// when it starts.
  auto ReadSecretAsNewBalancer() -> std::string
  {
    const auto endpoint = store.Endpoint();
    const auto newSource = StateSourceRegistry::Instance().Create(
      "bandeiras", context, FormatEndpoint(endpoint.address(), endpoint.port()),
      metrics);
    return ReadSecret(*newSource);
  }

  template<typename Task>
  auto RunTask(Task aTask) -> void
  {
    asio::co_spawn(
      context,
      [&]() -> awaitable<void> {
        co_await aTask();
        context.stop();
      },
      asio::detached);
    context.run();
    context.restart();
  }

  asio::io_context context{ 1 };
  Metrics metrics;
  standin::StoreStandin store;
  std::unique_ptr<StateSource> source;
  std::error_code error;
};

} // namespace

Test(PlatformState, ReadsAllPages)
{
  StoreFixture fixture(23);
  cr_assert(fixture.ReadAll() == 23);
  cr_assert(!fixture.error);
  cr_assert(fixture.metrics.Get(Counter::StoreCalls) == 5);
}

/// When many balancers start at once, the store's rate limit refuses some of
/// their calls. A reader that restarted from the first page at each refusal
/// would never reach the last page.
Test(PlatformState, RefusedPageIsRetried)
{
  StoreFixture fixture(23);
  standin::StoreFaults faults;
  faults.refuseEveryNth = 3;
  fixture.store.SetFaults(faults);
  cr_assert(fixture.ReadAll() == 23);
  cr_assert(!fixture.error);
  cr_assert(fixture.metrics.Get(Counter::StoreCalls) == 7);
}

Test(PlatformState, FirstPageIsNotRetried)
{
  StoreFixture fixture(23);
  standin::StoreFaults faults;
  faults.errorStatus = 429;
  fixture.store.SetFaults(faults);
  cr_assert(fixture.ReadAll() == 0);
  cr_assert(fixture.error == make_error_code(SourceError::Refused));
  // The first page is not retried here: the caller decides on the delay.
  cr_assert(fixture.metrics.Get(Counter::StoreCalls) == 1);
}

/// A balancer whose write conflicts receives the existing secret in the
/// response to the write, so each balancer needs one call when all start for
/// the first time.
Test(PlatformState, SecretIsCreatedOnceWithOneCallPerBalancer)
{
  StoreFixture fixture(0);
  const auto first = fixture.ReadSecretAsNewBalancer();
  cr_assert(!first.empty());
  cr_assert(fixture.metrics.Get(Counter::StoreCalls) == 1);
  cr_assert(fixture.ReadSecretAsNewBalancer() == first);
  cr_assert(fixture.ReadSecretAsNewBalancer() == first);
  cr_assert(fixture.metrics.Get(Counter::StoreCalls) == 3);
  cr_assert(fixture.metrics.Get(Counter::StoreWrites) == 3);
}

/// The write of the secret takes effect but its response is lost. The secret in
/// the store counts, not the one that the caller generated.
Test(PlatformState, StoredSecretIsUsedAfterUnansweredWrite)
{
  StoreFixture fixture(0);
  standin::StoreFaults faults;
  faults.unansweredWrites = 1;
  fixture.store.SetFaults(faults);
  cr_assert(fixture.ReadSecretAsNewBalancer().empty());
  cr_assert(fixture.error);
  fixture.error.clear();
  const auto secret = fixture.ReadSecretAsNewBalancer();
  cr_assert(!secret.empty() && !fixture.error);
  cr_assert(fixture.ReadSecretAsNewBalancer() == secret);
}

/// Guards against watching the new history from a revision of the lost one.
Test(PlatformState, RestoredStoreEndsTheWatchAndNamesItsGeneration)
{
  StoreFixture fixture(3);
  fixture.store.SaveCopy();
  fixture.store.Put("servers/h-0009", "{}");
  const auto known = fixture.ReadState().revision;
  fixture.store.Restore();
  fixture.ReadChanges(known);
  cr_assert(fixture.error == make_error_code(SourceError::HistoryGone));
  fixture.error.clear();
  const auto restored = fixture.ReadState();
  cr_assert(!fixture.error && restored.targets.size() == 3);
  cr_assert(known.generation == 1 && restored.revision.generation == 2);
  cr_assert(fixture.source->Generation() == 2);
  // The new history reaches the number of the lost one.
  fixture.store.Put("servers/h-0009", "{}");
  fixture.store.Put("servers/h-0009", "{}");
  cr_assert(fixture.ReadChanges(known).revision.generation == 2);
  cr_assert(!fixture.error);
}

/// Guards against a second secret after a restore, which would keep balancers
/// that start later apart from those that run.
Test(PlatformState, SecretThatARestoreHasLostIsWrittenAgain)
{
  StoreFixture fixture(0);
  fixture.store.SaveCopy();
  const auto secret = fixture.ReadSecret(*fixture.source);
  fixture.store.Restore();
  fixture.ReadState();
  cr_assert(!secret.empty() && fixture.ReadSecretAsNewBalancer() == secret);
}

/// Guards against a write after each reading.
Test(PlatformState, SecretWrittenAgainByAnotherBalancerIsNotWrittenOnceMore)
{
  StoreFixture fixture(0);
  fixture.store.SaveCopy();
  const auto secret = fixture.ReadSecret(*fixture.source);
  fixture.store.Restore();
  standin::StoreFaults faults;
  faults.unansweredWrites = 1;
  fixture.store.SetFaults(faults);
  const auto known = fixture.ReadState().revision;
  // From here on the readings do not contain the write.
  const StoreRevision later{ known.number + 1, known.generation };
  fixture.ReadChanges(later);
  const auto writes = fixture.metrics.Get(Counter::StoreWrites);
  fixture.ReadChanges(later);
  cr_assert(!fixture.error);
  cr_assert(fixture.metrics.Get(Counter::StoreWrites) == writes);
  cr_assert(fixture.ReadSecretAsNewBalancer() == secret);
}

Test(PlatformState, SecretCreatedAfterARestoreIsReplacedByTheOneInUse)
{
  StoreFixture fixture(0);
  fixture.store.SaveCopy();
  const auto secret = fixture.ReadSecret(*fixture.source);
  fixture.store.Restore();
  cr_assert(fixture.ReadSecretAsNewBalancer() != secret);
  fixture.ReadState();
  cr_assert(fixture.ReadSecretAsNewBalancer() == secret);
}

/// Guards against conflicts without end from a revision of the lost history.
Test(PlatformState, LostNumberOfBalancersIsRecordedAgain)
{
  StoreFixture fixture(0);
  fixture.store.SaveCopy();
  fixture.RecordBalancers(8);
  cr_assert(fixture.ReadState().balancers == 8U);
  fixture.store.Restore();
  cr_assert(!fixture.ReadState().balancers);
  fixture.RecordBalancers(8);
  cr_assert(!fixture.error);
  cr_assert(fixture.ReadState().balancers == 8U);
}

// Guards against decoding every version of a large configuration that changed
// several times since the last watch, before the targets' entries.
Test(PlatformState, SupersededVersionsAreNotDecoded)
{
  StoreFixture fixture(3);
  const auto before = fixture.ReadState().revision;
  for (const auto* version : { "7", "8", "9" }) {
    fixture.store.Put("op/config", std::string(R"({"version":)") + version +
                                     R"(,"routes":[],"services":[]})");
  }
  const auto reading = fixture.ReadChanges(before);
  cr_assert(!fixture.error);
  cr_assert(reading.routes && reading.routes->version == 9);
  cr_assert(fixture.metrics.Get(Counter::StoreValuesSuperseded) == 2);
  cr_assert(reading.bytes > 0);
}

// Guards against a removal that is hidden by a later entry of the same id.
Test(PlatformState, RemovedAndRepeatedEntriesAreAllRead)
{
  StoreFixture fixture(3);
  const auto before = fixture.ReadState().revision;
  fixture.store.Put("op/evacuate/north", "{}");
  fixture.store.Remove("op/evacuate/north");
  fixture.store.Put("op/evacuate/south", "{}");
  const auto reading = fixture.ReadChanges(before);
  cr_assert(reading.evacuations.size() == 3);
  cr_assert(reading.evacuations[0].evacuated);
  cr_assert(!reading.evacuations[1].evacuated);
  cr_assert(reading.evacuations[1].failureDomain == "north");
  cr_assert(reading.evacuations[2].failureDomain == "south");
  const auto full = fixture.ReadState();
  cr_assert(full.evacuations.size() == 1);
  cr_assert(full.evacuations[0].evacuated);
}

// Guards against a record of former shares that cannot be read back, and
// against one that replaces the record of another balancer.
Test(PlatformState, FormerSharesAreRecordedUnlessAnotherBalancerHas)
{
  StoreFixture fixture(3);
  const std::vector<FormerShare> shares{ { 7, 443, "orders", 0 },
                                         { 7, 443, "proofs", 0 } };
  fixture.RecordFormerShares(shares);
  cr_assert(!fixture.error);
  cr_assert(fixture.ReadState().formerShares == shares);
  fixture.RecordFormerShares({ shares.front() });
  cr_assert(!fixture.error);
  fixture.store.Put("bramleylock/former-shares", "not a record");
  fixture.RecordFormerShares(shares);
  cr_assert(fixture.error == make_error_code(SourceError::Conflict));
  cr_assert(!fixture.ReadState().formerShares);
  cr_assert(fixture.metrics.Get(Counter::FormerSharesUnreadable) == 1);
  fixture.RecordFormerShares(shares);
  cr_assert(fixture.ReadState().formerShares == shares);
}

// Guards against limits of a service that are out of range or of another type.
Test(PlatformState, WarmUpLimitsAreReadIfTheyAreValid)
{
  StoreFixture fixture(3);
  fixture.store.Put(
    "op/config",
    R"({"version":7,"routes":[],"limits":{"idleTimeoutMs":1},"services":[)"
    R"({"name":"a","healthPath":"/h","coldStartS":2.5,"coldPerS":12},)"
    R"({"name":"b","healthPath":"/h","coldStartS":-1,"coldPerS":"x"},)"
    R"({"name":"c","healthPath":"/h"}]})");
  const auto services = fixture.ReadState().routes->services;
  cr_assert(services.size() == 3);
  cr_assert(services[0].warmUpMs == 2500);
  cr_assert(services[0].warmUpRequestsPerSecond == 12);
  cr_assert(services[1].warmUpMs == 0);
  cr_assert(services[1].warmUpRequestsPerSecond == 0);
  cr_assert(services[2].warmUpRequestsPerSecond == 0);
}
