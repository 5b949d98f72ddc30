// Client of the platform's store over HTTP and JSON.

#include "bramleylock/Http/Http.h"
#include "bramleylock/Lists/PlatformStore.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace bramleylock::lists {

using nlohmann::json;

/// Timeout of a call, in addition to the wait that a watch requests.
static constexpr Milliseconds kCallTimeout{ 4000 };

namespace {

class HttpStore : public PlatformStore
{
public:
  HttpStore(asio::io_context&, const std::string& aAddress, Metrics& aMetrics)
    : m_metrics(aMetrics)
  {
    std::error_code error;
    m_endpoint = ParseTcpEndpoint(aAddress, error);
  }

  auto Get(std::string aKey, std::error_code& aError)
    -> awaitable<StoredValue> override
  {
    http::Request request;
    request.target = "/kv/" + aKey;
    const auto reply = co_await Send(std::move(request), kCallTimeout, aError);
    co_return ParseValue(reply, aError);
  }

  auto CompareAndSwap(std::string aKey, std::uint64_t aExpected,
                      std::string aValue, std::error_code& aError)
    -> awaitable<std::uint64_t> override
  {
    http::Request request;
    request.method = "PUT";
    request.target = fmt::format("/kv/{}?expected={}", aKey, aExpected);
    request.body = std::move(aValue);
    const auto reply = co_await Send(std::move(request), kCallTimeout, aError);
    if (aError) {
      // The store may have executed the write although no answer arrived.
      aError = StoreError::OutcomeUnknown;
      co_return 0;
    }
    co_return ParseValue(reply, aError).revision;
  }

  auto Watch(std::string aKey, std::uint64_t aKnown, Milliseconds aWait,
             std::error_code& aError) -> awaitable<StoredValue> override
  {
    http::Request request;
    request.target =
      fmt::format("/kv/{}?known={}&wait_ms={}", aKey, aKnown, aWait.count());
    const auto reply =
      co_await Send(std::move(request), aWait + kCallTimeout, aError);
    co_return ParseValue(reply, aError);
  }

  auto ListVms(std::error_code& aError)
    -> awaitable<std::vector<PlatformVm>> override
  {
    http::Request request;
    request.target = "/vms";
    const auto reply = co_await Send(std::move(request), kCallTimeout, aError);
    co_return ParseVms(reply, aError);
  }

private:
  auto Send(http::Request aRequest, Milliseconds aTimeout,
            std::error_code& aError) -> awaitable<http::Reply>
  {
    m_metrics.Add(Counter::StoreCalls);
    auto reply =
      co_await http::Fetch(m_endpoint, std::move(aRequest), aTimeout, aError);
    const bool failed = aError || reply.status >= 500;
    if (failed) {
      m_metrics.Add(Counter::StoreFailures);
      aError = StoreError::Unavailable;
    }
    co_return reply;
  }

  static auto ParseValue(const http::Reply& aReply, std::error_code& aError)
    -> StoredValue
  {
    if (aError) {
      return {};
    }
    if (aReply.status == 404) {
      aError = StoreError::NotFound;
      return {};
    }
    if (aReply.status == 409) {
      aError = StoreError::Conflict;
      return {};
    }
    const auto document = json::parse(aReply.body, nullptr, false);
    if (!document.is_object() || !document.contains("revision")) {
      aError = StoreError::Malformed;
      return {};
    }
    return { document.value("value", ""),
             document.value("revision", std::uint64_t{ 0 }) };
  }

  static auto ParseVms(const http::Reply& aReply, std::error_code& aError)
    -> std::vector<PlatformVm>
  {
    std::vector<PlatformVm> vms;
    if (aError) {
      return vms;
    }
    const auto document = json::parse(aReply.body, nullptr, false);
    if (!document.is_array()) {
      aError = StoreError::Malformed;
      return vms;
    }
    for (const auto& row : document) {
      PlatformVm vm;
      vm.name = row.value("name", "");
      vm.role = ValueOf(kVmRoleNames, row.value("role", std::string()))
                  .value_or(VmRole::Target);
      vm.service = row.value("service", "");
      vm.failureDomain = row.value("failure_domain", "");
      vm.address = row.value("address", "");
      vm.leaving = row.value("leaving", false);
      vms.push_back(std::move(vm));
    }
    return vms;
  }

  Tcp::endpoint m_endpoint;
  Metrics& m_metrics;
};

const Registration<StoreRegistry, HttpStore> kRegistration("http");

} // namespace

} // namespace bramleylock::lists
