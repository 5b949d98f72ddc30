// A TCP proxy in front of one listener. It can cut or freeze connections by
// the address that they come from, delay what it carries, and forget the
// connections that exist. It tells which requests were lost that way.

#include "standins/Standin.h"

#include "bramleylock/Http/Http.h"

#include <boost/asio/write.hpp>
#include <nlohmann/json.hpp>

#include <random>
#include <set>

namespace bramleylock::standin {

using nlohmann::json;

namespace {

/// What /control/fault sets. Sources are prefixes of IP addresses.
struct Cuts
{
  /// Connections from these are reset and refused.
  std::vector<std::string> cut;
  /// Connections from these stay open and carry nothing.
  std::vector<std::string> frozen;
  int delayMs = 0;
  /// Part of the packets that is lost. TCP sends them again, so a loss shows as
  /// a delay.
  double loss = 0;
};

/// How long TCP waits before it sends a lost packet again, and a lost first
/// packet of a connection.
constexpr Milliseconds kResendAfter{ 200 };
constexpr Milliseconds kResendConnectAfter{ 1000 };

/// Bytes that are kept of what one connection lost.
constexpr std::size_t kKeptBytes = 4096;

enum class Side
{
  Near,
  Far
};

auto Matches(const std::vector<std::string>& aPrefixes,
             const std::string& aSource) -> bool
{
  for (const auto& prefix : aPrefixes) {
    if (aSource.starts_with(prefix)) {
      return true;
    }
  }
  return false;
}

struct Pair
{
  Pair(Tcp::socket aNear, Tcp::socket aFar, std::string aSource)
    : near(std::move(aNear))
    , far(std::move(aFar))
    , source(std::move(aSource))
  {
  }
  Tcp::socket near;
  Tcp::socket far;
  std::string source;
  /// Carries nothing for good, while connections opened later work.
  bool forgotten = false;
  /// The last request, and whether bytes of its answer came.
  std::string request;
  bool answered = false;
  /// Set with the first bytes that were lost: the request that they belong to,
  /// and all that came after it.
  bool lost = false;

  auto Keep(Side aSide, const char* aData, std::size_t aSize) -> void
  {
    if (aSide == Side::Far) {
      answered = true;
      return;
    }
    if (answered && !lost) {
      request.clear();
      answered = false;
    }
    request.append(aData, std::min(aSize, kKeptBytes - request.size()));
  }

  auto Close() -> void
  {
    boost::system::error_code ignored;
    near.close(ignored);
    far.close(ignored);
  }
};

class Proxy
{
public:
  Proxy(asio::io_context& aContext, const Tcp::endpoint& aListen,
        const Tcp::endpoint& aTo, const Tcp::endpoint& aControl,
        std::uint64_t aSeed)
    : m_context(aContext)
    , m_acceptor(aContext, aListen)
    , m_to(aTo)
    , m_random(aSeed)
    , m_server(aContext, aControl, [this](const http::Request& aRequest) {
      return Control(aRequest);
    })
  {
    m_server.Start();
    Spawn(m_context, "proxy", AcceptLoop());
  }

  auto ReadyLine() const -> std::string
  {
    const auto listen = m_acceptor.local_endpoint();
    const auto control = m_server.Endpoint();
    return "ready proxy=" + FormatEndpoint(listen.address(), listen.port()) +
           " control=" + FormatEndpoint(control.address(), control.port());
  }

private:
  auto AcceptLoop() -> awaitable<void>
  {
    for (;;) {
      boost::system::error_code failure;
      auto socket = co_await m_acceptor.async_accept(RedirectError(failure));
      if (!failure) {
        Spawn(m_context, "proxy-connection", Serve(std::move(socket)));
      }
    }
  }

  auto Serve(Tcp::socket aNear) -> awaitable<void>
  {
    boost::system::error_code failure;
    const auto source = aNear.remote_endpoint(failure).address().to_string();
    if (failure || Matches(m_cuts.cut, source)) {
      co_return;
    }
    co_await Lose(kResendConnectAfter);
    Tcp::socket far(m_context);
    co_await far.async_connect(m_to, RedirectError(failure));
    if (failure) {
      co_return;
    }
    auto pair =
      std::make_shared<Pair>(std::move(aNear), std::move(far), source);
    m_pairs.insert(pair);
    Spawn(m_context, "proxy-back", Copy(pair, Side::Far));
    co_await Copy(pair, Side::Near);
    m_pairs.erase(pair);
  }

