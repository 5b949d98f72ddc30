// HTTP/1.1 client and server on Boost.Beast, plain and with TLS.

#include "bramleylock/Http/Http.h"

#include <boost/asio/ssl.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/beast/ssl.hpp>

#include <sys/socket.h>

namespace bramleylock::http {

namespace beast = boost::beast;

/// Maximum size of a request or reply body, which is buffered completely.
static constexpr std::uint64_t kMaxBodyBytes = 64ULL << 20;

/// Time limit for the TLS handshake at the server.
static constexpr std::chrono::seconds kHandshakeTimeout{ 5 };

/// Time limit for receiving a request on an open connection, and for sending
/// the reply.
static constexpr std::chrono::seconds kServerIoTimeout{ 120 };

using TlsStream = beast::ssl_stream<beast::tcp_stream>;

static auto MakeMessage(const Tcp::endpoint& aServer, Request& aRequest)
  -> beast::http::request<beast::http::string_body>
{
  beast::http::request<beast::http::string_body> message;
  message.method_string(aRequest.method);
  message.target(aRequest.target);
  message.version(11);
  message.set(beast::http::field::host,
              FormatEndpoint(aServer.address(), aServer.port()));
  message.set(beast::http::field::connection, "close");
  for (const auto& [name, value] : aRequest.headers) {
    message.set(name, value);
  }
  message.body() = std::move(aRequest.body);
  message.prepare_payload();
  return message;
}

/// Time limits of an exchange; see Request.
struct Timeouts
{
  Milliseconds reply{};
  Milliseconds progress{};
  Milliseconds transfer{};
};

/// Extends the timeout of a stream that has just received bytes of aReply.
static auto RecordProgress(beast::tcp_stream& aStream,
                           const Timeouts& aTimeouts, Reply& aReply) -> void
{
  const auto now = Clock::now();
  if (aReply.firstByteAt == Clock::time_point{}) {
    aReply.firstByteAt = now;
  }
  if (aTimeouts.progress.count() > 0) {
    aStream.expires_at(std::min(now + aTimeouts.progress,
                                aReply.firstByteAt + aTimeouts.transfer));
  }
}

/// Sends aMessage on an open connection and reads the reply.
template<typename Stream>
static auto Exchange(Stream& aStream,
                     beast::http::request<beast::http::string_body> aMessage,
                     const Timeouts& aTimeouts,
                     boost::system::error_code& aFailure) -> awaitable<Reply>
{
  Reply reply;
  co_await beast::http::async_write(aStream, aMessage, RedirectError(aFailure));
  if (aFailure) {
    co_return reply;
  }
  beast::flat_buffer buffer;
  beast::http::response_parser<beast::http::string_body> parser;
  parser.body_limit(kMaxBodyBytes);
  auto& tcpStream = beast::get_lowest_layer(aStream);
  while (!parser.is_done()) {
    co_await beast::http::async_read_some(aStream, buffer, parser,
                                          RedirectError(aFailure));
    if (aFailure) {
      co_return reply;
    }
    RecordProgress(tcpStream, aTimeouts, reply);
  }
  reply.status = parser.get().result_int();
  reply.body = std::move(parser.get().body());
  for (const auto& field : parser.get()) {
    reply.headers[std::string(field.name_string())] =
      std::string(field.value());
  }
  co_return reply;
}

/// Connects and starts the timeout of the whole exchange. A connection that is
/// not established in time fails like one that the kernel gives up, which tells
/// it apart from a missing reply.
static auto Connect(beast::tcp_stream& aStream, Tcp::endpoint aServer,
                    Milliseconds aTimeout, boost::system::error_code& aFailure)
  -> awaitable<void>
{
  aStream.expires_after(aTimeout);
  co_await aStream.async_connect(aServer, RedirectError(aFailure));
  if (aFailure == beast::error::timeout) {
    aFailure = asio::error::timed_out;
  }
}

static auto FetchTls(Tcp::endpoint aServer,
                     beast::http::request<beast::http::string_body> aMessage,
                     Timeouts aTimeouts, TlsContext aTls,
                     boost::system::error_code& aFailure) -> awaitable<Reply>
{
  auto executor = co_await asio::this_coro::executor;
  TlsStream stream(executor, *aTls);
  auto& tcpStream = beast::get_lowest_layer(stream);
  co_await Connect(tcpStream, aServer, aTimeouts.reply, aFailure);
  if (aFailure) {
    co_return Reply{};
  }
  stream.set_verify_callback(
    asio::ssl::host_name_verification(aServer.address().to_string()));
  co_await stream.async_handshake(asio::ssl::stream_base::client,
                                  RedirectError(aFailure));
  if (aFailure) {
    co_return Reply{};
  }
  co_return co_await Exchange(stream, std::move(aMessage), aTimeouts, aFailure);
}

static auto FetchPlain(Tcp::endpoint aServer,
                       beast::http::request<beast::http::string_body> aMessage,
                       Timeouts aTimeouts, boost::system::error_code& aFailure)
  -> awaitable<Reply>
{
  auto executor = co_await asio::this_coro::executor;
  beast::tcp_stream stream(executor);
  co_await Connect(stream, aServer, aTimeouts.reply, aFailure);
  if (aFailure) {
    co_return Reply{};
  }
  co_return co_await Exchange(stream, std::move(aMessage), aTimeouts, aFailure);
}

auto Fetch(Tcp::endpoint aServer, Request aRequest, Milliseconds aTimeout,
           std::error_code& aError, TlsContext aTls) -> awaitable<Reply>
{
  boost::system::error_code failure;
  const Timeouts timeouts{ aTimeout, aRequest.progressTimeout,
                           aRequest.transferTimeout };
  auto message = MakeMessage(aServer, aRequest);
  Reply reply;
  if (aTls) {
    reply = co_await FetchTls(aServer, std::move(message), timeouts,
                              std::move(aTls), failure);
  } else {
    reply = co_await FetchPlain(aServer, std::move(message), timeouts, failure);
  }
  aError = failure;
  co_return reply;
}

Server::Server(asio::io_context& aContext, const Tcp::endpoint& aAddress,
               Handler aHandler, TlsContext aTls)
  : m_context(aContext)
  , m_acceptor(aContext, aAddress)
  , m_handler(std::move(aHandler))
  , m_tls(std::move(aTls))
{
}

auto Server::Endpoint() const -> Tcp::endpoint
{
  return m_acceptor.local_endpoint();
}

auto Server::Start() -> void
{
  Spawn(m_context, "http-accept", AcceptLoop());
}

auto Server::StopAccepting() -> void
{
  boost::system::error_code ignored;
  m_acceptor.close(ignored);
}

auto Server::AcceptLoop() -> awaitable<void>
{
  while (m_acceptor.is_open()) {
    boost::system::error_code failure;
    auto socket = co_await m_acceptor.async_accept(RedirectError(failure));
    if (failure == asio::error::operation_aborted) {
      co_return;
    }
    if (failure) {
      co_await Sleep(Milliseconds(10));
      continue;
    }
    boost::system::error_code ignored;
    socket.set_option(Tcp::no_delay(true), ignored);
    Spawn(m_context, "http-connection",
          m_tls ? ServeTls(std::move(socket)) : ServePlain(std::move(socket)));
  }
}

static auto ToRequest(beast::http::request<beast::http::string_body>& aMessage)
  -> Request
{
  Request request;
  request.method = std::string(aMessage.method_string());
  request.target = std::string(aMessage.target());
  request.body = std::move(aMessage.body());
  for (const auto& field : aMessage) {
    std::string name(field.name_string());
    for (char& letter : name) {
      letter = static_cast<char>(std::tolower(letter));
    }
    request.headers[name] = std::string(field.value());
  }
  return request;
}

static auto HasPeerClosed(Tcp::socket& aSocket) -> bool
{
  char byte = 0;
  return ::recv(aSocket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) ==
         0;
}

/// Serves the requests of one connection. No TLS close_notify is sent at the
/// end; the Content-Length of each reply already shows whether it is complete.
template<typename Stream>
static auto ServeConnection(Stream& aStream, const Handler& aHandler)
  -> awaitable<void>
{
  auto& tcpStream = beast::get_lowest_layer(aStream);
  beast::flat_buffer buffer;
  for (;;) {
    boost::system::error_code failure;
    beast::http::request_parser<beast::http::string_body> parser;
    parser.body_limit(kMaxBodyBytes);
    tcpStream.expires_after(kServerIoTimeout);
    co_await beast::http::async_read(aStream, buffer, parser,
                                     RedirectError(failure));
    if (failure) {
      co_return;
    }
    const bool keepAlive = parser.get().keep_alive();
    auto request = ToRequest(parser.get());
    request.hasClientClosed = [&tcpStream] {
      return HasPeerClosed(tcpStream.socket());
    };
    auto reply = co_await aHandler(request);
    if (reply.status == 0) {
      // The handler requests that the connection be closed without a reply.
      co_return;
    }
    beast::http::response<beast::http::string_body> message;
    message.result(reply.status);
    message.version(11);
    message.keep_alive(keepAlive);
    message.set(beast::http::field::content_type, reply.contentType);
    for (const auto& [name, value] : reply.headers) {
      message.set(name, value);
    }
    message.body() = std::move(reply.body);
    message.prepare_payload();
    tcpStream.expires_after(kServerIoTimeout);
    co_await beast::http::async_write(aStream, message, RedirectError(failure));
    if (failure || !keepAlive) {
      co_return;
    }
  }
}

auto Server::ServePlain(Tcp::socket aSocket) -> awaitable<void>
{
  beast::tcp_stream stream(std::move(aSocket));
  co_await ServeConnection(stream, m_handler);
}

auto Server::ServeTls(Tcp::socket aSocket) -> awaitable<void>
{
  TlsStream stream(std::move(aSocket), *m_tls);
  beast::get_lowest_layer(stream).expires_after(kHandshakeTimeout);
  boost::system::error_code failure;
  co_await stream.async_handshake(asio::ssl::stream_base::server,
                                  RedirectError(failure));
  if (!failure) {
    co_await ServeConnection(stream, m_handler);
  }
}

auto PathOf(const std::string& aTarget) -> std::string
{
  return aTarget.substr(0, aTarget.find('?'));
}

auto QueryParameter(const std::string& aTarget, const std::string& aName,
                    const std::string& aDefault) -> std::string
{
  auto position = aTarget.find('?');
  while (position != std::string::npos) {
    const auto start = position + 1;
    position = aTarget.find('&', start);
    const auto pair = aTarget.substr(
      start, position == std::string::npos ? position : position - start);
    if (pair.starts_with(aName + "=")) {
      return pair.substr(aName.size() + 1);
    }
  }
  return aDefault;
}

} // namespace bramleylock::http
