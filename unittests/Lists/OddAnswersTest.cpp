// Odd answers of the platform's store on the request path.

#include "bramleylock/Http/Http.h"
#include "bramleylock/Lists/PlatformStore.h"
#include "unittests/TestOddInputs.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

using namespace bramleylock;
using namespace bramleylock::lists;

namespace {

/// A store that gives the same answer to every call, and a client of it.
struct Fixture
{
  Fixture()
    : server(context, Tcp::endpoint(asio::ip::address_v4::loopback(), 0),
             [this](const http::Request&) -> awaitable<http::Reply> {
               co_return http::Reply{ 200, answer, "application/json", {} };
             })
  {
    server.Start();
    const auto endpoint = server.Endpoint();
    store = StoreRegistry::Instance().Create(
      "http", context, FormatEndpoint(endpoint.address(), endpoint.port()),
      metrics);
  }

  /// Runs aTask. Fails the test if an exception leaves it, because that would
  /// end the task that watches the store.
  template<typename Task>
  auto Run(Task aTask) -> void
  {
    asio::co_spawn(
      context, [&]() -> awaitable<void> { co_await aTask(); },
      [this](const std::exception_ptr& aFailure) {
        cr_assert(!aFailure, "an exception ends the task, answer %.60s",
                  answer.c_str());
        context.stop();
      });
    context.run();
    context.restart();
  }

  auto ListVms(const std::string& aAnswer) -> std::vector<PlatformVm>
  {
    answer = aAnswer;
    std::vector<PlatformVm> vms;
    Run([&]() -> awaitable<void> { vms = co_await store->ListVms(error); });
    return vms;
  }

  auto Get(const std::string& aAnswer) -> StoredValue
  {
    answer = aAnswer;
    StoredValue stored;
    Run([&]() -> awaitable<void> {
      stored = co_await store->Get("lists", error);
    });
    return stored;
  }

  asio::io_context context{ 1 };
  Metrics metrics;
  std::string answer;
  http::Server server;
  std::unique_ptr<PlatformStore> store;
  std::error_code error;
};

} // namespace

static constexpr const char* kVm =
  R"({"name":"t-1","role":"target","service":"a","failure_domain":"here",)"
  R"("address":"10.0.0.1:80"})";

/// A row of another type ended the task that polls the list of VMs, so that the
/// balancer no longer followed it.
Test(OddAnswers, OddRowOfTheVmListIsSkipped)
{
  Fixture fixture;
  for (const auto* row : { "7", "null", "[]", "{}", R"("a")", R"({"name":7})",
                           R"({"name":"t-2","address":[]})",
                           R"({"name":"t-2","address":"10.0.0.2:99999"})",
                           R"({"name":"t-2","address":"10.0.0.2:0"})",
                           R"({"name":"t-2","address":"10.0.0.2"})" }) {
    const auto vms = fixture.ListVms(fmt::format("[{},{}]", row, kVm));
    cr_assert(!fixture.error, "%s", row);
    cr_assert(vms.size() == 1 && vms[0].name == "t-1", "%s", row);
  }
  // The address is sufficient to reach the VM.
  for (const auto* field : { R"("leaving":"yes")", R"("leaving":7)",
                             R"("service":7)", R"("role":[])" }) {
    const auto vms = fixture.ListVms(fmt::format(
      R"([{{"name":"t-2","address":"10.0.0.2:80",{}}},{}])", field, kVm));
    cr_assert(!fixture.error && vms.size() == 2, "%s", field);
  }
}

/// A value of another type ended the task that watches the lists.
Test(OddAnswers, OddValueIsMalformed)
{
  Fixture fixture;
  for (const auto* stored :
       { R"({"value":7,"revision":1})", R"({"value":[],"revision":1})",
         R"({"value":"a","revision":"1"})", R"({"value":"a","revision":-1})",
         R"({"value":"a","revision":1.5})",
         R"({"value":"a","revision":18446744073709551616})",
         R"({"value":"a","revision":1e999})", R"({"value":"a"})" }) {
    fixture.error.clear();
    fixture.Get(stored);
    cr_assert(fixture.error == make_error_code(StoreError::Malformed), "%s",
              stored);
  }
  fixture.error.clear();
  cr_assert(fixture.Get(R"({"value":"a","revision":3})").revision == 3);
  cr_assert(!fixture.error);
}

Test(OddAnswers, OddTextIsMalformed, .timeout = 30)
{
  Fixture fixture;
  for (const auto& text : OddTexts()) {
    fixture.error.clear();
    fixture.Get(text);
    cr_assert(fixture.error == make_error_code(StoreError::Malformed), "%.60s",
              text.c_str());
    fixture.error.clear();
    fixture.ListVms(text);
    cr_assert(fixture.error || text == "[]", "%.60s", text.c_str());
  }
}
