// Periodic probes of the targets' health endpoints.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "bramleylock/Support/Asio.h"
#include "bramleylock/Target/TargetTable.h"

namespace bramleylock::target {

/// Addresses of all balancers, including this one, by failure domain.
using BalancersByDomain = std::map<std::string, std::vector<std::string>>;

/// Whether aSelf is one of the balancers that probe aTarget. These are the few
/// with the highest hash rank (rendezvous hashing) among the balancers of the
/// target's failure domain, or among all balancers if that domain has none.
auto IsProber(const BalancersByDomain& aBalancers, const std::string& aSelf,
              const Target& aTarget) -> bool;

/// Probes the targets that are assigned to this balancer. The results only
/// lower a target's preference; they never exclude it from the choice.
class HealthProber
{
public:
  HealthProber(asio::io_context& aContext, TargetTable& aTargets,
               std::string aSelf);

  auto Start() -> void;

  auto SetBalancers(BalancersByDomain aBalancers) -> void;

private:
  auto ProbeLoop() -> awaitable<void>;
  auto Probe(std::string aAddress) -> awaitable<void>;

  asio::io_context& m_context;
  TargetTable& m_targets;
  std::string m_self;
  BalancersByDomain m_balancers;
};

} // namespace bramleylock::target
