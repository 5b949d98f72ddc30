// Routes in force: the services to which the flows to an address may be
// forwarded.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include <msgpack.hpp>

#include "bramleylock/Forward/Packet.h"
#include "bramleylock/Forward/StoreRevision.h"
#include "bramleylock/Support/Asio.h"
#include "bramleylock/Support/Names.h"

namespace bramleylock::forward {

/// Retry semantics of the requests on the flows of a route.
enum class RequestKind
{
  Idempotent,
  AtMostOnce,
  Download
};

inline constexpr std::array<NameRow<RequestKind>, 3> kRequestKindNames{ {
  { RequestKind::Idempotent, "idempotent" },
  { RequestKind::AtMostOnce, "at-most-once" },
  { RequestKind::Download, "download" },
} };

/// One of the services of a route and its share of the new flows.
struct RouteShare
{
  std::string service;
  std::uint32_t weight = 1;
  MSGPACK_DEFINE_ARRAY(service, weight)

  auto operator==(const RouteShare&) const -> bool = default;
};

struct Route
{
  std::string name;
  std::uint32_t ip = 0;
  std::uint16_t port = 0;
  std::vector<RouteShare> shares;
  std::uint8_t kind = 0;
  /// 0 is the most urgent.
  std::uint32_t urgency = 0;
  std::uint32_t timeoutMs = 0;
  /// Time within which the operators want a request to be answered; 0 if
  /// unknown.
  std::uint32_t responseGoalMs = 0;
  MSGPACK_DEFINE_ARRAY(name, ip, port, shares, kind, urgency, timeoutMs,
                       responseGoalMs)

  auto operator==(const Route&) const -> bool = default;

  auto EndpointAddress() const -> Address { return { ip, port }; }
  auto Kind() const -> RequestKind { return static_cast<RequestKind>(kind); }
};

/// Properties of a service other than its targets.
struct ServiceInfo
{
  std::string name;
  /// HTTP path of the health check of its targets.
  std::string healthPath;
  /// Maximum number of flows of one of its targets; 0 if unknown.
  std::uint32_t maxFlowsPerTarget = 0;
  /// Time after its start in which a target is warming up.
  std::uint32_t warmUpMs = 0;
  /// Requests per second that a target bears while it is warming up, from all
  /// balancers together; 0 for no limit.
  double warmUpRequestsPerSecond = 0;
  MSGPACK_DEFINE_ARRAY(name, healthPath, maxFlowsPerTarget, warmUpMs,
                       warmUpRequestsPerSecond)

  auto operator==(const ServiceInfo&) const -> bool = default;
};

/// One version of the operators' configuration.
struct RouteSet
{
  std::uint64_t version = 0;
  /// Store revision of this configuration.
  StoreRevision revision;
  std::uint32_t idleTimeoutMs = 0;
  std::vector<Route> routes;
  std::vector<ServiceInfo> services;
  MSGPACK_DEFINE_ARRAY(version, revision.number, idleTimeoutMs, routes,
                       services, revision.generation)
};

/// Service that an earlier version of the routes allowed at a route address.
struct FormerShare
{
  std::uint32_t ip = 0;
  std::uint16_t port = 0;
  std::string service;
  /// Time since the first version that did not allow the service any more.
  std::uint32_t ageMs = 0;
  MSGPACK_DEFINE_ARRAY(ip, port, service, ageMs)

  // The check misreads the defaulted operator.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const FormerShare&) const = default;
};

/// Maximum number of former shares that are sent to a peer or recorded in the
/// store: some 100 KB, a tenth of the store's largest value.
inline constexpr std::size_t kMaxFormerShares = 4096;

enum class RouteState
{
  InForce,
  /// The route was part of an earlier version only.
  Removed,
  Unknown
};

/// Looks up routes by address. A version is only replaced by a higher one.
class RouteTable
{
public:
  /// Installs a version. Returns false if the version in force is the same or
  /// higher.
  auto Install(RouteSet aSet, Clock::time_point aNow) -> bool;

  auto StateOf(const Address& aService) const -> RouteState;

  /// Returns the route in force at aService, or null.
  auto Find(const Address& aService) const -> const Route*;

  /// Returns the service for a new flow. The result is the same for every copy
  /// of the flow's first packet on every balancer that has this version.
  auto ServiceFor(const Route& aRoute, const FlowId& aFlow) const
    -> const std::string&;

  /// Returns whether the route at aService allows aTargetService now or allowed
  /// it in an earlier version known to this balancer: open flows keep their
  /// targets.
  auto Allows(const Address& aService, const std::string& aTargetService) const
    -> bool;

  /// Returns whether the version in force names a service, on its own or as the
  /// service of a route, or a route allowed it recently.
  auto NamesService(const std::string& aService) const -> bool;

  /// Returns the services that earlier versions allowed on routes in force and
  /// the version in force does not; the latest kMaxFormerShares.
  auto FormerShares(Clock::time_point aNow) const -> std::vector<FormerShare>;

  /// Adds services that earlier versions allowed, as peers or the store know
  /// them. What this balancer knows itself takes precedence.
  auto AddFormerShares(const std::vector<FormerShare>& aShares,
                       Clock::time_point aNow) -> void;

  /// Returns all services that a route in force allows or allowed recently, for
  /// the routes with more than one of them; at most kMaxFormerShares.
  auto SharesToRecord() const -> std::vector<FormerShare>;

  /// Removes the services that no version has allowed within aKeep; no flow is
  /// older than that.
  auto Expire(Clock::duration aKeep, Clock::time_point aNow) -> void;

  /// Returns the HTTP path of the health check of a service, or an empty
  /// string.
  auto HealthPath(const std::string& aService) const -> std::string;

  /// Returns the maximum number of flows of one target of a service; 0 if
  /// unknown.
  auto MaxFlowsPerTarget(const std::string& aService) const -> std::uint32_t;

  /// Returns the requests per second that a target of a service bears while it
  /// is warming up; 0 for no limit.
  auto WarmUpLimit(const std::string& aService) const -> double;

  /// Returns how long a target of a service warms up after it starts; zero if
  /// the requests to it are not limited meanwhile.
  auto WarmUpTime(const std::string& aService) const -> Milliseconds;

  /// Returns whether any service limits the requests to targets that are
  /// warming up.
  auto HasWarmUpLimits() const -> bool;

  auto Current() const -> const RouteSet&;
  auto InForceSince() const -> Clock::time_point;

private:
  RouteSet m_routeSet;
  Clock::time_point m_installedAt{};
  std::map<Address, std::size_t> m_byAddress;
  std::unordered_map<std::string, std::size_t> m_services;
  std::unordered_set<std::string> m_namedServices;
  /// The time until which a version allowed a service, by route address and
  /// service; the maximum time point while the version in force allows it.
  std::map<Address, std::map<std::string, Clock::time_point>> m_allowedUntil;
  /// The earliest time in m_allowedUntil.
  Clock::time_point m_earliestEnd = Clock::time_point::max();
};

} // namespace bramleylock::forward
