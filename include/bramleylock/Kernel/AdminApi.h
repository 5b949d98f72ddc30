// The administration API over HTTP and JSON (docs/ADMIN-API.md).
#pragma once

#include <functional>
#include <memory>
#include <string>

#include <nlohmann/json_fwd.hpp>

#include "bramleylock/Admission/AdmissionPolicy.h"
#include "bramleylock/Flow/Dispatcher.h"
#include "bramleylock/Http/Http.h"
#include "bramleylock/Kernel/TokenKeyManager.h"
#include "bramleylock/Lists/ListEditor.h"
#include "bramleylock/Lists/ListReplica.h"
#include "bramleylock/Peer/Membership.h"
#include "bramleylock/Peer/PeerHub.h"

namespace bramleylock::kernel {

class PlatformWatcher;

/// The balancer's components that the API reports on and controls.
struct AdminComponents
{
  Metrics& metrics;
  lists::ListReplica& lists;
  peer::Membership& members;
  target::TargetTable& targets;
  flow::Dispatcher& dispatcher;
  lists::ListEditor& editor;
  const PlatformWatcher& watcher;
  admission::AdmissionPolicy& admission;
  peer::PeerHub& hub;
  std::function<void()> drain;
  TokenKeyManager& keys;
};

/// HTTP server of the administration API.
class AdminApi
{
public:
  /// Binds aAddress; throws boost::system::system_error on failure.
  AdminApi(asio::io_context& aContext, const std::string& aAddress,
           http::TlsContext aTls, std::string aToken,
           AdminComponents aComponents);

  auto Address() const -> std::string;

private:
  using RouteHandler =
    awaitable<http::Reply> (AdminApi::*)(const http::Request&);

  auto HandleRequest(const http::Request& aRequest) -> awaitable<http::Reply>;
  auto Authorized(const http::Request& aRequest) const -> bool;
  auto GetHealth(const http::Request& aRequest) -> awaitable<http::Reply>;
  auto GetStatus(const http::Request& aRequest) -> awaitable<http::Reply>;
  auto GetTargets(const http::Request& aRequest) -> awaitable<http::Reply>;
  auto GetCounters(const http::Request& aRequest) -> awaitable<http::Reply>;
  auto GetMetrics(const http::Request& aRequest) -> awaitable<http::Reply>;
  auto GetLists(const http::Request& aRequest) -> awaitable<http::Reply>;
  auto PutLists(const http::Request& aRequest) -> awaitable<http::Reply>;
  auto PatchLists(const http::Request& aRequest) -> awaitable<http::Reply>;
  auto GetHistory(const http::Request& aRequest) -> awaitable<http::Reply>;
  auto GetEdit(const http::Request& aRequest) -> awaitable<http::Reply>;
  auto SubmitEdit(lists::Edit aEdit, const http::Request& aRequest)
    -> awaitable<http::Reply>;
  auto NotReadyReason() const -> std::string;
  auto PostDrain(const http::Request& aRequest) -> awaitable<http::Reply>;
  auto PostRotateKeys(const http::Request& aRequest) -> awaitable<http::Reply>;

  std::string m_token;
  AdminComponents m_components;
  http::Server m_server;
};

auto ReplyJson(unsigned aStatus, const nlohmann::json& aBody) -> http::Reply;

auto ReplyError(unsigned aStatus, const std::string& aError,
                const std::string& aDetail) -> http::Reply;

} // namespace bramleylock::kernel
