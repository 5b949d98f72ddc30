// Timeouts of HTTP calls whose replies arrive slowly.

#include "bramleylock/Http/Http.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <criterion/criterion.h>

using namespace bramleylock;

namespace {

constexpr Milliseconds kPieceInterval{ 40 };

/// Server that sends a reply in pieces, one each kPieceInterval.
struct SlowServer
{
  /// aSent of aPieces pieces are sent; then the connection stays silent.
  SlowServer(std::size_t aPieces, std::size_t aSent)
    : pieces(aPieces)
    , sent(aSent)
  {
    Spawn(context, "serve", Serve());
  }

  auto Serve() -> awaitable<void>
  {
    boost::system::error_code failure;
    auto socket = co_await acceptor.async_accept(RedirectError(failure));
    std::string request;
    co_await asio::async_read_until(socket, asio::dynamic_buffer(request),
                                    "\r\n\r\n", RedirectError(failure));
    std::string text =
      "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(pieces * 10) +
      "\r\n\r\n";
    for (std::size_t piece = 0; piece < sent; ++piece) {
      text += "0123456789";
      co_await asio::async_write(socket, asio::buffer(text),
                                 RedirectError(failure));
      text.clear();
      co_await Sleep(kPieceInterval);
    }
    co_await Sleep(Milliseconds(5000));
  }

  auto Fetch(http::Request aRequest, Milliseconds aTimeout) -> http::Reply
  {
    http::Reply reply;
    asio::co_spawn(
      context,
      [&]() -> awaitable<void> {
        reply = co_await http::Fetch(acceptor.local_endpoint(), aRequest,
                                     aTimeout, error);
        context.stop();
      },
      asio::detached);
    context.run();
    return reply;
  }

  asio::io_context context{ 1 };
  Tcp::acceptor acceptor{ context, { asio::ip::make_address("127.0.0.1"), 0 } };
  std::size_t pieces;
  std::size_t sent;
  std::error_code error;
};

} // namespace

static auto WithProgress(Milliseconds aProgress, Milliseconds aTransfer)
  -> http::Request
{
  http::Request request;
  request.progressTimeout = aProgress;
  request.transferTimeout = aTransfer;
  return request;
}

// Guards against a long response on a slow link that is taken for a lost
// server: readers gave up and reported the store lost while it was answering.
Test(Fetch, SlowReplyIsReadToItsEnd)
{
  SlowServer server(10, 10);
  const auto startedAt = Clock::now();
  const auto reply = server.Fetch(
    WithProgress(Milliseconds(200), Milliseconds(5000)), Milliseconds(200));
  cr_assert(!server.error);
  cr_assert(reply.body.size() == 100);
  cr_assert(reply.firstByteAt >= startedAt);
  cr_assert(reply.firstByteAt + 5 * kPieceInterval < Clock::now());
}

// Guards against calls that never end because the server stopped in the middle
// of its reply.
Test(Fetch, ReplyThatStopsFailsAfterTheProgressTimeout)
{
  SlowServer server(10, 3);
  const auto startedAt = Clock::now();
  server.Fetch(WithProgress(Milliseconds(200), Milliseconds(4000)),
               Milliseconds(1000));
  cr_assert(server.error);
  cr_assert(Clock::now() - startedAt < Milliseconds(2000));
}

// Guards against calls that never end because a few bytes arrive now and then.
Test(Fetch, TransferTimeoutLimitsASlowReply)
{
  SlowServer server(1000, 1000);
  const auto startedAt = Clock::now();
  server.Fetch(WithProgress(Milliseconds(200), Milliseconds(400)),
               Milliseconds(1000));
  cr_assert(server.error);
  cr_assert(Clock::now() - startedAt < Milliseconds(2000));
}

// Guards against other calls that are extended by received bytes.
Test(Fetch, TimeoutWithoutProgressLimitsTheWholeExchange)
{
  SlowServer server(1000, 1000);
  const auto startedAt = Clock::now();
  server.Fetch({}, Milliseconds(400));
  cr_assert(server.error);
  cr_assert(Clock::now() - startedAt < Milliseconds(2000));
}
