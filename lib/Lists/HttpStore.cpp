// Client of the platform's store over HTTP and JSON.

#include "bramleylock/Http/Http.h"
#include "bramleylock/Lists/PlatformStore.h"
#include "bramleylock/Support/Json.h"
#include "bramleylock/Support/Log.h"

#include <fmt/format.h>

namespace bramleylock::lists {

using nlohmann::json;

/// Timeout of a call, in addition to the wait that a watch requests.
static constexpr Milliseconds kCallTimeout{ 4000 };

/// Reads one row of the VM list. Returns false if the row names no address that
/// can be reached. Other fields of a wrong type are ignored.
static auto ReadVm(const json& aRow, PlatformVm& aVm) -> bool
{
  aVm.address = StringField(aRow, "address");
  std::error_code error;
  if (ParseTcpEndpoint(aVm.address, error).port() == 0 || error) {
    return false;
  }
  aVm.name = StringField(aRow, "name");
  aVm.role =
    ValueOf(kVmRoleNames, StringField(aRow, "role")).value_or(VmRole::Target);
  aVm.service = StringField(aRow, "service");
  aVm.failureDomain = StringField(aRow, "failure_domain");
  aVm.leaving = BooleanField(aRow, "leaving");
  return true;
}

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
    const auto document = ParseForeignJson(aReply.body);
    if (!document.is_object() || !document.contains("revision") ||
        !document["revision"].is_number_unsigned() ||
        (document.contains("value") && !document["value"].is_string())) {
      aError = StoreError::Malformed;
      return {};
    }
    return { StringField(document, "value"),
             document["revision"].get<std::uint64_t>() };
  }

  /// Parses the VM list without its unreadable rows, which must not hide the
  /// others.
  auto ParseVms(const http::Reply& aReply, std::error_code& aError)
    -> std::vector<PlatformVm>
  {
    std::vector<PlatformVm> vms;
    if (aError) {
      return vms;
    }
    const auto document = ParseForeignJson(aReply.body);
    if (!document.is_array()) {
      aError = StoreError::Malformed;
      return vms;
    }
    std::string unreadable;
    for (const auto& row : document) {
      PlatformVm vm;
      if (ReadVm(row, vm)) {
        vms.push_back(std::move(vm));
        continue;
      }
      m_metrics.Add(Counter::VmRowUnreadable);
      if (unreadable.empty()) {
        unreadable = FormatJsonExcerpt(row);
      }
    }
    // The list is read every second, so the same row is logged only once.
    if (unreadable != m_lastUnreadable && !unreadable.empty()) {
      LogWarning("vm-row-unreadable", { { "row", unreadable } });
    }
    m_lastUnreadable = unreadable;
    if (vms.empty() && !unreadable.empty()) {
      // Without a single readable row this is not a list of VMs, and must not
      // remove all targets.
      aError = StoreError::Malformed;
    }
    return vms;
  }

  Tcp::endpoint m_endpoint;
  /// The first unreadable row of the last list; empty if there was none.
  std::string m_lastUnreadable;
  Metrics& m_metrics;
};

const Registration<StoreRegistry, HttpStore> kRegistration("http");

} // namespace

} // namespace bramleylock::lists
