// Odd rows in the store's pages and watch answers, and odd values at its keys.

#include "platform/standins/StoreStandin.h"

#include "bramleylock/Forward/StateSource.h"
#include "bramleylock/Http/Http.h"
#include "bramleylock/Support/Base64.h"
#include "unittests/TestOddInputs.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

using namespace bramleylock;
using namespace bramleylock::forward;

static constexpr const char* kEntry =
  R"({"service":"orders","addr":"10.0.0.1:80","zone":"here","version":"v1",)"
  R"("slots":2,"state":"ready","coldLeftMs":0,"seq":1,"born":1000})";

namespace {

/// A source that reads from a server which gives the answers of a test.
struct Fixture
{
  Fixture()
    : server(context, Tcp::endpoint(asio::ip::address_v4::loopback(), 0),
             [this](const http::Request& aRequest) -> awaitable<http::Reply> {
               ++calls;
               const bool later =
                 aRequest.target.find("after=") != std::string::npos;
               co_return http::Reply{
                 status, later ? laterPage : page, "application/json", {}
               };
             })
  {
    server.Start();
    const auto endpoint = server.Endpoint();
    source = StateSourceRegistry::Instance().Create(
      "bandeiras", context, FormatEndpoint(endpoint.address(), endpoint.port()),
      metrics);
  }

  /// Runs aTask. Fails the test if an exception leaves it.
  template<typename Task>
  auto Run(Task aTask) -> void
  {
    asio::co_spawn(
      context, [&]() -> awaitable<void> { co_await aTask(); },
      [this](const std::exception_ptr& aFailure) {
        cr_assert(!aFailure, "an exception ends the task, page %.60s",
                  page.c_str());
        context.stop();
      });
    context.run();
    context.restart();
  }

  auto ReadAll(const std::string& aPage) -> StateReading
  {
    page = aPage;
    error.clear();
    StateReading reading;
    Run(
      [&]() -> awaitable<void> { reading = co_await source->ReadAll(error); });
    return reading;
  }

  auto ReadChanges(const std::string& aAnswer) -> StateReading
  {
    // A watch passes its revision as "after".
    laterPage = aAnswer;
    error.clear();
    StateReading reading;
    Run([&]() -> awaitable<void> {
      reading = co_await source->ReadChanges(3, Milliseconds(0), error);
    });
    return reading;
  }

  /// Reads the cluster secret; a source that does not give up is stopped.
  auto ReadSecret(const std::string& aPage) -> std::string
  {
    page = aPage;
    asio::steady_timer limit(context, std::chrono::seconds(1));
    limit.async_wait([&](const boost::system::error_code& aCancelled) {
      if (!aCancelled) {
        context.stop();
      }
    });
    std::string secret;
    Run([&]() -> awaitable<void> {
      secret = co_await source->ClusterSecret(error);
      limit.cancel();
    });
    return secret;
  }

  asio::io_context context{ 1 };
  Metrics metrics;
  unsigned status = 200;
  int calls = 0;
  std::string page;
  std::string laterPage;
  http::Server server;
  std::unique_ptr<StateSource> source;
  std::error_code error;
};

} // namespace

static auto Row(const std::string& aKey, const std::string& aValue)
  -> std::string
{
  return fmt::format(R"({{"key":"{}","rev":4,"value":"{}"}})", aKey,
                     EncodeBase64(aValue));
}

static auto Page(const std::string& aRows, const char* aList = "items",
                 const char* aHasMore = "false") -> std::string
{
  return fmt::format(R"({{"{}":[{}],"currentRev":9,"hasMore":{}}})", aList,
                     aRows, aHasMore);
}

/// Rows in which the store itself, or a program between, is wrong.
static auto OddRows() -> std::vector<std::string>
{
  return { "7",
           "null",
           "[]",
           "{}",
           R"("a")",
           NestedArray(20),
           R"({"key":7,"rev":4,"value":""})",
           R"({"key":"servers/h-2","rev":-1,"value":""})",
           R"({"key":"servers/h-2","rev":1.5,"value":""})",
           R"({"key":"servers/h-2","rev":18446744073709551616,"value":""})",
           R"({"key":"servers/h-2","rev":4})",
           R"({"key":"servers/h-2","rev":4,"value":7})",
           R"({"key":"servers/h-2","rev":4,"value":"!!!!"})",
           R"({"key":"servers/h-2","rev":4,"value":"YQ"})",
           R"({"key":"servers/h-2","rev":4,"value":null})",
           R"({"key":"servers/h-2","rev":4,"value":"","deleted":"yes"})",
           R"({"key":"servers/h-2","rev":4,"value":[],"deleted":7})" };
}

/// The whole reading failed because of one row, so that the balancer kept the
/// state that it had.
Test(OddPages, OddRowDoesNotSpoilItsPage)
{
  Fixture fixture;
  for (const auto& odd : OddRows()) {
    const auto good = Row("servers/h-1", kEntry);
    for (const auto& rows :
         { fmt::format("{},{}", odd, good), fmt::format("{},{}", good, odd) }) {
      const auto reading = fixture.ReadAll(Page(rows));
      cr_assert(!fixture.error, "%s", odd.c_str());
      cr_assert(reading.targets.size() == 1, "%s", odd.c_str());
      cr_assert(reading.revision == 9);
    }
  }
}

