// Routes of the administration API, except those of the lists.

#include "bramleylock/Kernel/AdminApi.h"

#include "bramleylock/Kernel/PlatformWatcher.h"

#include <nlohmann/json.hpp>

namespace bramleylock::kernel {

using nlohmann::json;

auto ReplyJson(unsigned aStatus, const json& aBody) -> http::Reply
{
  http::Reply reply;
  reply.status = aStatus;
  // Names of peers may be no valid UTF-8.
  reply.body =
    aBody.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
  return reply;
}

auto ReplyError(unsigned aStatus, const std::string& aError,
                const std::string& aDetail) -> http::Reply
{
  return ReplyJson(aStatus, { { "error", aError }, { "detail", aDetail } });
}

static auto ParseAddress(const std::string& aAddress) -> Tcp::endpoint
{
  std::error_code error;
  auto endpoint = ParseTcpEndpoint(aAddress, error);
  assert(!error);
  return endpoint;
}

AdminApi::AdminApi(asio::io_context& aContext, const std::string& aAddress,
                   http::TlsContext aTls, std::string aToken,
                   AdminComponents aComponents)
  : m_token(std::move(aToken))
  , m_components(std::move(aComponents))
  , m_server(
      aContext, ParseAddress(aAddress),
      [this](const http::Request& aRequest) { return HandleRequest(aRequest); },
      std::move(aTls))
{
  m_server.Start();
}

auto AdminApi::Address() const -> std::string
{
  const auto endpoint = m_server.Endpoint();
  return FormatEndpoint(endpoint.address(), endpoint.port());
}

auto AdminApi::Authorized(const http::Request& aRequest) const -> bool
{
  const auto header = aRequest.headers.find("authorization");
  return header != aRequest.headers.end() &&
         ConstantTimeEqual(header->second, "Bearer " + m_token);
}

auto AdminApi::HandleRequest(const http::Request& aRequest)
  -> awaitable<http::Reply>
{
  struct RouteRow
  {
    const char* method;
    const char* path;
    bool unauthenticated;
    RouteHandler handler;
  };
  static const std::array<RouteRow, 12> kRoutes{ {
    { "GET", "/healthz", true, &AdminApi::GetHealth },
    { "GET", "/status", false, &AdminApi::GetStatus },
    { "GET", "/targets", false, &AdminApi::GetTargets },
    { "GET", "/counters", false, &AdminApi::GetCounters },
    { "GET", "/metrics", false, &AdminApi::GetMetrics },
    { "GET", "/lists", false, &AdminApi::GetLists },
    { "PUT", "/lists", false, &AdminApi::PutLists },
    { "PATCH", "/lists", false, &AdminApi::PatchLists },
    { "GET", "/lists/history", false, &AdminApi::GetHistory },
    { "GET", "/lists/edit", false, &AdminApi::GetEdit },
    { "POST", "/drain", false, &AdminApi::PostDrain },
    { "POST", "/keys/rotate", false, &AdminApi::PostRotateKeys },
  } };
  const auto path = http::PathOf(aRequest.target);
  bool isKnownPath = false;
  for (const auto& route : kRoutes) {
    if (path != route.path) {
      continue;
    }
    isKnownPath = true;
    if (aRequest.method != route.method) {
      continue;
    }
    if (!route.unauthenticated && !Authorized(aRequest)) {
      m_components.metrics.Add(Counter::AdminUnauthorized);
      co_return ReplyError(401, "unauthorized",
                           "expected the header 'Authorization: Bearer TOKEN'");
    }
    co_return co_await (this->*route.handler)(aRequest);
  }
  co_return isKnownPath ? ReplyError(405, "method", "not allowed on " + path)
                        : ReplyError(404, "path", "no such path: " + path);
}

/// Why the balancer cannot serve requests yet; empty when it can.
auto AdminApi::NotReadyReason() const -> std::string
{
  const bool lists = m_components.lists.Revision() > 0;
  const bool keys = m_components.keys.NewestKey() > 0;
  if (lists && keys) {
    return {};
  }
  const std::string missing = !lists && !keys ? "no lists and no token keys"
                              : lists         ? "no token keys"
                                              : "no lists";
  const std::string store = m_components.watcher.IsStoreAnswering()
                              ? "the platform's store answers"
                              : "the platform's store does not answer";
  const auto peers = m_components.members.AliveMembers().size();
  return missing + " yet: " + store + ", and " + std::to_string(peers) +
         " peers are reachable";
}

auto AdminApi::GetHealth(const http::Request&) -> awaitable<http::Reply>
{
  const auto why = NotReadyReason();
  const bool draining = m_components.dispatcher.Draining();
  co_return ReplyJson(
    why.empty() && !draining ? 200 : 503,
    { { "ready", why.empty() }, { "draining", draining }, { "why", why } });
}

auto AdminApi::GetStatus(const http::Request&) -> awaitable<http::Reply>
{
  const auto& self = m_components.members.Self();
  json members = json::array();
  for (const auto& member : m_components.members.AllMembers()) {
    members.push_back(
      { { "vm", member.vm },
        { "failure_domain", member.failureDomain },
        { "address", member.address },
        { "state", NameOf(peer::kMemberStateNames, member.state) },
        { "lists_revision", member.latestHeartbeat.listsRevision },
        { "draining", member.latestHeartbeat.draining } });
  }
  co_return ReplyJson(
    200, { { "vm", self.vm },
           { "failure_domain", self.failureDomain },
           { "peer_address", self.address },
           { "incarnation", self.incarnation },
           { "lists_revision", m_components.lists.Revision() },
           { "lists_digest", m_components.lists.Digest() },
           { "watching", m_components.watcher.IsWatching() },
           { "store_answers", m_components.watcher.IsStoreAnswering() },
           { "draining", m_components.dispatcher.Draining() },
           { "newest_key", m_components.keys.NewestKey() },
           { "signing_key", m_components.keys.SigningKey() },
           { "flows", m_components.dispatcher.Flows().Size() },
           { "requests", m_components.dispatcher.Flows().InFlight() },
           { "waiting", m_components.admission.Waiting() },
           { "peer_bytes_sent", m_components.hub.BytesSent() },
           { "peer_bytes_received", m_components.hub.BytesReceived() },
           { "members", members } });
}

auto AdminApi::GetTargets(const http::Request&) -> awaitable<http::Reply>
{
  json rows = json::array();
  const auto now = Clock::now();
  for (const auto& [address, target] : m_components.targets.All()) {
    rows.push_back({ { "address", address },
                     { "service", target->service },
                     { "failure_domain", target->failureDomain },
                     { "leaving", target->leaving },
                     { "slots", target->slots },
                     { "in_flight", target->inFlight },
                     { "peers_in_flight", target->peersInFlight },
                     { "ejected", target->ejectedUntil > now } });
  }
  co_return ReplyJson(200, rows);
}

auto AdminApi::GetCounters(const http::Request&) -> awaitable<http::Reply>
{
  co_return ReplyJson(200, m_components.metrics.NonZeroCounters());
}

auto AdminApi::GetMetrics(const http::Request&) -> awaitable<http::Reply>
{
  const auto& flows = m_components.dispatcher.Flows();
  m_components.metrics.SetGauge("flows_open",
                                static_cast<double>(flows.Size()));
  m_components.metrics.SetGauge("requests_in_flight",
                                static_cast<double>(flows.InFlight()));
  m_components.metrics.SetGauge(
    "requests_waiting", static_cast<double>(m_components.admission.Waiting()));
  m_components.metrics.SetGauge(
    "lists_revision", static_cast<double>(m_components.lists.Revision()));
  http::Reply reply;
  reply.contentType = "text/plain; version=0.0.4";
  reply.body = m_components.metrics.Exposition();
  co_return reply;
}

auto AdminApi::PostDrain(const http::Request&) -> awaitable<http::Reply>
{
  m_components.drain();
  co_return ReplyJson(202, { { "draining", true } });
}

auto AdminApi::PostRotateKeys(const http::Request&) -> awaitable<http::Reply>
{
  std::error_code error;
  const auto key = co_await m_components.keys.Rotate(error);
  if (error) {
    const unsigned status = error == RotationError::StoreFailed ? 503 : 409;
    co_return ReplyError(status, error.message(),
                         "the newest key is " + std::to_string(key));
  }
  co_return ReplyJson(202, { { "key", key } });
}

} // namespace bramleylock::kernel