  /// Carries what aSide sends to the other side.
  auto Copy(std::shared_ptr<Pair> aPair, Side aSide) -> awaitable<void>
  {
    auto& from = aSide == Side::Near ? aPair->near : aPair->far;
    auto& to = aSide == Side::Near ? aPair->far : aPair->near;
    std::array<char, 16384> buffer;
    boost::system::error_code failure;
    while (!failure) {
      const auto size = co_await from.async_read_some(asio::buffer(buffer),
                                                      RedirectError(failure));
      if (failure) {
        break;
      }
      aPair->Keep(aSide, buffer.data(), size);
      if (aPair->forgotten) {
        NoteLoss(aPair);
        continue;
      }
      while (Matches(m_cuts.frozen, aPair->source) && from.is_open()) {
        co_await Sleep(Milliseconds(20));
      }
      if (m_cuts.delayMs > 0) {
        co_await Sleep(Milliseconds(m_cuts.delayMs));
      }
      co_await Lose(kResendAfter);
      co_await asio::async_write(to, asio::buffer(buffer.data(), size),
                                 RedirectError(failure));
    }
    aPair->Close();
  }

  auto NoteLoss(const std::shared_ptr<Pair>& aPair) -> void
  {
    if (!std::exchange(aPair->lost, true)) {
      m_losses.push_back(aPair);
    }
  }

  auto TellLosses() const -> http::Reply
  {
    auto losses = json::array();
    for (const auto& pair : m_losses) {
      losses.push_back(pair->request);
    }
    http::Reply reply;
    reply.body = json{ { "requests", losses } }.dump(
      -1, ' ', false, json::error_handler_t::replace);
    return reply;
  }

  /// Waits as long as a packet that is lost m_cuts.loss of the times.
  auto Lose(Milliseconds aResendAfter) -> awaitable<void>
  {
    std::uniform_real_distribution<double> part(0, 1);
    while (part(m_random) < m_cuts.loss) {
      co_await Sleep(aResendAfter);
      aResendAfter *= 2;
    }
  }

  auto Control(const http::Request& aRequest) -> awaitable<http::Reply>
  {
    const auto body = json::parse(aRequest.body, nullptr, false);
    if (http::PathOf(aRequest.target) == "/control/losses") {
      co_return TellLosses();
    }
    http::Reply reply;
    if (http::PathOf(aRequest.target) != "/control/fault" ||
        !body.is_object()) {
      reply.status = 404;
      co_return reply;
    }
    m_cuts = { body.value("cut", std::vector<std::string>()),
               body.value("frozen", std::vector<std::string>()),
               body.value("delay_ms", 0), body.value("loss", 0.0) };
    const bool forget = body.value("forget_existing", false);
    for (const auto& pair : m_pairs) {
      pair->forgotten = pair->forgotten || forget;
      if (Matches(m_cuts.cut, pair->source)) {
        pair->Close();
      }
    }
    co_return reply;
  }

  asio::io_context& m_context;
  Tcp::acceptor m_acceptor;
  Tcp::endpoint m_to;
  Cuts m_cuts;
  std::mt19937_64 m_random;
  std::set<std::shared_ptr<Pair>> m_pairs;
  /// Forgotten connections that bytes were lost on.
  std::vector<std::shared_ptr<Pair>> m_losses;
  http::Server m_server;
};

} // namespace

auto RunProxy(int argc, char** argv) -> int
{
  cxxopts::Options options("bramleylock-standin proxy");
  AddCommonOptions(
    options, { "ip:port", "ip:port for control", "seed of random faults" });
  options.add_options()("to", "ip:port behind the proxy",
                        cxxopts::value<std::string>());
  const auto parsed = ParseOptions(options, argc, argv);
  if (!parsed) {
    return 0;
  }
  asio::io_context context(1);
  Proxy proxy(context, TcpOption(*parsed, "listen"), TcpOption(*parsed, "to"),
              TcpOption(*parsed, "control"),
              (*parsed)["seed"].as<std::uint64_t>());
  return Serve(context, proxy.ReadyLine());
}

} // namespace bramleylock::standin
