// The platform's key-value service: revisions, compare-and-swap, watches,
// expiring keys, the VM list, and the faults that the platform can have.

#include "standins/Standin.h"

#include "bramleylock/Http/Http.h"
#include "bramleylock/Support/Random.h"

#include <nlohmann/json.hpp>

namespace bramleylock::standin {

using nlohmann::json;

static constexpr std::size_t kValueLimitBytes = 1U << 20;

namespace {

struct Entry
{
  std::string value;
  std::uint64_t revision = 0;
  Clock::time_point expires = Clock::time_point::max();
};

/// The faults that /control/fault sets.
struct Faults
{
  bool down = false;
  int slowMs = 0;
  /// Part of all calls that fail with 503.
  double failRatio = 0;
  /// Writes whose answer is lost after they took effect.
  int loseAnswers = 0;
  /// How long a change of the VM list stays unseen.
  int vmLagMs = 0;
};

class Store
{
public:
  Store(asio::io_context& aContext, const Tcp::endpoint& aAddress,
        std::uint64_t aSeed)
    : m_changed(aContext)
    , m_context(aContext)
    , m_random(aSeed)
    , m_server(aContext, aAddress, [this](const http::Request& aRequest) {
      return Answer(aRequest);
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
  static auto ReplyJson(unsigned aStatus, const json& aBody) -> http::Reply
  {
    http::Reply reply;
    reply.status = aStatus;
    reply.body = aBody.dump();
    return reply;
  }

  auto Answer(const http::Request& aRequest) -> awaitable<http::Reply>
  {
    const auto path = http::PathOf(aRequest.target);
    if (path.starts_with("/control/")) {
      co_return Control(path.substr(9), aRequest);
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
      co_return ReplyJson(503, { { "error", "unavailable" } });
    }
    if (path == "/vms") {
      co_return ReplyJson(200, m_seenVms);
    }
    if (path.starts_with("/kv/")) {
      const auto key = path.substr(4);
      if (aRequest.method == "PUT") {
        ++m_writes;
        co_return Put(key, aRequest);
      }
      co_return co_await Get(key, aRequest);
    }
    co_return ReplyJson(404, { { "error", "no such path" } });
  }

  auto Find(const std::string& aKey) -> Entry
  {
    const auto found = m_entries.find(aKey);
    if (found == m_entries.end() || found->second.expires <= Clock::now()) {
      return {};
    }
    return found->second;
  }

  auto Put(const std::string& aKey, const http::Request& aRequest)
    -> http::Reply
  {
    const auto expected =
      std::stoull(http::QueryParameter(aRequest.target, "expected", "0"));
    const auto current = Find(aKey);
    if (aRequest.body.size() > kValueLimitBytes) {
      return ReplyJson(413, { { "error", "value over a megabyte" } });
    }
    if (current.revision != expected) {
      return ReplyJson(409, { { "revision", current.revision } });
    }
    Entry entry{ aRequest.body, ++m_revision };
    const auto ttl =
      std::stoi(http::QueryParameter(aRequest.target, "ttl_ms", "0"));
    if (ttl > 0) {
      entry.expires = Clock::now() + Milliseconds(ttl);
    }
    m_entries[aKey] = entry;
    m_changed.NotifyAll();
    if (m_faults.loseAnswers > 0) {
      --m_faults.loseAnswers;
      return { 0, "", "", {} };
    }
    return ReplyJson(200, { { "revision", entry.revision } });
  }

  auto Get(std::string aKey, const http::Request& aRequest)
    -> awaitable<http::Reply>
  {
    const auto known =
      std::stoull(http::QueryParameter(aRequest.target, "known", "0"));
    const auto wait =
      std::stoi(http::QueryParameter(aRequest.target, "wait_ms", "0"));
    const auto deadline = Clock::now() + Milliseconds(wait);
    while (Clock::now() < deadline && Find(aKey).revision == known &&
           !m_faults.down) {
      co_await m_changed.WaitUntil(deadline);
    }
    if (m_faults.down) {
      co_return http::Reply{ 0, "", "", {} };
    }
    const auto entry = Find(aKey);
    if (entry.revision == 0) {
      co_return ReplyJson(404, { { "error", "no such key" } });
    }
    co_return ReplyJson(
      200, { { "value", entry.value }, { "revision", entry.revision } });
  }

  auto Control(const std::string& aAction, const http::Request& aRequest)
    -> http::Reply
  {
    if (aAction == "vms") {
      SetVms(json::parse(aRequest.body));
      return ReplyJson(200, {});
    }
    if (aAction == "fault") {
      const auto body = json::parse(aRequest.body);
      m_faults = { body.value("down", false), body.value("slow_ms", 0),
                   body.value("fail_ratio", 0.0), body.value("lose_answers", 0),
                   body.value("vm_lag_ms", 0) };
      m_changed.NotifyAll();
      return ReplyJson(200, {});
    }
    if (aAction == "save") {
      m_saved = m_entries;
      m_savedRevision = m_revision;
      return ReplyJson(200, {});
    }
    if (aAction == "restore") {
      // An operator puts an old backup back: values and revisions go down.
      m_entries = m_saved;
      m_revision = m_savedRevision;
      m_changed.NotifyAll();
      return ReplyJson(200, {});
    }
    if (aAction == "calls") {
      return ReplyJson(200, { { "calls", m_calls }, { "writes", m_writes } });
    }
    return ReplyJson(404, { { "error", "no such control" } });
  }

  auto SetVms(json aVms) -> void
  {
    if (m_faults.vmLagMs == 0) {
      m_seenVms = std::move(aVms);
      return;
    }
    Spawn(m_context, "vm-lag", ShowVmsLater(std::move(aVms)));
  }

  auto ShowVmsLater(json aVms) -> awaitable<void>
  {
    co_await Sleep(Milliseconds(m_faults.vmLagMs));
    m_seenVms = std::move(aVms);
  }

  ConditionVariable m_changed;
  asio::io_context& m_context;
  Random m_random;
  std::map<std::string, Entry> m_entries;
  std::map<std::string, Entry> m_saved;
  std::uint64_t m_revision = 0;
  std::uint64_t m_savedRevision = 0;
  std::uint64_t m_calls = 0;
  std::uint64_t m_writes = 0;
  json m_seenVms = json::array();
  Faults m_faults;
  http::Server m_server;
};

} // namespace

auto RunStore(int argc, char** argv) -> int
{
  cxxopts::Options options("bramleylock-standin store");
  AddCommonOptions(options, { "ip:port", "", "seed of random faults" });
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
