// Target lists, connections, ejection.

#include "bramleylock/Target/TargetTable.h"

#include "bramleylock/Support/Log.h"

namespace bramleylock::target {

static constexpr Milliseconds kConnectTimeout{ 500 };
static constexpr Milliseconds kEjection{ 3000 };

/// Failures in a row after which a target is ejected.
static constexpr std::uint32_t kFailuresToEject = 3;

/// The part of a service's targets that may be ejected at the same time. When
/// more look bad, this balancer's view is likelier wrong than the targets.
static constexpr double kEjectedShareLimit = 0.5;

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

auto TargetTable::SetOwnSlots(
  const std::map<std::string, std::uint32_t>& aCounts) -> void
{
  for (auto& [address, target] : m_targets) {
    const auto found = aCounts.find(address);
    target->ownSlots = found == aCounts.end() ? 0 : found->second;
  }
}

auto TargetTable::Usable(const Target& aTarget, const std::string& aService,
                         const std::set<std::string>& aTried) const -> bool
{
  return aTarget.service == aService && !aTarget.leaving &&
         !aTried.contains(aTarget.address);
}

auto TargetTable::Pick(const std::vector<std::shared_ptr<Target>>& aTargets)
  -> std::shared_ptr<Target>
{
  if (aTargets.empty()) {
    return nullptr;
  }
  std::vector<Candidate> candidates;
  candidates.reserve(aTargets.size());
  for (const auto& target : aTargets) {
    candidates.push_back({ target->inFlight, target->peersInFlight,
                           target->slots, target->ownSlots, 1.0 });
  }
  return aTargets[m_choice->Pick(candidates, m_random)];
}

auto TargetTable::Choose(const std::string& aService,
                         const std::set<std::string>& aTried)
  -> std::shared_ptr<Target>
{
  const auto now = Clock::now();
  std::vector<std::shared_ptr<Target>> near;
  std::vector<std::shared_ptr<Target>> far;
  std::vector<std::shared_ptr<Target>> ejected;
  for (const auto& [address, target] : m_targets) {
    if (!Usable(*target, aService, aTried)) {
      continue;
    }
    if (target->ejectedUntil > now) {
      ejected.push_back(target);
    } else if (target->failureDomain == m_failureDomain) {
      near.push_back(target);
    } else {
      far.push_back(target);
    }
  }
  if (!near.empty()) {
    return Pick(near);
  }
  return far.empty() ? Pick(ejected) : Pick(far);
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
