// The HTTP/1.1 transport to targets, with streamed answers.

#include "bramleylock/Target/TargetTransport.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <charconv>

namespace bramleylock::target {

namespace beast = boost::beast;
namespace http = boost::beast::http;

static constexpr std::uint64_t kMaxAnswerBytes = 1ULL << 40;

/// TCP keep-alive: the idle time before the first probe, and the interval
/// between probes.
static constexpr int kKeepAliveIdleSeconds = 1;
static constexpr int kKeepAliveIntervalSeconds = 1;

/// How long sent data or keep-alive probes may remain unacknowledged before the
/// kernel closes the connection.
static constexpr int kUnacknowledgedTimeoutMs = 3000;

template<typename Number>
static auto ParseNumber(beast::string_view aText, Number aDefault,
                        int aBase = 10) -> Number
{
  Number number = aDefault;
  std::from_chars(aText.data(), aText.data() + aText.size(), number, aBase);
  return number;
}

namespace {

class HttpConnection : public TargetConnection
{
public:
  explicit HttpConnection(beast::tcp_stream aStream)
    : m_stream(std::move(aStream))
  {
  }

  auto Send(const TargetCall& aCall, std::error_code& aError)
    -> awaitable<void> override
  {
    http::request<http::string_body> message;
    message.method(http::verb::post);
    message.target("/work/" + aCall.work);
    message.version(11);
    message.set(http::field::host, "target");
    message.set("X-Request-Id", aCall.requestId);
    message.set("X-Plan", aCall.plan);
    const auto remaining =
      std::chrono::duration_cast<Milliseconds>(aCall.deadline - Clock::now());
    message.set("X-Deadline-Ms", std::to_string(remaining.count()));
    if (aCall.offset > 0) {
      message.set(http::field::range,
                  "bytes=" + std::to_string(aCall.offset) + "-");
    }
    message.body() = aCall.body;
    message.prepare_payload();
    m_parser.emplace();
    m_parser->body_limit(kMaxAnswerBytes);
    m_stream.expires_at(aCall.deadline);
    boost::system::error_code failure;
    co_await http::async_write(m_stream, message, RedirectError(failure));
    aError = ToTargetError(failure);
  }

  auto ReadHead(std::error_code& aError) -> awaitable<TargetHead> override
  {
    boost::system::error_code failure;
    co_await http::async_read_header(m_stream, m_buffer, *m_parser,
                                     RedirectError(failure));
    TargetHead head;
    aError = ToTargetError(failure);
    if (aError) {
      co_return head;
    }
    const auto& message = m_parser->get();
    head.status = message.result_int();
    head.notRun = head.status == 503;
    head.draining = message["X-Draining"] == "1";
    head.retryAfterMs =
      ParseNumber<std::uint32_t>(message["X-Retry-After-Ms"], 0);
    const auto etag = message[http::field::etag];
    head.tag = std::hash<std::string_view>()({ etag.data(), etag.size() });
    if (head.status == 206) {
      // The format is "bytes FIRST-LAST/LENGTH".
      const auto range = message[http::field::content_range];
      const auto space = range.find(' ');
      const auto slash = range.find('/');
      if (space == range.npos || slash == range.npos) {
        aError = TargetError::Malformed;
        co_return head;
      }
      head.offset = ParseNumber<std::uint64_t>(range.substr(space + 1), 0);
      head.length = ParseNumber<std::uint64_t>(range.substr(slash + 1), 0);
      head.status = 200;
    } else if (m_parser->content_length()) {
      head.length = *m_parser->content_length();
    }
    co_return head;
  }

  auto ReadSome(char* aData, std::size_t aSize, std::error_code& aError)
    -> awaitable<std::size_t> override
  {
    aError.clear();
    std::size_t bytesRead = 0;
    while (bytesRead == 0 && !m_parser->is_done()) {
      auto& body = m_parser->get().body();
      body.data = aData;
      body.size = aSize;
      body.more = true;
      boost::system::error_code failure;
      co_await http::async_read_some(m_stream, m_buffer, *m_parser,
                                     RedirectError(failure));
      if (failure == http::error::need_buffer) {
        failure = {};
      }
      aError = ToTargetError(failure);
      if (aError) {
        co_return 0;
      }
      bytesRead = aSize - body.size;
    }
    if (m_parser->is_done()) {
      lastSuccess = Clock::now();
    }
    co_return bytesRead;
  }

