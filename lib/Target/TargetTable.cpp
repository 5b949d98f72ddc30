// The target list, target choice, connection pools and ejection.

#include "bramleylock/Target/TargetTable.h"

#include "bramleylock/Support/Log.h"

#include <algorithm>
#include <cmath>

namespace bramleylock::target {

static constexpr Milliseconds kConnectTimeout{ 500 };
static constexpr Milliseconds kEjectionTime{ 3000 };

/// The ejection time doubles with each further failure, up to this many times.
static constexpr std::uint32_t kMaxEjectionDoublings = 3;

/// Number of consecutive failures after which a target is ejected.
static constexpr std::uint32_t kFailuresToEject = 3;

/// The fraction of a service's targets that may be ejected at the same time;
/// MayEject has an exception for other failure domains. If more targets seem to
/// fail, the cause is more likely this balancer's connectivity.
static constexpr double kMaxEjectedFraction = 0.5;

/// Time constant of the decaying request rates that balancers exchange.
static constexpr double kRateTimeConstantSeconds = 5;

/// Bound on a target's credit in either direction. It keeps a target that
/// becomes available again from receiving a burst of requests.
static constexpr double kMaxCredit = 2;

/// Number of connections that one target accepts from all balancers together.
static constexpr std::uint32_t kMaxTargetConnections = 2000;

/// How long a limit derived from refused connections applies.
static constexpr std::chrono::seconds kObservedLimitLifetime{ 10 };

/// Maximum number of idle connections that are pooled for one target.
static constexpr std::size_t kMaxIdleConnections = 32;

/// Timeout of the probe of an idle connection.
static constexpr Milliseconds kIdleProbeTimeout{ 300 };

/// Changes of Target::shedFactor: the factor applied for each shed request, the
/// increment for each answer, and the minimum, which keeps some requests going
/// to the target so that its recovery is detected.
static constexpr double kShedFactorMultiplier = 0.5;
static constexpr double kShedFactorIncrement = 0.05;
static constexpr double kMinShedFactor = 0.05;

/// How long a target is considered draining after its own answer, a probe, or a
/// report by a peer has said so, and unhealthy after a failed probe.
static constexpr std::chrono::seconds kAnswerDrainingPeriod{ 60 };
static constexpr std::chrono::seconds kProbeDrainingPeriod{ 5 };
static constexpr std::chrono::seconds kPeerDrainingPeriod{ 3 };
static constexpr std::chrono::seconds kProbeUnhealthyPeriod{ 5 };

/// The hedging budget: the hedges earned by each request, and the maximum that
/// can accumulate.
static constexpr double kHedgeTokensPerRequest = 0.05;
static constexpr double kMaxHedgeTokens = 20;

TargetTable::TargetTable(std::string aFailureDomain,
                         std::unique_ptr<TargetTransport> aTransport,
                         std::unique_ptr<TargetChoice> aChoice,
                         Metrics& aMetrics, std::uint64_t aSeed)
  : m_failureDomain(std::move(aFailureDomain))
  , m_transport(std::move(aTransport))
  , m_choice(std::move(aChoice))
  , m_metrics(aMetrics)
  , m_random(aSeed)
  , m_hedgeTokens(kMaxHedgeTokens)
{
}

auto TargetTable::SetTargets(const std::vector<TargetListEntry>& aEntries)
  -> void
{
  // The first list after a start does not tell which targets are new, so none
  // of them is warmed up.
  const bool first = m_targets.empty();
  std::set<std::string> listed;
  for (const auto& entry : aEntries) {
    listed.insert(entry.address);
    auto& target = m_targets[entry.address];
    if (!target) {
      target = std::make_shared<Target>();
      target->address = entry.address;
      target->connectionShare = ConnectionShare(
        kMaxTargetConnections, m_balancerCount, m_self, entry.address);
      if (!first) {
        target->warmUpStart = Clock::now();
      }
    }
    target->service = entry.service;
    target->failureDomain = entry.failureDomain;
    target->leaving = entry.leaving;
    const auto slots = m_slots.find(entry.service);
    target->slots = slots == m_slots.end() ? 1 : slots->second;
  }
  // Requests in progress hold a shared reference to their target.
  std::erase_if(m_targets, [&listed](const auto& aEntry) {
    return !listed.contains(aEntry.first);
  });
  m_byService.clear();
  for (const auto& [address, target] : m_targets) {
    m_byService[target->service].push_back(target);
  }
}

auto TargetTable::TargetsOf(const std::string& aService) const
  -> const std::vector<std::shared_ptr<Target>>&
{
  static const std::vector<std::shared_ptr<Target>> none;
  const auto found = m_byService.find(aService);
  return found == m_byService.end() ? none : found->second;
}

auto TargetTable::SetSlots(const std::string& aService, std::uint32_t aSlots)
  -> void
{
  m_slots[aService] = aSlots;
  for (const auto& target : TargetsOf(aService)) {
    target->slots = aSlots;
  }
}

auto TargetTable::SetPeersInFlight(
  const std::map<std::string, std::uint32_t>& aCounts) -> void
{
  for (auto& [address, target] : m_targets) {
    const auto found = aCounts.find(address);
    target->peersInFlight = found == aCounts.end() ? 0 : found->second;
  }
}

auto TargetTable::SetOwnSlots(
  const std::map<std::string, std::uint32_t>& aCounts) -> void
{
  for (auto& [address, target] : m_targets) {
    const auto found = aCounts.find(address);
    target->ownSlots = found == aCounts.end() ? 0 : found->second;
  }
}

auto TargetTable::IsUsable(const Target& aTarget,
                           const std::set<std::string>& aTried) const -> bool
{
  const auto now = Clock::now();
  return !aTarget.leaving && aTarget.drainingUntil <= now &&
         aTarget.inFlight < ConnectionLimitOf(aTarget, now) &&
         !aTried.contains(aTarget.address);
}

auto TargetTable::SetDemand(std::map<std::string, DomainShares> aDemand) -> void
{
  m_demand = std::move(aDemand);
}

static auto Decay(Clock::time_point aSince, Clock::time_point aNow) -> double
{
  const std::chrono::duration<double> passed = aNow - aSince;
  return std::exp(-passed.count() / kRateTimeConstantSeconds);
}

auto TargetTable::CountChoice(const std::string& aService) -> void
{
  auto& rate = m_rates[aService];
  const auto now = Clock::now();
  rate.perSecond =
    rate.perSecond * Decay(rate.at, now) + 1 / kRateTimeConstantSeconds;
  rate.at = now;
  m_hedgeTokens =
    std::min(m_hedgeTokens + kHedgeTokensPerRequest, kMaxHedgeTokens);
}

auto TargetTable::TakeHedge() -> bool
{
  if (m_hedgeTokens < 1) {
    m_metrics.Add(Counter::RetryBudgetEmpty);
    return false;
  }
  m_hedgeTokens -= 1;
  return true;
}

auto TargetTable::SetBalancerCount(std::size_t aBalancerCount,
                                   const std::string& aSelf) -> void
{
  m_balancerCount = aBalancerCount;
  m_self = aSelf;
  for (const auto& [address, target] : m_targets) {
    target->connectionShare =
      ConnectionShare(kMaxTargetConnections, aBalancerCount, aSelf, address);
  }
}

auto TargetTable::RecordProbe(const std::string& aAddress, bool aHealthy,
                              bool aDraining) -> void
{
  const auto found = m_targets.find(aAddress);
  if (found == m_targets.end()) {
    return;
  }
  const auto now = Clock::now();
  auto& target = *found->second;
  target.unhealthyUntil = aHealthy ? now : now + kProbeUnhealthyPeriod;
  target.probeDrainingUntil = aDraining ? now + kProbeDrainingPeriod : now;
}

auto TargetTable::RecordDraining(const std::shared_ptr<Target>& aTarget) -> void
{
  aTarget->drainingUntil = Clock::now() + kAnswerDrainingPeriod;
}

auto TargetTable::DrainingTargets() const -> std::vector<std::string>
{
  const auto now = Clock::now();
  std::vector<std::string> draining;
  for (const auto& [address, target] : m_targets) {
    if (target->drainingUntil > now || target->probeDrainingUntil > now) {
      draining.push_back(address);
    }
  }
  return draining;
}

auto TargetTable::RecordPeersDraining(
  const std::vector<std::string>& aAddresses) -> void
{
  const auto until = Clock::now() + kPeerDrainingPeriod;
  for (const auto& address : aAddresses) {
    const auto found = m_targets.find(address);
    if (found != m_targets.end()) {
      found->second->peerDrainingUntil = until;
    }
  }
}

auto TargetTable::RequestRates() const -> std::map<std::string, double>
{
  const auto now = Clock::now();
  std::map<std::string, double> rates;
  for (const auto& [service, rate] : m_rates) {
    rates[service] = rate.perSecond * Decay(rate.at, now);
  }
  return rates;
}

auto TargetTable::MakeCandidates(
  const std::string& aService,
  const std::vector<std::shared_ptr<Target>>& aTargets)
  -> std::vector<Candidate>
{
  const auto now = Clock::now();
  DomainShares supply;
  for (const auto& target : aTargets) {
    supply[target->failureDomain] += target->slots * FitnessOf(*target, now);
  }
  auto shares = SpillShares(m_demand[aService], supply, m_failureDomain);
  std::vector<Candidate> candidates;
  candidates.reserve(aTargets.size());
  for (const auto& target : aTargets) {
    const auto& domain = target->failureDomain;
    const double fitness = FitnessOf(*target, now);
    const double share =
      shares[domain] * target->slots * fitness / supply[domain];
    target->credit =
      std::clamp(target->credit + share, -kMaxCredit, kMaxCredit);
    candidates.push_back({ target->inFlight, target->peersInFlight,
                           target->slots, fitness, domain == m_failureDomain,
                           share, target->credit, target->ownSlots });
  }
  return candidates;
}

auto TargetTable::Pick(const std::string& aService,
                       const std::vector<std::shared_ptr<Target>>& aTargets)
  -> std::shared_ptr<Target>
{
  if (aTargets.empty()) {
    return nullptr;
  }
  const auto candidates = MakeCandidates(aService, aTargets);
  const auto& chosen = aTargets[m_choice->Pick(candidates, m_random)];
  chosen->credit -= 1;
  return chosen;
}

auto TargetTable::Choose(const std::string& aService,
                         const std::set<std::string>& aTried)
  -> std::shared_ptr<Target>
{
  const auto now = Clock::now();
  std::vector<std::shared_ptr<Target>> usable;
  std::vector<std::shared_ptr<Target>> lastResort;
  for (const auto& target : TargetsOf(aService)) {
    if (!IsUsable(*target, aTried)) {
      continue;
    }
    const bool suspect = target->ejectedUntil > now ||
                         target->probeDrainingUntil > now ||
                         target->peerDrainingUntil > now;
    auto& list = suspect ? lastResort : usable;
    list.push_back(target);
  }
  CountChoice(aService);
  return Pick(aService, usable.empty() ? lastResort : usable);
}

auto TargetTable::Connect(std::shared_ptr<Target> aTarget,
                          Milliseconds aMaxSinceSuccess,
                          std::error_code& aError)
  -> awaitable<std::shared_ptr<TargetConnection>>
{
  const auto oldest = Clock::now() - aMaxSinceSuccess;
  while (!aTarget->idleConnections.empty()) {
    auto connection = std::move(aTarget->idleConnections.back());
    aTarget->idleConnections.pop_back();
    aError.clear();
    if (connection->lastSuccess >= oldest) {
      co_return connection;
    }
    co_await connection->Probe(kIdleProbeTimeout, aError);
    if (!aError) {
      co_return connection;
    }
    connection->Close();
    if (aError == TargetError::Timeout) {
      // The other idle connections are probably dead as well: whatever dropped
      // the state of this one is likely to have dropped theirs.
      m_metrics.Add(Counter::TargetSilent);
      aTarget->idleConnections.clear();
    }
  }
  aError.clear();
  std::shared_ptr<TargetConnection> newConnection =
    co_await m_transport->Connect(aTarget->address, kConnectTimeout, aError);
  co_return newConnection;
}

auto TargetTable::Return(const std::shared_ptr<Target>& aTarget,
                         std::shared_ptr<TargetConnection> aConnection) -> void
{
  const auto open = aTarget->idleConnections.size() + aTarget->inFlight;
  if (aConnection->Reusable() &&
      aTarget->idleConnections.size() < kMaxIdleConnections &&
      open <= ConnectionLimitOf(*aTarget, Clock::now())) {
    aTarget->idleConnections.push_back(std::move(aConnection));
  }
}

/// Whether aTarget may be ejected in addition to those that already are.
/// Targets of other failure domains may all be ejected as long as at most half
/// of the targets of the own domain are, because a whole failure domain can
/// become unreachable.
auto TargetTable::MayEject(const Target& aTarget, Clock::time_point aNow) const
  -> bool
{
  std::size_t ownDomain = 0;
  std::size_t ownDomainEjected = 0;
  std::size_t total = 0;
  std::size_t ejected = 0;
  for (const auto& target : TargetsOf(aTarget.service)) {
    const bool inOwnDomain = target->failureDomain == m_failureDomain;
    const std::size_t isEjected = target->ejectedUntil > aNow ? 1 : 0;
    ++total;
    ejected += isEjected;
    ownDomain += inOwnDomain ? 1 : 0;
    ownDomainEjected += inOwnDomain ? isEjected : 0;
  }
  const bool inOtherDomain = aTarget.failureDomain != m_failureDomain;
  return ejected + 1 <= total * kMaxEjectedFraction ||
         (inOtherDomain && ownDomain > 0 &&
          ownDomainEjected <= ownDomain * kMaxEjectedFraction);
}

auto TargetTable::Report(const std::shared_ptr<Target>& aTarget,
                         TargetOutcome aOutcome) -> void
{
  const auto now = Clock::now();
  if (aOutcome == TargetOutcome::Answered) {
    aTarget->consecutiveFailures = 0;
    aTarget->lastAnswered = now;
    aTarget->shedFactor =
      std::min(1.0, aTarget->shedFactor + kShedFactorIncrement);
    return;
  }
  if (aOutcome == TargetOutcome::Shed) {
    aTarget->consecutiveFailures = 0;
    aTarget->shedFactor =
      std::max(kMinShedFactor, aTarget->shedFactor * kShedFactorMultiplier);
    return;
  }
  aTarget->idleConnections.clear();
  if (aOutcome == TargetOutcome::ConnectFailed && aTarget->inFlight > 1) {
    // The target serves other connections of this balancer but accepts no more
    // of them.
    aTarget->observedConnectionLimit = aTarget->inFlight - 1;
    aTarget->observedLimitUntil = now + kObservedLimitLifetime;
  }
  if (++aTarget->consecutiveFailures < kFailuresToEject ||
      aTarget->ejectedUntil > now || !MayEject(*aTarget, now)) {
    return;
  }
  const auto doublings = std::min(
    aTarget->consecutiveFailures - kFailuresToEject, kMaxEjectionDoublings);
  aTarget->ejectedUntil = now + kEjectionTime * (1U << doublings);
  aTarget->warmUpStart = aTarget->ejectedUntil;
  m_metrics.Add(Counter::TargetEjected);
  LogWarning("target-ejected", { { "target", aTarget->address } });
}

auto TargetTable::All() const
  -> const std::map<std::string, std::shared_ptr<Target>>&
{
  return m_targets;
}

auto TargetTable::SlotsOf(const std::string& aService) const -> std::uint32_t
{
  std::uint32_t slots = 0;
  for (const auto& target : TargetsOf(aService)) {
    slots += target->leaving ? 0 : target->slots;
  }
  return slots;
}

} // namespace bramleylock::target
