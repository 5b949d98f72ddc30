// Probes of the targets' health endpoints.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "bramleylock/Support/Asio.h"
#include "bramleylock/Target/TargetTable.h"

namespace bramleylock::target {

/// Addresses of the balancers by failure domain, this one among them.
using BalancersByDomain = std::map<std::string, std::vector<std::string>>;

/// Whether aSelf is one of the balancers that probe aTarget: the few that rank
/// highest by a hash among those of the target's failure domain.
auto IsProber(const BalancersByDomain& aBalancers, const std::string& aSelf,
              const Target& aTarget) -> bool;

/// Probes the targets that fall to this balancer. What it finds are hints.
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
