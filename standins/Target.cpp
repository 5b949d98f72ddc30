// One target host: slots, a bounded backlog, a journal of what ran, and
// endpoints for health and load that can lag or lie.

#include "standins/Content.h"
#include "standins/Standin.h"

#include "bramleylock/Http/Http.h"
#include "bramleylock/Support/Random.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace bramleylock::standin {

using nlohmann::json;

static constexpr std::uint32_t kShedRetryAfterMs = 100;
static constexpr Milliseconds kLookForCancel{ 20 };

namespace {

struct TargetOptions
{
  std::string name;
  std::string service;
  std::size_t slots = 2;
  std::size_t backlog = 4;
};

/// The behaviours that /control/behave sets.
struct Behaviour
{
  /// Answers 503 to everything.
  bool shedAll = false;
  /// Says that it is leaving.
  bool draining = false;
  /// Drops the connection after running, before the answer.
  bool loseAnswers = false;
  /// Extra time for each request, as after a cold start.
  int extraMs = 0;
  /// What /health says, whatever is true.
  bool claimHealthy = true;
  /// What /load says; negative tells the truth.
  double claimLoad = -1;
};

class TargetHost
{
public:
  TargetHost(asio::io_context& aContext, const Tcp::endpoint& aAddress,
             TargetOptions aOptions)
    : m_options(std::move(aOptions))
    , m_slotFreed(aContext)
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
  static auto MillisecondsOf(Clock::duration aDuration) -> double
  {
    return std::chrono::duration<double, std::milli>(aDuration).count();
  }

  static auto ReplyJson(const json& aBody) -> http::Reply
  {
    http::Reply reply;
    reply.body = aBody.dump();
    return reply;
  }

  auto Answer(const http::Request& aRequest) -> awaitable<http::Reply>
  {
    const auto path = http::PathOf(aRequest.target);
    if (path.starts_with("/work/")) {
      co_return co_await Work(path.substr(6), aRequest);
    }
    if (path == "/health") {
      http::Reply reply = ReplyJson({ { "healthy", m_behaviour.claimHealthy },
                                      { "draining", m_behaviour.draining } });
      reply.status = m_behaviour.claimHealthy ? 200 : 503;
      co_return reply;
    }
    if (path == "/load") {
      const double load = static_cast<double>(m_running + m_waiting) /
                          static_cast<double>(m_options.slots);
      co_return ReplyJson(
        { { "load",
            m_behaviour.claimLoad < 0 ? load : m_behaviour.claimLoad } });
    }
    if (path == "/journal") {
      co_return ReplyJson({ { "name", m_options.name },
                            { "service", m_options.service },
                            { "runs", m_journal },
                            { "shed", m_shed },
                            { "expired", m_expired },
                            { "cancelled", m_cancelled } });
    }
    if (path == "/control/behave") {
      const auto body = json::parse(aRequest.body);
      m_behaviour = {
        body.value("shed_all", false),     body.value("draining", false),
        body.value("lose_answers", false), body.value("extra_ms", 0),
        body.value("claim_healthy", true), body.value("claim_load", -1.0)
      };
      co_return ReplyJson({});
    }
    http::Reply reply;
    reply.status = 404;
    co_return reply;
  }

  auto RefuseWork() -> http::Reply
  {
    http::Reply reply;
    reply.status = 503;
    reply.headers["X-Retry-After-Ms"] = std::to_string(kShedRetryAfterMs);
    if (m_behaviour.draining) {
      reply.headers["X-Draining"] = "1";
    }
    return reply;
  }

