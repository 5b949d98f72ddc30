// Limits the requests to targets that are warming up. Independent of sockets
// and clocks.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "bramleylock/Forward/TargetDirectory.h"

namespace bramleylock::forward {

/// By how much the requests to one target in one second may exceed the limit
/// of its service: limit * factor + requests.
struct WarmUpTolerance
{
  double factor = 1;
  double requests = 0;
};

/// The balancers of this balancer's failure domain, as far as it knows them.
struct DomainBalancers
{
  std::string failureDomain;
  std::string self;
  /// Addresses of the reachable ones, including this one.
  std::vector<std::string> addresses;
  /// Number of balancers that the failure domain usually has; 0 if unknown.
  std::size_t expected = 0;

  auto operator==(const DomainBalancers&) const -> bool = default;
};

/// Shares the limit of each target that is warming up among a few balancers,
/// its owners, without messages: all balancers of the target's failure domain
/// select the same owners by rendezvous hashing. Other balancers open no flows
/// to the target until it has warmed up.
class WarmUpLimits
{
public:
  explicit WarmUpLimits(WarmUpTolerance aTolerance);

  auto SetBalancers(DomainBalancers aBalancers) -> void;

  /// Returns whether a flow may be opened to aTarget, whose service allows
  /// aRequestsPerSecond to each target that is warming up; 0 for no limit.
  auto MayOpenFlow(const DirectoryEntry& aTarget, double aRequestsPerSecond,
                   Clock::time_point aNow) -> bool;

  /// Counts a request to aTarget, on a new or on an open flow.
  auto RecordRequest(const DirectoryEntry& aTarget, double aRequestsPerSecond,
                     Clock::time_point aNow) -> void;

  /// Discards what is known of targets that got no request for a while.
  auto Expire(Clock::time_point aNow) -> void;

private:
  /// Number of requests that may be sent now; negative after requests on open
  /// flows, which are never held back.
  struct Allowance
  {
    double requests = 0;
    Clock::time_point at{};
    /// Requests per second that this balancer may send; empty if the balancers
    /// changed.
    std::optional<double> rate;
  };

  auto OwnRate(const DirectoryEntry& aTarget, double aRequestsPerSecond) const
    -> double;
  auto AllowanceOf(const DirectoryEntry& aTarget, double aRequestsPerSecond,
                   Clock::time_point aNow) -> Allowance&;

  WarmUpTolerance m_tolerance;
  DomainBalancers m_balancers;
  /// By the id of the target.
  std::map<std::string, Allowance> m_allowances;
};

} // namespace bramleylock::forward
