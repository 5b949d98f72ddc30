// Calls to the administration API.

#include "tools/bramleylockctl/CommandContext.h"

#include "bramleylock/Http/SyncFetch.h"

#include <fmt/format.h>

#include <iostream>

namespace bramleylock::ctl {

using nlohmann::json;

/// Hint for a call that failed although the server was reached, since client
/// and server may disagree on TLS.
static auto TlsHint(const CommandContext& aContext, std::error_code aError)
  -> std::string
{
  const bool wasReached = aError != std::errc::connection_refused &&
                          aError != std::errc::network_unreachable &&
                          aError != std::errc::host_unreachable;
  if (!wasReached) {
    return "";
  }
  return aContext.tls ? " (over TLS; check that the server uses TLS, that its "
                        "certificate names this address, and that the issuer "
                        "is in the --ca file)"
                      : " (over plain HTTP; a server with TLS needs --ca FILE)";
}

auto CallServer(const CommandContext& aContext, const std::string& aServer,
                const std::string& aMethod, const std::string& aTarget,
                const std::string& aBody, json& aAnswer, Milliseconds aTimeout)
  -> unsigned
{
  http::Request request;
  request.method = aMethod;
  request.target = aTarget;
  request.body = aBody;
  request.headers["Authorization"] = "Bearer " + aContext.token;
  std::error_code error;
  const auto reply =
    http::SyncFetch(aServer, std::move(request), aTimeout, error, aContext.tls);
  if (error) {
    aAnswer = { { "error", error.message() },
                { "detail", aServer + TlsHint(aContext, error) } };
    return 0;
  }
  aAnswer = json::parse(reply.body, nullptr, false);
  if (aAnswer.is_discarded()) {
    aAnswer = reply.body;
  }
  return reply.status;
}

auto PrintError(const json& aAnswer) -> int
{
  fmt::print(stderr, "bramleylockctl: {}: {}\n",
             aAnswer.value("error", "failed"), aAnswer.value("detail", ""));
  return Failure;
}

auto ReadLists(const CommandContext& aContext, json& aAnswer) -> bool
{
  for (const auto& server : aContext.servers) {
    if (CallServer(aContext, server, "GET", "/lists", "", aAnswer) == 200) {
      return true;
    }
  }
  return false;
}

auto PrintFromEachServer(const CommandContext& aContext, const char* aMethod,
                         const char* aPath) -> int
{
  int code = Success;
  for (const auto& server : aContext.servers) {
    json answer;
    const auto status =
      CallServer(aContext, server, aMethod, aPath, "", answer);
    if (status < 200 || status >= 300) {
      code = Failure;
    }
    if (aContext.json) {
      std::cout << json{ { "server", server }, { "answer", answer } }.dump()
                << "\n";
    } else {
      std::cout << server << " " << answer.dump(2) << "\n";
    }
  }
  return code;
}

} // namespace bramleylock::ctl
