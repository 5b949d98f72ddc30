// Blocking wrapper around the coroutine-based HTTP client.

#include "bramleylock/Http/SyncFetch.h"

namespace bramleylock::http {

static auto FetchInto(Tcp::endpoint aServer, Request aRequest,
                      Milliseconds aTimeout, std::error_code& aError,
                      Reply& aReply, TlsContext aTls) -> awaitable<void>
{
  aReply = co_await Fetch(aServer, std::move(aRequest), aTimeout, aError,
                          std::move(aTls));
}

auto SyncFetch(const std::string& aServer, Request aRequest,
               Milliseconds aTimeout, std::error_code& aError, TlsContext aTls)
  -> Reply
{
  const auto endpoint = ParseTcpEndpoint(aServer, aError);
  Reply reply;
  if (aError) {
    return reply;
  }
  asio::io_context context(1);
  Spawn(context, "fetch",
        FetchInto(endpoint, std::move(aRequest), aTimeout, aError, reply,
                  std::move(aTls)));
  context.run();
  return reply;
}

} // namespace bramleylock::http
