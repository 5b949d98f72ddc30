// Stand-in for the platform's key-value service: revisions, compare-and-swap,
// watches, keys with an expiry time, the VM list, and injected faults.

#include "standins/Standin.h"

#include "bramleylock/Http/Http.h"
#include "bramleylock/Support/Random.h"

#include <nlohmann/json.hpp>

namespace bramleylock::standin {

using nlohmann::json;

static constexpr std::size_t kMaxValueBytes = 1U << 20;

namespace {

struct Entry
{
  std::string value;
  std::uint64_t revision = 0;
  Clock::time_point expiresAt = Clock::time_point::max();
};

/// Faults that a request to /control/fault sets.
struct Faults
{
  /// Connections are closed without a reply.
  bool down = false;
  /// Delay before each call is processed.
  int slowMs = 0;
  /// Fraction of all calls that fail with status 503.
  double failRatio = 0;
  /// Number of following writes that take effect but get no reply.
  int loseAnswers = 0;
  /// Delay until a change of the VM list becomes visible to readers.
  int vmLagMs = 0;
};

class Store
{
public:
  Store(asio::io_context& aContext, const Tcp::endpoint& aAddress,
        std::uint64_t aSeed)
    : m_entryChanged(aContext)
    , m_context(aContext)
    , m_random(aSeed)
    , m_server(aContext, aAddress, [this](const http::Request& aRequest) {
      return HandleRequest(aRequest);
    })
  {
    m_server.Start();
  }

  auto Address() const -> std::string
  {
    const auto endpoint = m_server.Endpoint();
    return FormatEndpoint(endpoint.address(), endpoint.port());
  }

private:
  static auto MakeJsonReply(unsigned aStatus, const json& aBody) -> http::Reply
  {
    http::Reply reply;
    reply.status = aStatus;
    reply.body = aBody.dump();
    return reply;
  }

  /// Handles one HTTP request. A reply with status 0 closes the connection
  /// without an answer.
  auto HandleRequest(const http::Request& aRequest) -> awaitable<http::Reply>
  {
    const auto path = http::PathOf(aRequest.target);
    if (path.starts_with("/control/")) {
      co_return HandleControl(path.substr(9), aRequest);
    }
    ++m_calls;
    if (m_faults.slowMs > 0) {
      co_await Sleep(Milliseconds(m_faults.slowMs));
    }
    if (m_faults.down) {
      co_return http::Reply{ 0, "", "", {} };
    }
    if (m_faults.failRatio > 0 &&
        std::uniform_real_distribution<>()(m_random) < m_faults.failRatio) {
      co_return MakeJsonReply(503, { { "error", "unavailable" } });
    }
    if (path == "/vms") {
      co_return MakeJsonReply(200, m_visibleVms);
    }
    if (path.starts_with("/kv/")) {
      const auto key = path.substr(4);
      if (aRequest.method == "PUT") {
        ++m_writes;
        co_return Put(key, aRequest);
      }
      co_return co_await Get(key, aRequest);
    }
    co_return MakeJsonReply(404, { { "error", "unknown path" } });
  }

  /// Returns the entry of aKey, or one with revision 0 if the key is missing or
  /// has expired.
  auto Find(const std::string& aKey) -> Entry
  {
    const auto found = m_entries.find(aKey);
    if (found == m_entries.end() || found->second.expiresAt <= Clock::now()) {
      return {};
    }
    return found->second;
  }

  /// Writes aKey if its current revision equals the query parameter "expected".
  auto Put(const std::string& aKey, const http::Request& aRequest)
    -> http::Reply
  {
    const auto expectedRevision =
      std::stoull(http::QueryParameter(aRequest.target, "expected", "0"));
    const auto currentEntry = Find(aKey);
    if (aRequest.body.size() > kMaxValueBytes) {
      return MakeJsonReply(413,
                           { { "error", "value exceeds the limit of 1 MiB" } });
    }
    if (currentEntry.revision != expectedRevision) {
      return MakeJsonReply(409, { { "revision", currentEntry.revision } });
    }
    Entry entry{ aRequest.body, ++m_revision };
    const auto ttlMs =
      std::stoi(http::QueryParameter(aRequest.target, "ttl_ms", "0"));
    if (ttlMs > 0) {
      entry.expiresAt = Clock::now() + Milliseconds(ttlMs);
    }
    m_entries[aKey] = entry;
    m_entryChanged.NotifyAll();
    if (m_faults.loseAnswers > 0) {
      --m_faults.loseAnswers;
      return { 0, "", "", {} };
    }
    return MakeJsonReply(200, { { "revision", entry.revision } });
  }

