// Sprays callers' datagrams over the balancers, packet by packet, and carries
// answers back. Each caller gets a socket of its own towards the balancers, so
// that any balancer can answer it.

#include "standins/Standin.h"

#include "bramleylock/Http/Http.h"
#include "bramleylock/Support/Random.h"
#include "bramleylock/Wire/Packet.h"

#include <nlohmann/json.hpp>

namespace bramleylock::standin {

using nlohmann::json;

static constexpr int kSocketBufferBytes = 16 << 20;

namespace {

/// What /control/fault sets, for both directions.
struct PacketFaults
{
  double lossRatio = 0;
  double duplicateRatio = 0;
  double delayRatio = 0;
  int delayMs = 0;
};

struct Route
{
  Udp::endpoint balancer;
  double weight = 1;
};

class Fabric
{
public:
  Fabric(asio::io_context& aContext, const Udp::endpoint& aListen,
         const Tcp::endpoint& aControl, std::uint64_t aSeed)
    : m_context(aContext)
    , m_socket(aContext, aListen)
    , m_random(aSeed)
    , m_server(aContext, aControl, [this](const http::Request& aRequest) {
      return Control(aRequest);
    })
  {
    SetBuffers(m_socket);
    m_server.Start();
    Spawn(m_context, "fabric", ReceiveLoop());
  }

  auto ReadyLine() const -> std::string
  {
    const auto callers = m_socket.local_endpoint();
    const auto control = m_server.Endpoint();
    return "ready callers=" +
           FormatEndpoint(callers.address(), callers.port()) +
           " control=" + FormatEndpoint(control.address(), control.port());
  }

private:
  struct CallerPort
  {
    explicit CallerPort(asio::io_context& aContext, const Udp::endpoint& aBind)
      : socket(aContext, aBind)
    {
    }
    Udp::socket socket;
  };

  static auto SetBuffers(Udp::socket& aSocket) -> void
  {
    boost::system::error_code ignored;
    aSocket.set_option(
      asio::socket_base::receive_buffer_size(kSocketBufferBytes), ignored);
    aSocket.set_option(asio::socket_base::send_buffer_size(kSocketBufferBytes),
                       ignored);
    aSocket.non_blocking(true, ignored);
  }

  auto Chance(double aRatio) -> bool
  {
    return aRatio > 0 && std::uniform_real_distribution<>()(m_random) < aRatio;
  }

  auto Pick() -> const Route&
  {
    double total = 0;
    for (const auto& route : m_routes) {
      total += route.weight;
    }
    auto point = std::uniform_real_distribution<>(0, total)(m_random);
    for (const auto& route : m_routes) {
      point -= route.weight;
      if (point < 0) {
        return route;
      }
    }
    return m_routes.back();
  }

  /// Sends aData with the faults that are set.
  auto Deliver(std::shared_ptr<CallerPort> aPort, bool aToCaller,
               const Udp::endpoint& aTo, const std::string& aData) -> void
  {
    if (Chance(m_faults.lossRatio)) {
      return;
    }
    const int copies = Chance(m_faults.duplicateRatio) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      if (Chance(m_faults.delayRatio)) {
        Spawn(m_context, "delayed", SendLater(aPort, aToCaller, aTo, aData));
        continue;
      }
      SendNow(*aPort, aToCaller, aTo, aData);
    }
  }

  auto SendNow(CallerPort& aPort, bool aToCaller, const Udp::endpoint& aTo,
               const std::string& aData) -> void
  {
    boost::system::error_code ignored;
    auto& socket = aToCaller ? m_socket : aPort.socket;
    socket.send_to(asio::buffer(aData), aTo, 0, ignored);
  }

  auto SendLater(std::shared_ptr<CallerPort> aPort, bool aToCaller,
                 Udp::endpoint aTo, std::string aData) -> awaitable<void>
  {
    co_await Sleep(Milliseconds(m_faults.delayMs));
    SendNow(*aPort, aToCaller, aTo, aData);
  }

  auto PortFor(const Udp::endpoint& aCaller) -> std::shared_ptr<CallerPort>
  {
    auto& port = m_ports[aCaller];
    if (!port) {
      port = std::make_shared<CallerPort>(
        m_context, Udp::endpoint(m_socket.local_endpoint().address(), 0));
      SetBuffers(port->socket);
      Spawn(m_context, "fabric-return", ReturnLoop(port, aCaller));
    }
    return port;
  }

  auto ReceiveLoop() -> awaitable<void>
  {
    std::array<char, 65536> buffer;
    for (;;) {
      Udp::endpoint from;
      boost::system::error_code failure;
      const auto size = co_await m_socket.async_receive_from(
        asio::buffer(buffer), from, RedirectError(failure));
      if (failure || m_routes.empty()) {
        continue;
      }
      Deliver(PortFor(from), false, Pick().balancer,
              std::string(buffer.data(), size));
    }
  }

  auto ReturnLoop(std::shared_ptr<CallerPort> aPort, Udp::endpoint aCaller)
    -> awaitable<void>
  {
    std::array<char, 65536> buffer;
    for (;;) {
      Udp::endpoint from;
      boost::system::error_code failure;
      const auto size = co_await aPort->socket.async_receive_from(
        asio::buffer(buffer), from, RedirectError(failure));
      if (!failure) {
        Deliver(aPort, true, aCaller, std::string(buffer.data(), size));
      }
    }
  }

  auto Control(const http::Request& aRequest) -> awaitable<http::Reply>
  {
    const auto path = http::PathOf(aRequest.target);
    const auto body = json::parse(aRequest.body, nullptr, false);
    http::Reply reply;
    if (path == "/control/balancers" && body.is_array()) {
      m_routes.clear();
      for (const auto& row : body) {
        std::error_code error;
        m_routes.push_back({ ParseUdpEndpoint(row.value("address", ""), error),
                             row.value("weight", 1.0) });
      }
    } else if (path == "/control/fault" && body.is_object()) {
      m_faults = { body.value("loss", 0.0), body.value("duplicate", 0.0),
                   body.value("delay", 0.0), body.value("delay_ms", 0) };
    } else {
      reply.status = 404;
    }
    co_return reply;
  }

  asio::io_context& m_context;
  Udp::socket m_socket;
  Random m_random;
  PacketFaults m_faults;
  std::vector<Route> m_routes;
  std::map<Udp::endpoint, std::shared_ptr<CallerPort>> m_ports;
  http::Server m_server;
};

} // namespace

auto RunFabric(int argc, char** argv) -> int
{
  cxxopts::Options options("bramleylock-standin fabric");
  AddCommonOptions(options, { "ip:port for callers", "ip:port for control",
                              "seed of the spray" });
  const auto parsed = ParseOptions(options, argc, argv);
  if (!parsed) {
    return 0;
  }
  std::error_code error;
  const auto listen =
    ParseUdpEndpoint((*parsed)["listen"].as<std::string>(), error);
  asio::io_context context(1);
  Fabric fabric(context, listen, TcpOption(*parsed, "control"),
                (*parsed)["seed"].as<std::uint64_t>());
  return Serve(context, fabric.ReadyLine());
}

} // namespace bramleylock::standin
