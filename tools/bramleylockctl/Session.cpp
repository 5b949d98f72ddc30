// Calls to the administration API.

#include "tools/bramleylockctl/Session.h"

#include "bramleylock/Http/SyncFetch.h"

#include <fmt/format.h>

#include <iostream>

namespace bramleylock::ctl {

using nlohmann::json;

/// Hint for a call that failed although the server was reached, since client
/// and server may disagree on TLS.
static auto Hint(const Session& aSession, std::error_code aError) -> std::string
{
  const bool reached = aError != std::errc::connection_refused &&
                       aError != std::errc::network_unreachable &&
                       aError != std::errc::host_unreachable;
  if (!reached) {
    return "";
  }
  return aSession.tls ? " (over TLS; check that the server uses TLS, that its "
                        "certificate names this address, and that the issuer "
                        "is in the --ca file)"
                      : " (over plain HTTP; a server with TLS needs --ca FILE)";
}

auto Call(const Session& aSession, const std::string& aServer,
          const std::string& aMethod, const std::string& aTarget,
          const std::string& aBody, json& aAnswer, Milliseconds aTimeout)
  -> unsigned
{
  http::Request request;
  request.method = aMethod;
  request.target = aTarget;
  request.body = aBody;
  request.headers["Authorization"] = "Bearer " + aSession.token;
  std::error_code error;
  const auto reply =
    http::SyncFetch(aServer, std::move(request), aTimeout, error, aSession.tls);
  if (error) {
    aAnswer = { { "error", error.message() },
                { "detail", aServer + Hint(aSession, error) } };
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
  return Failed;
}

auto ReadLists(const Session& aSession, json& aAnswer) -> bool
{
  for (const auto& server : aSession.servers) {
    if (Call(aSession, server, "GET", "/lists", "", aAnswer) == 200) {
      return true;
    }
  }
  return false;
}

auto PrintEach(const Session& aSession, const char* aMethod, const char* aPath)
  -> int
{
  int code = Success;
  for (const auto& server : aSession.servers) {
    json answer;
    const auto status = Call(aSession, server, aMethod, aPath, "", answer);
    if (status < 200 || status >= 300) {
      code = Failed;
    }
    if (aSession.json) {
      std::cout << json{ { "server", server }, { "answer", answer } }.dump()
                << "\n";
    } else {
      std::cout << server << " " << answer.dump(2) << "\n";
    }
  }
  return code;
}

} // namespace bramleylock::ctl
