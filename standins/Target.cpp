// Stand-in for a target host: a limited number of slots, a bounded backlog, a
// journal of the requests that ran, and health and load endpoints that can
// report false values.

#include "standins/Content.h"
#include "standins/Standin.h"

#include "bramleylock/Http/Http.h"
#include "bramleylock/Support/Random.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace bramleylock::standin {

using nlohmann::json;

static constexpr std::uint32_t kShedRetryAfterMs = 100;
static constexpr Milliseconds kCancelPollInterval{ 20 };

namespace {

struct TargetOptions
{
  std::string name;
  std::string service;
  std::size_t slots = 2;
  std::size_t backlog = 4;
};

/// Behaviour that a request to /control/behave sets.
struct Behaviour
{
  /// Answers all work requests with status 503.
  bool shedAll = false;
  /// Reports in /health and in X-Draining that the target is draining.
  bool draining = false;
  /// Closes the connection after a request ran, without sending the answer.
  bool loseAnswers = false;
  /// Additional processing time of each request, as after a cold start.
  int extraMs = 0;
  /// Health that /health reports, regardless of the actual state.
  bool claimHealthy = true;
  /// Load that /load reports; if negative, it reports the actual load.
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
  static auto ToMilliseconds(Clock::duration aDuration) -> double
  {
    return std::chrono::duration<double, std::milli>(aDuration).count();
  }

  static auto MakeJsonReply(const json& aBody) -> http::Reply
  {
    http::Reply reply;
    reply.body = aBody.dump();
    return reply;
  }

  auto HandleRequest(const http::Request& aRequest) -> awaitable<http::Reply>
  {
    const auto path = http::PathOf(aRequest.target);
    if (path.starts_with("/work/")) {
      co_return co_await HandleWork(path.substr(6), aRequest);
    }
    if (path == "/health") {
      http::Reply reply =
        MakeJsonReply({ { "healthy", m_behaviour.claimHealthy },
                        { "draining", m_behaviour.draining } });
      reply.status = m_behaviour.claimHealthy ? 200 : 503;
      co_return reply;
    }
    if (path == "/load") {
      const double load = static_cast<double>(m_running + m_waiting) /
                          static_cast<double>(m_options.slots);
      co_return MakeJsonReply(
        { { "load",
            m_behaviour.claimLoad < 0 ? load : m_behaviour.claimLoad } });
    }
    if (path == "/journal") {
      co_return MakeJsonReply({ { "name", m_options.name },
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
      co_return MakeJsonReply({});
    }
    http::Reply reply;
    reply.status = 404;
    co_return reply;
  }

  /// Returns status 503 with a retry delay; the request has not run.
  auto MakeRefusal() -> http::Reply
  {
    http::Reply reply;
    reply.status = 503;
    reply.headers["X-Retry-After-Ms"] = std::to_string(kShedRetryAfterMs);
    if (m_behaviour.draining) {
      reply.headers["X-Draining"] = "1";
    }
    return reply;
  }

  /// Sheds the request, or waits for a free slot, records it in the journal and
  /// runs it. A reply with status 0 closes the connection without an answer.
  auto HandleWork(std::string aWorkName, const http::Request& aRequest)
    -> awaitable<http::Reply>
  {
    const auto deadlineMs =
      std::stoll(HeaderOr(aRequest, "x-deadline-ms", "60000"));
    const auto deadline = Clock::now() + Milliseconds(deadlineMs);
    if (m_behaviour.shedAll || m_waiting >= m_options.backlog) {
      ++m_shed;
      co_return MakeRefusal();
    }
    ++m_waiting;
    const auto arrivedAt = Clock::now();
    while (m_running >= m_options.slots && Clock::now() < deadline &&
           !aRequest.hasClientClosed()) {
      co_await m_slotFreed.WaitUntil(
        std::min(deadline, Clock::now() + kCancelPollInterval));
    }
    --m_waiting;
    if (aRequest.hasClientClosed()) {
      ++m_cancelled;
      co_return http::Reply{ 0, "", "", {} };
    }
    if (Clock::now() >= deadline) {
      ++m_expired;
      co_return MakeRefusal();
    }
    ++m_running;
    auto parameters = ParseWorkParameters(aRequest.body);
    const auto& id = parameters["id"];
    const auto startedAt = Clock::now();
    const auto journalIndex = m_journal.size();
    m_journal.push_back(
      { { "id", id },
        { "work", aWorkName },
        { "at", UnixTimeMs() },
        { "waited_ms", ToMilliseconds(startedAt - arrivedAt) } });
    const auto workMs =
      std::atoi(parameters["ms"].c_str()) + m_behaviour.extraMs;
    const bool finished = co_await SimulateWork(Milliseconds(workMs), aRequest);
    m_journal[journalIndex]["ran_ms"] =
      ToMilliseconds(Clock::now() - startedAt);
    --m_running;
    m_slotFreed.NotifyAll();
    if (!finished) {
      ++m_cancelled;
      co_return http::Reply{ 0, "", "", {} };
    }
    if (m_behaviour.loseAnswers) {
      co_return http::Reply{ 0, "", "", {} };
    }
    co_return MakeAnswerReply(id, parameters["bytes"], aRequest);
  }

  /// Simulates processing for aTime. Returns false if the client closes the
  /// connection before that.
  static auto SimulateWork(Milliseconds aTime, const http::Request& aRequest)
    -> awaitable<bool>
  {
    const auto end = Clock::now() + aTime;
    while (Clock::now() < end) {
      if (aRequest.hasClientClosed()) {
        co_return false;
      }
      co_await Sleep(
        std::min<Clock::duration>(end - Clock::now(), kCancelPollInterval));
    }
    co_return true;
  }

  /// Builds the answer of aBytes bytes, or the part that a Range header asks
  /// for.
  auto MakeAnswerReply(const std::string& aId, const std::string& aBytes,
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
  options.add_options()("name", "name of the target",
                        cxxopts::value<std::string>()->default_value("target"))(
    "service", "service that the target serves",
    cxxopts::value<std::string>()->default_value("service"))(
    "slots", "number of requests that run concurrently",
    cxxopts::value<std::size_t>()->default_value("2"))(
    "backlog", "number of requests that may wait for a slot; more are shed",
    cxxopts::value<std::size_t>()->default_value("4"));
  const auto parsed = ParseOptions(options, argc, argv);
  if (!parsed) {
    return 0;
  }
  asio::io_context context(1);
  const auto textOption = [&parsed](const char* aName) {
    return (*parsed)[aName].as<std::string>();
  };
  const auto numberOption = [&parsed](const char* aName) {
    return (*parsed)[aName].as<std::size_t>();
  };
  TargetHost host(context, TcpOption(*parsed, "listen"),
                  { textOption("name"), textOption("service"),
                    numberOption("slots"), numberOption("backlog") });
  return Serve(context, "ready target=" + host.Address());
}

} // namespace bramleylock::standin
