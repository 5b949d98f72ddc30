// Minimal HTTP/1.1 client and server based on Boost.Beast. Messages are
// buffered completely; there is no streaming.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "bramleylock/Http/Tls.h"
#include "bramleylock/Support/Asio.h"

namespace bramleylock::http {

/// An HTTP request. The server converts header names to lower case.
struct Request
{
  std::string method = "GET";
  /// Path and query, such as "/kv/lists?wait_ms=1000".
  std::string target;
  std::string body;
  std::map<std::string, std::string> headers;
  /// If above zero, the timeout of Fetch limits only the time until the first
  /// byte of the reply. From then on, this is the maximum time between two
  /// received bytes, and the reply has to be complete within transferTimeout.
  Milliseconds progressTimeout{ 0 };
  Milliseconds transferTimeout{ 0 };
  /// Set by the server: returns whether the client has closed the connection.
  std::function<bool()> hasClientClosed;
};

struct Reply
{
  unsigned status = 200;
  std::string body;
  std::string contentType = "application/json";
  std::map<std::string, std::string> headers;
  /// When the first byte of the reply arrived; set by Fetch.
  Clock::time_point firstByteAt{};
};

/// Sends aRequest on a new connection. Sets aError after a connection or
/// protocol error, or if no complete reply arrives within aTimeout. The error
/// is std::errc::timed_out if the connection was not established in time. With
/// aTls, the server has to present a trusted certificate for its IP address.
auto Fetch(Tcp::endpoint aServer, Request aRequest, Milliseconds aTimeout,
           std::error_code& aError, TlsContext aTls = nullptr)
  -> awaitable<Reply>;

/// Handles one request. A reply with status 0 is not sent; the server closes
/// the connection instead.
using Handler = std::function<awaitable<Reply>(const Request&)>;

/// Accepts connections until its io_context stops.
class Server
{
public:
  /// Binds to aAddress; with port 0 the kernel chooses the port. With aTls, the
  /// server accepts only HTTPS.
  Server(asio::io_context& aContext, const Tcp::endpoint& aAddress,
         Handler aHandler, TlsContext aTls = nullptr);

  auto Endpoint() const -> Tcp::endpoint;

  /// Starts accepting connections.
  auto Start() -> void;

  /// Stops accepting connections. Open connections are not closed.
  auto StopAccepting() -> void;

private:
  auto AcceptLoop() -> awaitable<void>;
  auto ServePlain(Tcp::socket aSocket) -> awaitable<void>;
  auto ServeTls(Tcp::socket aSocket) -> awaitable<void>;

  asio::io_context& m_context;
  Tcp::acceptor m_acceptor;
  Handler m_handler;
  TlsContext m_tls;
};

/// The path of a request target, without the query.
auto PathOf(const std::string& aTarget) -> std::string;

/// The value of the query parameter aName in aTarget, or aDefault if it is
/// missing. Percent-encoding is not decoded.
auto QueryParameter(const std::string& aTarget, const std::string& aName,
                    const std::string& aDefault = {}) -> std::string;

} // namespace bramleylock::http
