// A TCP proxy in front of one server that injects faults. It can close or
// freeze connections by their source address, delay data, simulate packet loss,
// and discard all data of the connections that exist at a given time. It
// reports the requests that were lost on such connections.

#include "standins/Standin.h"

#include "bramleylock/Http/Http.h"

#include <boost/asio/write.hpp>
#include <nlohmann/json.hpp>

#include <random>
#include <set>

namespace bramleylock::standin {

using nlohmann::json;

namespace {

/// Faults that a request to /control/fault sets. Sources are prefixes of the
/// text form of IP addresses.
struct ProxyFaults
{
  /// Existing connections from these sources are closed, and new ones rejected.
  std::vector<std::string> cutSources;
  /// Connections from these sources stay open, but no data is relayed.
  std::vector<std::string> frozenSources;
  int delayMs = 0;
  /// Fraction of packets that are lost. TCP retransmits lost packets, so a loss
  /// is simulated as a delay.
  double lossRatio = 0;
};

/// Initial retransmission timeouts of TCP, for data and for the SYN packet that
/// opens a connection.
constexpr Milliseconds kRetransmitTimeout{ 200 };
constexpr Milliseconds kSynRetransmitTimeout{ 1000 };

/// Upper limit of the request data that is recorded per connection.
constexpr std::size_t kMaxRecordedBytes = 4096;

enum class Side
{
  Client,
  Upstream
};

auto MatchesAnyPrefix(const std::vector<std::string>& aPrefixes,
                      const std::string& aSource) -> bool
{
  for (const auto& prefix : aPrefixes) {
    if (aSource.starts_with(prefix)) {
      return true;
    }
  }
  return false;
}

struct Connection
{
  Connection(Tcp::socket aClient, Tcp::socket aUpstream, std::string aSource)
    : client(std::move(aClient))
    , upstream(std::move(aUpstream))
    , source(std::move(aSource))
  {
  }
  Tcp::socket client;
  Tcp::socket upstream;
  std::string source;
  /// All further data is discarded while both sockets stay open, as when a
  /// stateful middlebox loses its connection table. Connections opened later
  /// are not affected.
  bool forgotten = false;
  /// Data of the most recent request, and whether its answer has started.
  std::string request;
  bool answerStarted = false;
  /// Whether data was discarded. From then on, `request` keeps the affected
  /// request and everything that the client sends after it.
  bool dataLost = false;

  /// Records data that aSide has sent, to report the request if data is lost.
  auto RecordData(Side aSide, const char* aData, std::size_t aSize) -> void
  {
    if (aSide == Side::Upstream) {
      answerStarted = true;
      return;
    }
    if (answerStarted && !dataLost) {
      request.clear();
      answerStarted = false;
    }
    request.append(aData, std::min(aSize, kMaxRecordedBytes - request.size()));
  }

  auto Close() -> void
  {
    boost::system::error_code ignored;
    client.close(ignored);
    upstream.close(ignored);
  }
};

class Proxy
{
public:
  Proxy(asio::io_context& aContext, const Tcp::endpoint& aListen,
        const Tcp::endpoint& aUpstreamAddress, const Tcp::endpoint& aControl,
        std::uint64_t aSeed)
    : m_context(aContext)
    , m_acceptor(aContext, aListen)
    , m_upstreamAddress(aUpstreamAddress)
    , m_random(aSeed)
    , m_server(aContext, aControl, [this](const http::Request& aRequest) {
      return HandleControl(aRequest);
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
        Spawn(m_context, "proxy-connection",
              HandleConnection(std::move(socket)));
      }
    }
  }

  auto HandleConnection(Tcp::socket aClient) -> awaitable<void>
  {
    boost::system::error_code failure;
    const auto source = aClient.remote_endpoint(failure).address().to_string();
    if (failure || MatchesAnyPrefix(m_faults.cutSources, source)) {
      co_return;
    }
    co_await SimulatePacketLoss(kSynRetransmitTimeout);
    Tcp::socket upstream(m_context);
    co_await upstream.async_connect(m_upstreamAddress, RedirectError(failure));
    if (failure) {
      co_return;
    }
    auto connection = std::make_shared<Connection>(std::move(aClient),
                                                   std::move(upstream), source);
    m_connections.insert(connection);
    Spawn(m_context, "proxy-back", Relay(connection, Side::Upstream));
    co_await Relay(connection, Side::Client);
    m_connections.erase(connection);
  }

