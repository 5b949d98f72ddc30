// The state that this balancer keeps of one target host.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "bramleylock/Target/TargetTransport.h"

namespace bramleylock::target {

struct Target
{
  std::string address;
  std::string service;
  std::string failureDomain;
  /// The platform's VM list marks the target as leaving.
  bool leaving = false;
  std::uint32_t slots = 1;
  /// Slots of the target that are reserved for this balancer.
  std::uint32_t ownSlots = 0;
  std::uint32_t inFlight = 0;
  std::uint32_t peersInFlight = 0;
  std::uint32_t consecutiveFailures = 0;
  Clock::time_point ejectedUntil{};
  /// The number of requests by which the target has received less than its
  /// share of this balancer's work; negative if it has received more.
  double credit = 0;
  /// The fraction of its full share that the target gets, which shed requests
  /// reduce.
  double shedFactor = 1;
  /// When the target was added or its last ejection ends.
  Clock::time_point warmUpStart{};
  Clock::time_point lastAnswered{};
  /// Until when the target is considered draining because of its own answers,
  /// of this balancer's probes, and of reports by peers.
  Clock::time_point drainingUntil{};
  Clock::time_point probeDrainingUntil{};
  Clock::time_point peerDrainingUntil{};
  /// Until when the target is considered unhealthy because of a probe.
  Clock::time_point unhealthyUntil{};
  /// The number of connections that this balancer may have open to the target,
  /// and a temporary lower limit derived from refused connections.
  std::uint32_t connectionShare = 1;
  std::uint32_t observedConnectionLimit = 1;
  Clock::time_point observedLimitUntil{};
  std::vector<std::shared_ptr<TargetConnection>> idleConnections;
};

/// The fraction of its full share of work that aTarget gets: 1 unless it is
/// warming up, has shed requests, or was found unhealthy and has not answered
/// recently.
auto FitnessOf(const Target& aTarget, Clock::time_point aNow) -> double;

/// The number of connections that may be open to aTarget now.
auto ConnectionLimitOf(const Target& aTarget, Clock::time_point aNow)
  -> std::uint32_t;

/// The number of connections to aTarget that balancer aSelf may open when
/// aLimit connections are divided among aBalancers balancers without
/// coordination. If there are more balancers than connections, a hash assigns
/// one connection to some of them and none to the others.
auto ConnectionShare(std::uint32_t aLimit, std::size_t aBalancers,
                     const std::string& aSelf, const std::string& aTarget)
  -> std::uint32_t;

/// Counts one request in flight at a target during the lifetime of the object.
class InFlightGuard
{
public:
  InFlightGuard() = default;
  explicit InFlightGuard(std::shared_ptr<Target> aTarget);
  InFlightGuard(InFlightGuard&& aOther) noexcept = default;
  auto operator=(InFlightGuard&& aOther) noexcept -> InFlightGuard&;
  ~InFlightGuard();

private:
  std::shared_ptr<Target> m_target;
};

} // namespace bramleylock::target
