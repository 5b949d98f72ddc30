// Stand-in for the platform's network: forwards each datagram of a caller to a
// randomly chosen balancer, and returns the answers. Each caller has its own
// socket towards the balancers, so that any balancer can answer it.

#include "standins/Standin.h"

#include "bramleylock/Http/Http.h"
#include "bramleylock/Support/Random.h"
#include "bramleylock/Wire/Packet.h"

#include <nlohmann/json.hpp>

namespace bramleylock::standin {

using nlohmann::json;

static constexpr int kSocketBufferBytes = 16 << 20;

namespace {

/// Packet faults that a request to /control/fault sets, for both directions.
struct PacketFaults
{
  double lossRatio = 0;
  double duplicateRatio = 0;
  double delayRatio = 0;
  int delayMs = 0;
};

struct WeightedBalancer
{
  Udp::endpoint destination;
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
      return HandleControl(aRequest);
    })
  {
    ConfigureSocket(m_socket);
    m_server.Start();
    Spawn(m_context, "fabric", ForwardLoop());
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
  /// The socket that sends one caller's datagrams to the balancers.
  struct CallerSocket
  {
    explicit CallerSocket(asio::io_context& aContext,
                          const Udp::endpoint& aLocalEndpoint)
      : socket(aContext, aLocalEndpoint)
    {
    }
    Udp::socket socket;
  };

  static auto ConfigureSocket(Udp::socket& aSocket) -> void
  {
    boost::system::error_code ignored;
    aSocket.set_option(
      asio::socket_base::receive_buffer_size(kSocketBufferBytes), ignored);
    aSocket.set_option(asio::socket_base::send_buffer_size(kSocketBufferBytes),
                       ignored);
    aSocket.non_blocking(true, ignored);
  }

  /// Returns true with probability aRatio.
  auto DrawChance(double aRatio) -> bool
  {
    return aRatio > 0 && std::uniform_real_distribution<>()(m_random) < aRatio;
  }

  /// Chooses a balancer at random, in proportion to the weights.
  auto PickBalancer() -> const WeightedBalancer&
  {
    double total = 0;
    for (const auto& balancer : m_balancers) {
      total += balancer.weight;
    }
    auto remaining = std::uniform_real_distribution<>(0, total)(m_random);
    for (const auto& balancer : m_balancers) {
      remaining -= balancer.weight;
      if (remaining < 0) {
        return balancer;
      }
    }
    return m_balancers.back();
  }

  /// Sends aData after applying the configured loss, duplication and delay.
  auto SendWithFaults(std::shared_ptr<CallerSocket> aCallerSocket,
                      bool aToCaller, const Udp::endpoint& aTo,
                      const std::string& aData) -> void
  {
    if (DrawChance(m_faults.lossRatio)) {
      return;
    }
    const int copies = DrawChance(m_faults.duplicateRatio) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      if (DrawChance(m_faults.delayRatio)) {
        Spawn(m_context, "delayed",
              SendLater(aCallerSocket, aToCaller, aTo, aData));
        continue;
      }
      SendNow(*aCallerSocket, aToCaller, aTo, aData);
    }
  }

  auto SendNow(CallerSocket& aCallerSocket, bool aToCaller,
               const Udp::endpoint& aTo, const std::string& aData) -> void
  {
    boost::system::error_code ignored;
    auto& socket = aToCaller ? m_socket : aCallerSocket.socket;
    socket.send_to(asio::buffer(aData), aTo, 0, ignored);
  }

  auto SendLater(std::shared_ptr<CallerSocket> aCallerSocket, bool aToCaller,
                 Udp::endpoint aTo, std::string aData) -> awaitable<void>
  {
    co_await Sleep(Milliseconds(m_faults.delayMs));
    SendNow(*aCallerSocket, aToCaller, aTo, aData);
  }

  auto SocketFor(const Udp::endpoint& aCaller) -> std::shared_ptr<CallerSocket>
  {
    auto& callerSocket = m_callerSockets[aCaller];
    if (!callerSocket) {
      callerSocket = std::make_shared<CallerSocket>(
        m_context, Udp::endpoint(m_socket.local_endpoint().address(), 0));
      ConfigureSocket(callerSocket->socket);
      Spawn(m_context, "fabric-return", ReturnLoop(callerSocket, aCaller));
    }
    return callerSocket;
  }

  /// Forwards datagrams from callers to balancers.
  auto ForwardLoop() -> awaitable<void>
  {
    std::array<char, 65536> buffer;
    for (;;) {
      Udp::endpoint from;
      boost::system::error_code failure;
      const auto size = co_await m_socket.async_receive_from(
        asio::buffer(buffer), from, RedirectError(failure));
      if (failure || m_balancers.empty()) {
        continue;
      }
      SendWithFaults(SocketFor(from), false, PickBalancer().destination,
                     std::string(buffer.data(), size));
    }
  }

  /// Returns datagrams from balancers to aCaller.
  auto ReturnLoop(std::shared_ptr<CallerSocket> aCallerSocket,
                  Udp::endpoint aCaller) -> awaitable<void>
  {
    std::array<char, 65536> buffer;
    for (;;) {
      Udp::endpoint from;
      boost::system::error_code failure;
      const auto size = co_await aCallerSocket->socket.async_receive_from(
        asio::buffer(buffer), from, RedirectError(failure));
      if (!failure) {
        SendWithFaults(aCallerSocket, true, aCaller,
                       std::string(buffer.data(), size));
      }
    }
  }

  auto HandleControl(const http::Request& aRequest) -> awaitable<http::Reply>
  {
    const auto path = http::PathOf(aRequest.target);
    const auto body = json::parse(aRequest.body, nullptr, false);
    http::Reply reply;
    if (path == "/control/balancers" && body.is_array()) {
      m_balancers.clear();
      for (const auto& item : body) {
        std::error_code error;
        m_balancers.push_back(
          { ParseUdpEndpoint(item.value("address", ""), error),
            item.value("weight", 1.0) });
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
  std::vector<WeightedBalancer> m_balancers;
  std::map<Udp::endpoint, std::shared_ptr<CallerSocket>> m_callerSockets;
  http::Server m_server;
};

} // namespace

auto RunFabric(int argc, char** argv) -> int
{
  cxxopts::Options options("bramleylock-standin fabric");
  AddCommonOptions(options,
                   { "ip:port for callers", "ip:port for control",
                     "seed of the choice of balancers and of random faults" });
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
