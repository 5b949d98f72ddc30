// The routes in force: which services the flows to an address may go to.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include <msgpack.hpp>

#include "bramleylock/Forward/Packet.h"
#include "bramleylock/Support/Asio.h"
#include "bramleylock/Support/Names.h"

namespace bramleylock::forward {

/// What the requests inside the flows of a route may suffer.
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

/// One of the services of a route, and its part of the new flows.
struct RouteShare
{
  std::string service;
  std::uint32_t weight = 1;
  MSGPACK_DEFINE_ARRAY(service, weight)
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
  MSGPACK_DEFINE_ARRAY(name, ip, port, shares, kind, urgency, timeoutMs)

  auto At() const -> Address { return { ip, port }; }
  auto Kind() const -> RequestKind { return static_cast<RequestKind>(kind); }
};

/// What is known of a service beside its targets.
struct ServiceInfo
{
  std::string name;
  /// Path of its targets' health check.
  std::string healthPath;
  /// Flows that one of its targets holds; 0 when it is not known.
  std::uint32_t mostFlows = 0;
  MSGPACK_DEFINE_ARRAY(name, healthPath, mostFlows)
};

/// One version of the operators' configuration.
struct RouteSet
{
  std::uint64_t version = 0;
  /// The store's revision of it.
  std::uint64_t revision = 0;
  std::uint32_t idleTimeoutMs = 0;
  std::vector<Route> routes;
  std::vector<ServiceInfo> services;
  MSGPACK_DEFINE_ARRAY(version, revision, idleTimeoutMs, routes, services)
};

enum class RouteState
{
  InForce,
  /// An earlier version had it.
  Removed,
  Unknown
};

/// Looks routes up by address. A version is only ever replaced by a higher one.
class RouteTable
{
public:
  /// Takes a version; false when a version at least as high is in force.
  auto Install(RouteSet aSet, Clock::time_point aNow) -> bool;

  auto StateOf(const Address& aService) const -> RouteState;

  /// The route in force at aService, or null.
  auto Find(const Address& aService) const -> const Route*;

  /// The service for a new flow: the same for every copy of its first packet
  /// on every balancer that holds this version.
  auto ServiceFor(const Route& aRoute, const FlowId& aFlow) const
    -> const std::string&;

  /// Whether the route at aService allows aTargetService now or did in a
  /// version that was in force here: open flows stay where they are.
  auto Allows(const Address& aService, const std::string& aTargetService) const
    -> bool;

  /// Forgets what no version allowed within aKeep: no flow is that old.
  auto Expire(Clock::duration aKeep, Clock::time_point aNow) -> void;

  /// Path of the health check of a service, or nothing.
  auto HealthPath(const std::string& aService) const -> std::string;

  /// Flows that one target of a service holds; 0 when it is not known.
  auto MostFlows(const std::string& aService) const -> std::uint32_t;

  auto Current() const -> const RouteSet&;
  auto InForceSince() const -> Clock::time_point;

private:
  RouteSet m_set;
  Clock::time_point m_since{};
  std::map<Address, std::size_t> m_byAddress;
  std::unordered_map<std::string, std::size_t> m_services;
  /// By route and service, until when a version allowed it; the maximum while
  /// one does.
  std::map<Address, std::map<std::string, Clock::time_point>> m_allowed;
  /// The earliest of these times.
  Clock::time_point m_firstEnded = Clock::time_point::max();
};

} // namespace bramleylock::forward
