// Selects a target from a balancer's own view of the targets' load and speed.

#include "bramleylock/Forward/TargetSelector.h"

#include "bramleylock/Forward/SilentTargetProber.h"
#include "bramleylock/Support/Log.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace bramleylock::forward {

/// Number of service times over which the slowness of one target, and of
/// targets that are warming up, is averaged.
static constexpr double kSlownessSamples = 4;
static constexpr double kWarmUpSamples = 64;

/// Slowness of targets that are warming up before it is known.
static constexpr double kInitialWarmUpSlowness = 1.5;

/// Range of a single sample. The upper limit keeps one sample below
/// kMinSlowness, so that one client that acknowledges late does not make a
/// target appear slow.
static constexpr double kMinSlownessSample = 0.25;
static constexpr double kMaxSlownessSample = 2.9;

/// Targets below this slowness count as usual.
static constexpr double kMinSlowness = 1.5;

/// Time after which the slowness of a target without samples has faded to a
/// third.
static constexpr std::chrono::duration<double> kSlownessMemory{ 2 };

/// Number of standard deviations of a random load by which a balancer may
/// exceed its even share of a target's flow limit.
static constexpr double kOpenFlowDeviations = 3;

TargetSelector::TargetSelector(const RouteTable& aRoutes,
                               TargetDirectory& aTargets, FlowChoice& aChoice,
                               FlowTable& aFlows, std::string aFailureDomain,
                               WarmUpTolerance aWarmUpTolerance,
                               std::uint64_t aSeed)
  : m_routes(aRoutes)
  , m_targets(aTargets)
  , m_choice(aChoice)
  , m_flows(aFlows)
  , m_failureDomain(std::move(aFailureDomain))
  , m_random(aSeed)
  , m_warmUpLimits(aWarmUpTolerance)
  , m_warmUpSlowness(kInitialWarmUpSlowness)
{
}

/// Returns the number of flows that this balancer may have open at one target
/// of aService: its share of the target's flow limit. A target at its limit
/// does not answer and would be mistaken for a silent one.
auto TargetSelector::OpenFlowLimit(const std::string& aService) const
  -> std::uint32_t
{
  const auto maxFlows = m_routes.MaxFlowsPerTarget(aService);
  if (maxFlows == 0) {
    return std::numeric_limits<std::uint32_t>::max();
  }
  const double share = maxFlows / static_cast<double>(m_balancers);
  const double limit = share + kOpenFlowDeviations * std::sqrt(share);
  return static_cast<std::uint32_t>(std::min<double>(maxFlows, limit));
}

/// Returns the slowness of a target, which fades because a target that is
/// avoided shows no further service times.
static auto FadedSlowness(const TargetStats& aStats, Clock::time_point aNow)
  -> double
{
  return 1 + (aStats.slowness - 1) * std::exp(-std::chrono::duration<double>(
                                                aNow - aStats.slownessAt) /
                                              kSlownessMemory);
}

/// Returns how many times as long as usual a target takes for a request.
/// Individual service times vary, so only a clear difference counts.
auto TargetSelector::SlownessOf(const DirectoryEntry& aTarget,
                                Clock::time_point aNow) const -> double
{
  const auto faded = FadedSlowness(aTarget.stats, aNow);
  const auto slowness = faded < kMinSlowness ? 1 : faded;
  return aTarget.warmUpEndsAt > aNow ? std::max(slowness, m_warmUpSlowness)
                                     : slowness;
}

/// Records a service time of a target relative to the usual one.
auto TargetSelector::RecordSlowness(DirectoryEntry& aTarget, double aRatio,
                                    Clock::time_point aNow) -> void
{
  const auto ratio = std::clamp(aRatio, kMinSlownessSample, kMaxSlownessSample);
  auto& stats = aTarget.stats;
  const auto before = FadedSlowness(stats, aNow);
  stats.slowness = before + (ratio - before) / kSlownessSamples;
  stats.slownessAt = aNow;
  if (aTarget.warmUpEndsAt > aNow) {
    m_warmUpSlowness += (ratio - m_warmUpSlowness) / kWarmUpSamples;
  }
}

static auto LogFlowOpened(const Packet& aPacket, const Route& aRoute,
                          const DirectoryEntry& aTarget,
                          std::uint64_t aRoutesVersion, std::size_t aCandidates,
                          Clock::time_point aNow) -> void
{
  if (!ShouldLog(LogLevel::Info, "flow-opened")) {
    return;
  }
  const auto& stats = aTarget.stats;
  LogInfo("flow-opened",
          { { "flow", FormatFlow(aPacket.flow) },
            { "sequence", std::to_string(aPacket.sequence) },
            { "copy", std::to_string(aPacket.acknowledgement) },
            { "route", aRoute.name },
            { "routes", std::to_string(aRoutesVersion) },
            { "target", aTarget.record.id },
            { "address", FormatAddress(aTarget.record.EndpointAddress()) },
            { "tag", fmt::format("{:08x}", aTarget.tag) },
            { "target_revision", FormatRevision(aTarget.record.revision) },
            { "heard_ms", FormatElapsedMs(aTarget.lastUpdateAt, aNow) },
            { "in_flight", std::to_string(stats.inFlight) },
            { "idle", std::to_string(stats.idleFlows) },
            { "idle_load", fmt::format("{:.2f}", stats.idleLoad) },
            { "candidates", std::to_string(aCandidates) } });
}

auto TargetSelector::Select(const Packet& aPacket, const Route& aRoute,
                            const DirectoryEntry* aExcludedTarget,
                            Clock::time_point aNow) -> TargetSelection
{
  const auto selection = Choose(aPacket, aRoute, aExcludedTarget, aNow);
  if (selection.target != nullptr) {
    LogFlowOpened(aPacket, aRoute, *selection.target,
                  m_routes.Current().version, selection.candidates, aNow);
  }
  return selection;
}