  /// Reads aKey. Waits up to "wait_ms" while its revision still equals "known".
  auto Get(std::string aKey, const http::Request& aRequest)
    -> awaitable<http::Reply>
  {
    const auto knownRevision =
      std::stoull(http::QueryParameter(aRequest.target, "known", "0"));
    const auto waitMs =
      std::stoi(http::QueryParameter(aRequest.target, "wait_ms", "0"));
    const auto deadline = Clock::now() + Milliseconds(waitMs);
    while (Clock::now() < deadline && Find(aKey).revision == knownRevision &&
           !m_faults.down) {
      co_await m_entryChanged.WaitUntil(deadline);
    }
    if (m_faults.down) {
      co_return http::Reply{ 0, "", "", {} };
    }
    const auto entry = Find(aKey);
    if (entry.revision == 0) {
      co_return MakeJsonReply(404, { { "error", "no such key" } });
    }
    co_return MakeJsonReply(
      200, { { "value", entry.value }, { "revision", entry.revision } });
  }

  auto HandleControl(const std::string& aAction, const http::Request& aRequest)
    -> http::Reply
  {
    if (aAction == "vms") {
      ChangeVms(json::parse(aRequest.body));
      return MakeJsonReply(200, {});
    }
    if (aAction == "fault") {
      const auto body = json::parse(aRequest.body);
      m_faults = { body.value("down", false), body.value("slow_ms", 0),
                   body.value("fail_ratio", 0.0), body.value("lose_answers", 0),
                   body.value("vm_lag_ms", 0) };
      m_entryChanged.NotifyAll();
      return MakeJsonReply(200, {});
    }
    if (aAction == "save") {
      m_savedEntries = m_entries;
      m_savedRevision = m_revision;
      return MakeJsonReply(200, {});
    }
    if (aAction == "restore") {
      // Simulates an operator who restores an old backup: values and revisions
      // revert to the saved ones.
      m_entries = m_savedEntries;
      m_revision = m_savedRevision;
      m_entryChanged.NotifyAll();
      return MakeJsonReply(200, {});
    }
    if (aAction == "calls") {
      return MakeJsonReply(200,
                           { { "calls", m_calls }, { "writes", m_writes } });
    }
    return MakeJsonReply(404, { { "error", "unknown control action" } });
  }

  auto ChangeVms(json aVms) -> void
  {
    if (m_faults.vmLagMs == 0) {
      m_visibleVms = std::move(aVms);
      return;
    }
    Spawn(m_context, "vm-lag", PublishVmsAfterLag(std::move(aVms)));
  }

  auto PublishVmsAfterLag(json aVms) -> awaitable<void>
  {
    co_await Sleep(Milliseconds(m_faults.vmLagMs));
    m_visibleVms = std::move(aVms);
  }

  ConditionVariable m_entryChanged;
  asio::io_context& m_context;
  Random m_random;
  std::map<std::string, Entry> m_entries;
  std::map<std::string, Entry> m_savedEntries;
  std::uint64_t m_revision = 0;
  std::uint64_t m_savedRevision = 0;
  std::uint64_t m_calls = 0;
  std::uint64_t m_writes = 0;
  json m_visibleVms = json::array();
  Faults m_faults;
  http::Server m_server;
};

} // namespace

auto RunStore(int argc, char** argv) -> int
{
  cxxopts::Options options("bramleylock-standin store");
  AddCommonOptions(options, { "ip:port", "", "seed of the random faults" });
  const auto parsed = ParseOptions(options, argc, argv);
  if (!parsed) {
    return 0;
  }
  asio::io_context context(1);
  Store store(context, TcpOption(*parsed, "listen"),
              (*parsed)["seed"].as<std::uint64_t>());
  return Serve(context, "ready store=" + store.Address());
}

} // namespace bramleylock::standin