  auto Probe(Milliseconds aTimeout, std::error_code& aError)
    -> awaitable<void> override
  {
    http::request<http::empty_body> message(http::verb::get, "/health", 11);
    message.set(http::field::host, "target");
    m_stream.expires_after(aTimeout);
    boost::system::error_code failure;
    co_await http::async_write(m_stream, message, RedirectError(failure));
    http::response_parser<http::string_body> parser;
    if (!failure) {
      co_await http::async_read(m_stream, m_buffer, parser,
                                RedirectError(failure));
    }
    aError = ToTargetError(failure);
    if (aError) {
      co_return;
    }
    if (!parser.keep_alive()) {
      aError = TargetError::Lost;
      co_return;
    }
    lastSuccess = Clock::now();
  }

  auto Reusable() const -> bool override
  {
    return m_parser && m_parser->is_done() && m_parser->keep_alive() &&
           m_stream.socket().is_open();
  }

  auto Close() -> void override { m_stream.close(); }

private:
  static auto ToTargetError(const boost::system::error_code& aFailure)
    -> std::error_code
  {
    if (!aFailure) {
      return {};
    }
    if (aFailure == beast::error::timeout) {
      return TargetError::Timeout;
    }
    const bool isHttpError =
      aFailure.category() ==
      http::make_error_code(http::error::bad_version).category();
    const bool connectionEnded = aFailure == http::error::end_of_stream ||
                                 aFailure == http::error::partial_message;
    return isHttpError && !connectionEnded ? TargetError::Malformed
                                           : TargetError::Lost;
  }

  beast::tcp_stream m_stream;
  beast::flat_buffer m_buffer;
  std::optional<http::response_parser<http::buffer_body>> m_parser;
};

/// Makes the kernel close connections whose peer no longer acknowledges. A
/// target that takes long to process a request still acknowledges at the TCP
/// level, so its connection stays open.
auto EnableKeepAlive(int aSocket) -> void
{
  const int on = 1;
  ::setsockopt(aSocket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  ::setsockopt(aSocket, IPPROTO_TCP, TCP_KEEPIDLE, &kKeepAliveIdleSeconds,
               sizeof kKeepAliveIdleSeconds);
  ::setsockopt(aSocket, IPPROTO_TCP, TCP_KEEPINTVL, &kKeepAliveIntervalSeconds,
               sizeof kKeepAliveIntervalSeconds);
  ::setsockopt(aSocket, IPPROTO_TCP, TCP_USER_TIMEOUT,
               &kUnacknowledgedTimeoutMs, sizeof kUnacknowledgedTimeoutMs);
}

class HttpTransport : public TargetTransport
{
public:
  explicit HttpTransport(asio::io_context& aContext)
    : m_context(aContext)
  {
  }

  auto Connect(std::string aAddress, Milliseconds aTimeout,
               std::error_code& aError)
    -> awaitable<std::unique_ptr<TargetConnection>> override
  {
    const auto endpoint = ParseTcpEndpoint(aAddress, aError);
    if (aError) {
      co_return nullptr;
    }
    beast::tcp_stream stream(m_context);
    stream.expires_after(aTimeout);
    boost::system::error_code failure;
    co_await stream.async_connect(endpoint, RedirectError(failure));
    if (failure) {
      aError = TargetError::Connect;
      co_return nullptr;
    }
    stream.socket().set_option(Tcp::no_delay(true), failure);
    EnableKeepAlive(stream.socket().native_handle());
    auto connection = std::make_unique<HttpConnection>(std::move(stream));
    connection->lastSuccess = Clock::now();
    co_return connection;
  }

private:
  asio::io_context& m_context;
};

const Registration<TransportRegistry, HttpTransport> kRegistration("http1");

} // namespace

} // namespace bramleylock::target
