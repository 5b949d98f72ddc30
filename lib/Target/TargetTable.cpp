// Target lists, connections, ejection.

#include "bramleylock/Target/TargetTable.h"

#include "bramleylock/Support/Log.h"

#include <algorithm>
#include <cmath>

namespace bramleylock::target {

static constexpr Milliseconds kConnectTimeout{ 500 };
static constexpr Milliseconds kEjection{ 3000 };

/// Failures in a row after which a target is ejected.
static constexpr std::uint32_t kFailuresToEject = 3;

/// The part of a service's targets that may be ejected at the same time. When
/// more look bad, this balancer's view is likelier wrong than the targets.
static constexpr double kEjectedShareLimit = 0.5;

/// How long requests weigh in the rates that balancers tell each other.
static constexpr double kRateSeconds = 5;

/// Requests that a target can be behind or ahead of its share, so that one
/// that comes back is not flooded.
static constexpr double kCreditLimit = 2;

/// Idle connections kept to one target.
static constexpr std::size_t kIdleConnections = 32;

TargetTable::TargetTable(std::string aFailureDomain,
                         std::unique_ptr<TargetTransport> aTransport,
                         std::unique_ptr<TargetChoice> aChoice,
                         Metrics& aMetrics, std::uint64_t aSeed)
  : m_failureDomain(std::move(aFailureDomain))
  , m_transport(std::move(aTransport))
  , m_choice(std::move(aChoice))
  , m_metrics(aMetrics)
  , m_random(aSeed)
{
}

auto TargetTable::SetTargets(const std::vector<TargetHint>& aHints) -> void
{
  std::set<std::string> listed;
  for (const auto& hint : aHints) {
    listed.insert(hint.address);
    auto& target = m_targets[hint.address];
    if (!target) {
      target = std::make_shared<Target>();
      target->address = hint.address;
    }
    target->service = hint.service;
    target->failureDomain = hint.failureDomain;
    target->leaving = hint.leaving;
    const auto slots = m_slots.find(hint.service);
    target->slots = slots == m_slots.end() ? 1 : slots->second;
  }
  // Requests in progress hold their own reference to a target.
  std::erase_if(m_targets, [&listed](const auto& aEntry) {
    return !listed.contains(aEntry.first);
  });
}

auto TargetTable::SetSlots(const std::string& aService, std::uint32_t aSlots)
  -> void
{
  m_slots[aService] = aSlots;
  for (auto& [address, target] : m_targets) {
    if (target->service == aService) {
      target->slots = aSlots;
    }
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

auto TargetTable::Usable(const Target& aTarget, const std::string& aService,
                         const std::set<std::string>& aTried) const -> bool
{
  return aTarget.service == aService && !aTarget.leaving &&
         !aTried.contains(aTarget.address);
}

auto TargetTable::SetDemand(std::map<std::string, DomainShares> aDemand) -> void
{
  m_demand = std::move(aDemand);
}

static auto Decay(Clock::time_point aSince, Clock::time_point aNow) -> double
{
  const std::chrono::duration<double> passed = aNow - aSince;
  return std::exp(-passed.count() / kRateSeconds);
}

auto TargetTable::CountChoice(const std::string& aService) -> void
{
  auto& rate = m_rates[aService];
  const auto now = Clock::now();
  rate.perSecond = rate.perSecond * Decay(rate.at, now) + 1 / kRateSeconds;
  rate.at = now;
}

auto TargetTable::Rates() const -> std::map<std::string, double>
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
  DomainShares supply;
  for (const auto& target : aTargets) {
    supply[target->failureDomain] += target->slots;
  }
  auto shares = SpillShares(m_demand[aService], supply, m_failureDomain);
  std::vector<Candidate> candidates;
  candidates.reserve(aTargets.size());
  for (const auto& target : aTargets) {
    const auto& domain = target->failureDomain;
    const double share = shares[domain] * target->slots / supply[domain];
    target->credit =
      std::clamp(target->credit + share, -kCreditLimit, kCreditLimit);
    candidates.push_back({ target->inFlight, target->peersInFlight,
                           target->slots, 1, domain == m_failureDomain, share,
                           target->credit });
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
  std::vector<std::shared_ptr<Target>> ejected;
  for (const auto& [address, target] : m_targets) {
    if (Usable(*target, aService, aTried)) {
      auto& list = target->ejectedUntil > now ? ejected : usable;
      list.push_back(target);
    }
  }
  CountChoice(aService);
  return Pick(aService, usable.empty() ? ejected : usable);
}

auto TargetTable::Connect(std::shared_ptr<Target> aTarget,
                          Milliseconds aProvenWithin, std::error_code& aError)
  -> awaitable<std::unique_ptr<TargetConnection>>
{
  const auto oldest = Clock::now() - aProvenWithin;
  while (!aTarget->idle.empty()) {
    auto connection = std::move(aTarget->idle.back());
    aTarget->idle.pop_back();
    if (connection->lastProven >= oldest) {
      aError.clear();
      co_return connection;
    }
    connection->Close();
  }
  co_return co_await m_transport->Connect(aTarget->address, kConnectTimeout,
                                          aError);
}

auto TargetTable::Return(const std::shared_ptr<Target>& aTarget,
                         std::unique_ptr<TargetConnection> aConnection) -> void
{
  if (aConnection->Reusable() && aTarget->idle.size() < kIdleConnections) {
    aTarget->idle.push_back(std::move(aConnection));
  }
}

auto TargetTable::Report(const std::shared_ptr<Target>& aTarget,
                         TargetOutcome aOutcome) -> void
{
  if (aOutcome == TargetOutcome::Answered || aOutcome == TargetOutcome::Shed) {
    aTarget->failuresInRow = 0;
    return;
  }
  aTarget->idle.clear();
  if (++aTarget->failuresInRow < kFailuresToEject) {
    return;
  }
  const auto now = Clock::now();
  std::size_t total = 0;
  std::size_t ejected = 0;
  for (const auto& [address, target] : m_targets) {
    if (target->service == aTarget->service) {
      ++total;
      ejected += target->ejectedUntil > now ? 1 : 0;
    }
  }
  if (ejected + 1 > total * kEjectedShareLimit) {
    return;
  }
  aTarget->ejectedUntil = now + kEjection;
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
  for (const auto& [address, target] : m_targets) {
    if (target->service == aService && !target->leaving) {
      slots += target->slots;
    }
  }
  return slots;
}

} // namespace bramleylock::target