auto TargetSelector::SelectSecond(const Packet& aPacket, const Route& aRoute,
                                  const DirectoryEntry& aFirstTarget,
                                  Clock::time_point aNow) -> DirectoryEntry*
{
  auto* target = Choose(aPacket, aRoute, &aFirstTarget, aNow).target;
  if (target == nullptr || target == &aFirstTarget ||
      target->stats.busyLoad + 1 > target->record.slots) {
    return nullptr;
  }
  return target;
}

auto TargetSelector::Choose(const Packet& aPacket, const Route& aRoute,
                            const DirectoryEntry* aExcludedTarget,
                            Clock::time_point aNow) -> TargetSelection
{
  const auto& service = m_routes.ServiceFor(aRoute, aPacket.flow);
  auto entries = m_targets.Candidates(service, aNow);
  if (entries.size() > 1) {
    std::erase(entries, aExcludedTarget);
  }
  const auto refusal = RemoveLimitedByWarmUp(entries, service, aNow);
  if (refusal != RefusalReason::None) {
    return { nullptr, refusal };
  }
  ChoiceInput input{
    {},
    BalancersSharing(entries, aNow),
    m_flows.RequestStatsOf(aPacket.flow.service).ExpectedLaterRequests()
  };
  input.candidates.reserve(entries.size());
  const auto openFlowLimit = OpenFlowLimit(service);
  for (const auto* entry : entries) {
    const auto& stats = entry->stats;
    input.candidates.push_back(
      { entry->record.slots, stats.busyLoad, stats.idleLoad,
        stats.openFlows >= openFlowLimit,
        entry->record.failureDomain == m_failureDomain,
        SlownessOf(*entry, aNow), IsSilent(stats, aNow) });
  }
  const auto decision = m_choice.Choose(input, m_random);
  if (!decision.chosen) {
    const bool evacuated = decision.refusal == RefusalReason::NoTarget &&
                           m_targets.IsEvacuated(service, aNow);
    return { nullptr, evacuated ? RefusalReason::Evacuated : decision.refusal };
  }
  return { entries[*decision.chosen], RefusalReason::None, entries.size() };
}

auto TargetSelector::SetBalancers(std::size_t aCount,
                                  std::map<std::string, std::size_t> aByDomain)
  -> void
{
  m_balancers = std::max<std::size_t>(aCount, 1);
  m_balancersByDomain = std::move(aByDomain);
}

auto TargetSelector::SetDomainBalancers(DomainBalancers aBalancers) -> void
{
  m_warmUpLimits.SetBalancers(std::move(aBalancers));
}

auto TargetSelector::RecordRequest(const DirectoryEntry& aTarget,
                                   Clock::time_point aNow) -> void
{
  m_warmUpLimits.RecordRequest(
    aTarget, m_routes.WarmUpLimit(aTarget.record.service), aNow);
}

auto TargetSelector::Expire(Clock::time_point aNow) -> void
{
  m_warmUpLimits.Expire(aNow);
}

/// Returns why no target is left, if none is. A target that is only suspected
/// to have restarted is worth waiting for, since this is soon known.
auto TargetSelector::RemoveLimitedByWarmUp(
  std::vector<DirectoryEntry*>& aEntries, const std::string& aService,
  Clock::time_point aNow) -> RefusalReason
{
  const auto limit = m_routes.WarmUpLimit(aService);
  if (limit == 0 || aEntries.empty()) {
    return RefusalReason::None;
  }
  auto refusal = RefusalReason::WarmingUp;
  std::erase_if(aEntries, [&](const DirectoryEntry* aEntry) {
    if (m_warmUpLimits.MayOpenFlow(*aEntry, limit, aNow)) {
      return false;
    }
    if (aEntry->warmUpEndsAt <= aNow) {
      refusal = RefusalReason::Overloaded;
    }
    return true;
  });
  return aEntries.empty() ? refusal : RefusalReason::None;
}

auto TargetSelector::Balancers() const -> std::size_t
{
  return m_balancers;
}

/// Returns the number of balancers that share the responding targets of
/// aTargets. If all targets of another failure domain are silent and other
/// targets are not, that domain is unreachable, and its balancers do not reach
/// the other domains either. Until the first member is found, all domains are
/// assumed to be of the same size.
auto TargetSelector::BalancersSharing(
  const std::vector<DirectoryEntry*>& aTargets, Clock::time_point aNow) const
  -> std::size_t
{
  bool anySilent = false;
  bool anyResponds = false;
  for (const auto* target : aTargets) {
    const bool silent = IsSilent(target->stats, aNow);
    anySilent = anySilent || silent;
    anyResponds = anyResponds || !silent;
  }
  if (!anySilent || !anyResponds) {
    return m_balancers;
  }
  std::map<std::string, bool> respondsByDomain;
  for (const auto* target : aTargets) {
    auto& responds = respondsByDomain[target->record.failureDomain];
    responds = responds || !IsSilent(target->stats, aNow);
  }
  std::size_t sharing = m_balancers;
  for (const auto& [domain, responds] : respondsByDomain) {
    if (responds || domain == m_failureDomain) {
      continue;
    }
    const auto found = m_balancersByDomain.find(domain);
    const auto known = found == m_balancersByDomain.end() ? 0 : found->second;
    const auto unreachableBalancers = m_balancersByDomain.empty()
                                        ? m_balancers / respondsByDomain.size()
                                        : known;
    sharing -= std::min(unreachableBalancers, sharing - 1);
  }
  return sharing;
}

} // namespace bramleylock::forward
