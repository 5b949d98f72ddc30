// Assignment of targets to probing balancers, and the probes themselves.

#include "bramleylock/Target/HealthProber.h"

#include "bramleylock/Http/Http.h"
#include "bramleylock/Support/Json.h"
#include "bramleylock/Support/SipHash.h"

#include <algorithm>

namespace bramleylock::target {

static constexpr Milliseconds kProbeInterval{ 1000 };
static constexpr Milliseconds kProbeTimeout{ 500 };

/// Number of balancers that probe each target. Three tolerate one that is
/// partitioned and another one with a wrong result.
static constexpr std::size_t kProbersPerTarget = 3;

/// The ranks must be the same on balancers of different builds.
static auto RankOf(const std::string& aBalancer, const std::string& aTarget)
  -> std::uint64_t
{
  return SipHash(aBalancer + "|" + aTarget);
}

/// The balancers among which the probers of aTarget are chosen: those of its
/// failure domain, or all of them if that domain has none.
static auto EligibleProbersOf(const BalancersByDomain& aBalancers,
                              const Target& aTarget) -> std::vector<std::string>
{
  const auto found = aBalancers.find(aTarget.failureDomain);
  if (found != aBalancers.end() && !found->second.empty()) {
    return found->second;
  }
  std::vector<std::string> allBalancers;
  for (const auto& [domain, addresses] : aBalancers) {
    allBalancers.insert(allBalancers.end(), addresses.begin(), addresses.end());
  }
  return allBalancers;
}

auto IsProber(const BalancersByDomain& aBalancers, const std::string& aSelf,
              const Target& aTarget) -> bool
{
  const auto eligible = EligibleProbersOf(aBalancers, aTarget);
  if (std::find(eligible.begin(), eligible.end(), aSelf) == eligible.end()) {
    return false;
  }
  const auto own = RankOf(aSelf, aTarget.address);
  const auto higher = std::count_if(
    eligible.begin(), eligible.end(), [&](const std::string& aOther) {
      return RankOf(aOther, aTarget.address) > own;
    });
  return static_cast<std::size_t>(higher) < kProbersPerTarget;
}

HealthProber::HealthProber(asio::io_context& aContext, TargetTable& aTargets,
                           std::string aSelf)
  : m_context(aContext)
  , m_targets(aTargets)
  , m_self(std::move(aSelf))
{
}

auto HealthProber::Start() -> void
{
  Spawn(m_context, "probe-targets", ProbeLoop());
}

auto HealthProber::SetBalancers(BalancersByDomain aBalancers) -> void
{
  m_balancers = std::move(aBalancers);
}

auto HealthProber::ProbeLoop() -> awaitable<void>
{
  for (;;) {
    for (const auto& [address, target] : m_targets.All()) {
      if (!target->leaving && IsProber(m_balancers, m_self, *target)) {
        Spawn(m_context, "probe", Probe(address));
      }
    }
    co_await Sleep(kProbeInterval);
  }
}

auto HealthProber::Probe(std::string aAddress) -> awaitable<void>
{
  std::error_code error;
  const auto endpoint = ParseTcpEndpoint(aAddress, error);
  http::Request request;
  request.target = "/health";
  const auto reply =
    co_await http::Fetch(endpoint, std::move(request), kProbeTimeout, error);
  const bool draining =
    !error && BooleanField(ParseForeignJson(reply.body), "draining");
  m_targets.RecordProbe(aAddress, !error && reply.status == 200, draining);
}

} // namespace bramleylock::target