Test(OddPages, OddRowDoesNotSpoilItsWatch)
{
  Fixture fixture;
  for (const auto& odd : OddRows()) {
    const auto good = Row("servers/h-1", kEntry);
    const auto reading = fixture.ReadChanges(
      Page(fmt::format("{0},{1},{0}", odd, good), "events"));
    cr_assert(!fixture.error, "%s", odd.c_str());
    cr_assert(reading.targets.size() == 1, "%s", odd.c_str());
    cr_assert(reading.revision == 9, "the next watch starts elsewhere");
  }
}

/// The next page starts after the last readable key.
Test(OddPages, OddRowAtTheEndOfAPageDoesNotLoseTheNextPage)
{
  Fixture fixture;
  fixture.laterPage = Page(Row("servers/h-9", kEntry));
  for (const auto& odd : OddRows()) {
    const auto reading = fixture.ReadAll(
      Page(Row("servers/h-1", kEntry) + "," + odd, "items", "true"));
    cr_assert(!fixture.error && reading.targets.size() == 2, "%s", odd.c_str());
  }
}

/// A reading without any entry would remove all targets.
Test(OddPages, PageOfUnreadableRowsOnlyIsMalformed)
{
  Fixture fixture;
  for (const auto* hasMore : { "true", "false" }) {
    fixture.ReadAll(Page("7,{}", "items", hasMore));
    cr_assert(fixture.error == make_error_code(SourceError::Malformed));
  }
  fixture.ReadAll(Page(""));
  cr_assert(!fixture.error, "an empty store");
}

Test(OddPages, OddTextIsMalformed, .timeout = 30)
{
  Fixture fixture;
  auto texts = OddTexts();
  texts.push_back(Page(NestedArray(400000)));
  texts.push_back(R"({"items":[],"currentRev":1e999})");
  texts.push_back(R"({"items":[],"currentRev":-1})");
  texts.push_back(R"({"items":{},"currentRev":9})");
  for (const auto& text : texts) {
    fixture.ReadAll(text);
    cr_assert(fixture.error == make_error_code(SourceError::Malformed), "%.60s",
              text.c_str());
    fixture.ReadChanges(text);
    cr_assert(fixture.error == make_error_code(SourceError::Malformed), "%.60s",
              text.c_str());
  }
}

/// Reads a store in which one of 23 hosts has aValue, then the change of
/// another one to aValue.
static auto CheckThatOnlyItsHostIsLost(const std::string& aValue) -> void
{
  asio::io_context context{ 1 };
  Metrics metrics;
  standin::StoreStandin store(
    context, Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  for (int i = 1; i <= 23; ++i) {
    store.Put(fmt::format("servers/h-{:04x}", i), i == 12 ? aValue : kEntry);
  }
  const auto endpoint = store.Endpoint();
  const auto source = StateSourceRegistry::Instance().Create(
    "bandeiras", context, FormatEndpoint(endpoint.address(), endpoint.port()),
    metrics);
  StateReading reading;
  StateReading changes;
  std::error_code error;
  asio::co_spawn(
    context,
    [&]() -> awaitable<void> {
      reading = co_await source->ReadAll(error);
      store.Put("servers/h-000d", aValue);
      store.Put("servers/h-00ff", kEntry);
      changes = co_await source->ReadChanges(reading.revision,
                                             Milliseconds(100), error);
      context.stop();
    },
    asio::detached);
  context.run();
  cr_assert(!error, "%.40s", aValue.c_str());
  cr_assert(reading.targets.size() == 22, "%.40s", aValue.c_str());
  cr_assert(changes.targets.size() == 1, "%.40s", aValue.c_str());
  cr_assert(changes.revision > reading.revision);
  cr_assert(metrics.Get(Counter::TargetEntryUnreadable) == 2);
}

/// One odd entry among those of the hosts, as another writer left it.
Test(OddPages, OddEntryHarmsNoOther, .timeout = 60)
{
  for (const auto& value : OddTexts()) {
    CheckThatOnlyItsHostIsLost(value);
  }
  CheckThatOnlyItsHostIsLost(
    R"({"service":"orders","addr":"10.0.0.2:99999","zone":"here",)"
    R"("version":"v1","slots":2,"state":"ready","coldLeftMs":0,"seq":1,)"
    R"("born":1000})");
  CheckThatOnlyItsHostIsLost(
    R"({"service":"orders","addr":"10.0.0.2:80","zone":"here",)"
    R"("version":"v1","slots":1e999,"state":"ready","coldLeftMs":0,"seq":1,)"
    R"("born":1000})");
}

/// An unreadable secret was requested again without a pause.
Test(OddPages, UnreadableSecretIsAnErrorWithoutManyCalls, .timeout = 10)
{
  for (const auto* row :
       { R"({"key":"bramleylock/cluster-secret","rev":1,"value":""})",
         R"({"key":"bramleylock/cluster-secret","rev":1,"value":7})", "7" }) {
    Fixture fixture;
    fixture.status = 412;
    const auto secret = fixture.ReadSecret(Page(row));
    cr_assert(secret.empty() && fixture.error, "%s", row);
    cr_assert(fixture.calls <= 2, "%d calls", fixture.calls);
  }
}

Test(OddPages, OddNumberOfBalancersIsIgnored)
{
  Fixture fixture;
  auto numbers = OddNumbers();
  numbers.emplace_back("");
  numbers.emplace_back("4294967296");
  for (const auto& number : numbers) {
    const auto reading =
      fixture.ReadAll(Page(Row("bramleylock/balancers", number)));
    cr_assert(!fixture.error);
    // Leading zeros are harmless.
    cr_assert(!reading.balancers || number == "01", "%.40s", number.c_str());
  }
}