  /// Relays the data that aSide sends to the other side until either closes.
  auto Relay(std::shared_ptr<Connection> aConnection, Side aSide)
    -> awaitable<void>
  {
    auto& from =
      aSide == Side::Client ? aConnection->client : aConnection->upstream;
    auto& to =
      aSide == Side::Client ? aConnection->upstream : aConnection->client;
    std::array<char, 16384> buffer;
    boost::system::error_code failure;
    while (!failure) {
      const auto size = co_await from.async_read_some(asio::buffer(buffer),
                                                      RedirectError(failure));
      if (failure) {
        break;
      }
      aConnection->RecordData(aSide, buffer.data(), size);
      if (aConnection->forgotten) {
        RecordLoss(aConnection);
        continue;
      }
      while (MatchesAnyPrefix(m_faults.frozenSources, aConnection->source) &&
             from.is_open()) {
        co_await Sleep(Milliseconds(20));
      }
      if (m_faults.delayMs > 0) {
        co_await Sleep(Milliseconds(m_faults.delayMs));
      }
      co_await SimulatePacketLoss(kRetransmitTimeout);
      co_await asio::async_write(to, asio::buffer(buffer.data(), size),
                                 RedirectError(failure));
    }
    aConnection->Close();
  }

  auto RecordLoss(const std::shared_ptr<Connection>& aConnection) -> void
  {
    if (!std::exchange(aConnection->dataLost, true)) {
      m_lossyConnections.push_back(aConnection);
    }
  }

  /// Returns the recorded requests of the connections that lost data.
  auto MakeLossReport() const -> http::Reply
  {
    auto requests = json::array();
    for (const auto& connection : m_lossyConnections) {
      requests.push_back(connection->request);
    }
    http::Reply reply;
    reply.body = json{ { "requests", requests } }.dump(
      -1, ' ', false, json::error_handler_t::replace);
    return reply;
  }

  /// Delays the caller like a packet that each transmission loses with
  /// probability m_faults.lossRatio. The timeout doubles after each loss.
  auto SimulatePacketLoss(Milliseconds aRetransmitTimeout) -> awaitable<void>
  {
    std::uniform_real_distribution<double> uniform(0, 1);
    while (uniform(m_random) < m_faults.lossRatio) {
      co_await Sleep(aRetransmitTimeout);
      aRetransmitTimeout *= 2;
    }
  }

  auto HandleControl(const http::Request& aRequest) -> awaitable<http::Reply>
  {
    const auto body = json::parse(aRequest.body, nullptr, false);
    if (http::PathOf(aRequest.target) == "/control/losses") {
      co_return MakeLossReport();
    }
    http::Reply reply;
    if (http::PathOf(aRequest.target) != "/control/fault" ||
        !body.is_object()) {
      reply.status = 404;
      co_return reply;
    }
    m_faults = { body.value("cut", std::vector<std::string>()),
                 body.value("frozen", std::vector<std::string>()),
                 body.value("delay_ms", 0), body.value("loss", 0.0) };
    const bool forgetExisting = body.value("forget_existing", false);
    for (const auto& connection : m_connections) {
      connection->forgotten = connection->forgotten || forgetExisting;
      if (MatchesAnyPrefix(m_faults.cutSources, connection->source)) {
        connection->Close();
      }
    }
    co_return reply;
  }

  asio::io_context& m_context;
  Tcp::acceptor m_acceptor;
  Tcp::endpoint m_upstreamAddress;
  ProxyFaults m_faults;
  std::mt19937_64 m_random;
  std::set<std::shared_ptr<Connection>> m_connections;
  /// Connections on which data was discarded.
  std::vector<std::shared_ptr<Connection>> m_lossyConnections;
  http::Server m_server;
};

} // namespace

auto RunProxy(int argc, char** argv) -> int
{
  cxxopts::Options options("bramleylock-standin proxy");
  AddCommonOptions(
    options, { "ip:port", "ip:port for control", "seed of the random faults" });
  options.add_options()("to", "ip:port of the server behind the proxy",
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