  auto Work(std::string aWork, const http::Request& aRequest)
    -> awaitable<http::Reply>
  {
    const auto deadlineMs =
      std::stoll(HeaderOr(aRequest, "x-deadline-ms", "60000"));
    const auto deadline = Clock::now() + Milliseconds(deadlineMs);
    if (m_behaviour.shedAll || m_waiting >= m_options.backlog) {
      ++m_shed;
      co_return RefuseWork();
    }
    ++m_waiting;
    const auto arrived = Clock::now();
    while (m_running >= m_options.slots && Clock::now() < deadline &&
           !aRequest.hasClientClosed()) {
      co_await m_slotFreed.WaitUntil(
        std::min(deadline, Clock::now() + kLookForCancel));
    }
    --m_waiting;
    if (aRequest.hasClientClosed()) {
      ++m_cancelled;
      co_return http::Reply{ 0, "", "", {} };
    }
    if (Clock::now() >= deadline) {
      ++m_expired;
      co_return RefuseWork();
    }
    ++m_running;
    auto words = ParseWork(aRequest.body);
    const auto& id = words["id"];
    const auto started = Clock::now();
    const auto entry = m_journal.size();
    m_journal.push_back({ { "id", id },
                          { "work", aWork },
                          { "at", UnixTimeMs() },
                          { "waited_ms", MillisecondsOf(started - arrived) } });
    const auto ms = std::atoi(words["ms"].c_str()) + m_behaviour.extraMs;
    const bool finished = co_await WorkFor(Milliseconds(ms), aRequest);
    m_journal[entry]["ran_ms"] = MillisecondsOf(Clock::now() - started);
    --m_running;
    m_slotFreed.NotifyAll();
    if (!finished) {
      ++m_cancelled;
      co_return http::Reply{ 0, "", "", {} };
    }
    if (m_behaviour.loseAnswers) {
      co_return http::Reply{ 0, "", "", {} };
    }
    co_return MakeAnswer(id, words["bytes"], aRequest);
  }

  /// False when the client goes away before the work is done.
  static auto WorkFor(Milliseconds aTime, const http::Request& aRequest)
    -> awaitable<bool>
  {
    const auto end = Clock::now() + aTime;
    while (Clock::now() < end) {
      if (aRequest.hasClientClosed()) {
        co_return false;
      }
      co_await Sleep(
        std::min<Clock::duration>(end - Clock::now(), kLookForCancel));
    }
    co_return true;
  }

  auto MakeAnswer(const std::string& aId, const std::string& aBytes,
                  const http::Request& aRequest) -> http::Reply
  {
    const auto size = std::strtoull(aBytes.c_str(), nullptr, 10);
    http::Reply reply;
    reply.contentType = "application/octet-stream";
    reply.headers["ETag"] = fmt::format("\"{}-{}\"", aId, size);
    if (m_behaviour.draining) {
      reply.headers["X-Draining"] = "1";
    }
    std::uint64_t offset = 0;
    const auto range = HeaderOr(aRequest, "range", "");
    if (range.starts_with("bytes=")) {
      offset = std::strtoull(range.c_str() + 6, nullptr, 10);
    }
    if (offset > 0 && offset < size) {
      reply.status = 206;
      reply.headers["Content-Range"] =
        fmt::format("bytes {}-{}/{}", offset, size - 1, size);
    } else {
      offset = 0;
    }
    reply.body = MakeContent(aId, offset, size);
    return reply;
  }

  static auto HeaderOr(const http::Request& aRequest, const std::string& aName,
                       const std::string& aDefault) -> std::string
  {
    const auto found = aRequest.headers.find(aName);
    return found == aRequest.headers.end() ? aDefault : found->second;
  }

  TargetOptions m_options;
  Behaviour m_behaviour;
  ConditionVariable m_slotFreed;
  std::size_t m_running = 0;
  std::size_t m_waiting = 0;
  std::uint64_t m_shed = 0;
  std::uint64_t m_expired = 0;
  std::uint64_t m_cancelled = 0;
  json m_journal = json::array();
  http::Server m_server;
};

} // namespace

auto RunTarget(int argc, char** argv) -> int
{
  cxxopts::Options options("bramleylock-standin target");
  AddCommonOptions(options, { "ip:port", "", "" });
  options.add_options()("name", "name",
                        cxxopts::value<std::string>()->default_value("target"))(
    "service", "service",
    cxxopts::value<std::string>()->default_value("service"))(
    "slots", "requests at the same time",
    cxxopts::value<std::size_t>()->default_value("2"))(
    "backlog", "requests that wait for a slot before load is shed",
    cxxopts::value<std::size_t>()->default_value("4"));
  const auto parsed = ParseOptions(options, argc, argv);
  if (!parsed) {
    return 0;
  }
  asio::io_context context(1);
  const auto text = [&parsed](const char* aName) {
    return (*parsed)[aName].as<std::string>();
  };
  const auto number = [&parsed](const char* aName) {
    return (*parsed)[aName].as<std::size_t>();
  };
  TargetHost host(
    context, TcpOption(*parsed, "listen"),
    { text("name"), text("service"), number("slots"), number("backlog") });
  return Serve(context, "ready target=" + host.Address());
}

} // namespace bramleylock::standin
