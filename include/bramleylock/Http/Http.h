// A small HTTP/1.1 client and server over Beast, for whole messages.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "bramleylock/Http/Tls.h"
#include "bramleylock/Support/Asio.h"

namespace bramleylock::http {

/// One request; header names are matched without regard to case.
struct Request
{
  std::string method = "GET";
  /// Path and query, such as "/kv/lists?wait_ms=1000".
  std::string target;
  std::string body;
  std::map<std::string, std::string> headers;
  /// At a server: whether the client has closed the connection.
  std::function<bool()> abandoned;
};

struct Reply
{
  unsigned status = 200;
  std::string body;
  std::string contentType = "application/json";
  std::map<std::string, std::string> headers;
};

/// Sends aRequest on a fresh connection; a connection or protocol failure, or
/// no whole reply within aTimeout, sets aError. With aTls, the server has to
/// prove a trusted certificate that names its IP address.
auto Fetch(Tcp::endpoint aServer, Request aRequest, Milliseconds aTimeout,
           std::error_code& aError, TlsContext aTls = nullptr)
  -> awaitable<Reply>;

/// Answers one request.
using Handler = std::function<awaitable<Reply>(const Request&)>;

/// Accepts connections until its io_context stops.
class Server
{
public:
  /// Binds aAddress; port 0 lets the kernel choose. With aTls, it serves
  /// nothing but HTTPS.
  Server(asio::io_context& aContext, const Tcp::endpoint& aAddress,
         Handler aHandler, TlsContext aTls = nullptr);

  auto Endpoint() const -> Tcp::endpoint;

  /// Starts accepting.
  auto Start() -> void;

  /// Stops accepting; exchanges in progress go on.
  auto StopAccepting() -> void;

private:
  auto AcceptLoop() -> awaitable<void>;
  auto Serve(Tcp::socket aSocket) -> awaitable<void>;
  auto ServeTls(Tcp::socket aSocket) -> awaitable<void>;

  asio::io_context& m_context;
  Tcp::acceptor m_acceptor;
  Handler m_handler;
  TlsContext m_tls;
};

/// The path part of a target, without its query.
auto PathOf(const std::string& aTarget) -> std::string;

/// The value of query parameter aName in aTarget, or aDefault.
auto QueryOf(const std::string& aTarget, const std::string& aName,
             const std::string& aDefault = {}) -> std::string;

} // namespace bramleylock::http
