// Tracks silent targets by the updates of peers and by health checks.

#include "bramleylock/Forward/SilentTargetProber.h"

#include "bramleylock/Http/Http.h"
#include "bramleylock/Peer/Receive.h"
#include "bramleylock/Support/Log.h"

#include <fmt/format.h>

#include <algorithm>

namespace bramleylock::forward {

/// Maximum time for which a target is avoided after one sign of silence. The
/// platform removes the entry of a crashed target after 3.6 s.
static constexpr Milliseconds kSilenceDuration{ 4000 };

/// Timeout of a health check. A running target responds within a few
/// milliseconds.
static constexpr Milliseconds kHealthCheckTimeout{ 250 };

/// Initial and maximum interval between checks; the interval doubles after each
/// check. Each check uses a slot of the target for a short time.
static constexpr Milliseconds kInitialCheckInterval{ 200 };
static constexpr Milliseconds kMaxCheckInterval{ 1600 };

/// Consecutive checks that show that a target cannot be reached after which it
/// is considered unreachable. A single one may be due to a lost packet or a
/// pause of this machine.
static constexpr std::uint32_t kChecksUntilUnreachable = 2;

/// Time for which the result of a health check is considered valid: the longest
/// interval, the duration of the check, and a margin.
static constexpr Milliseconds kCheckValidity{ 2000 };

/// If a target answered no flow between a successful check and its next
/// silence, it is not checked again for this long: its health check does not
/// reflect its ability to serve flows.
static constexpr Milliseconds kCheckSuppression{ 5000 };

/// A running target that appears silent because of a lost packet answers its
/// first health check within this time.
static constexpr Milliseconds kMinOutage{ 50 };

/// If this balancer received a response from a target within this time, it
/// ignores a peer's report of silence.
static constexpr Milliseconds kRecentResponse{ 50 };

auto MarkSilent(TargetStats& aStats, Clock::time_point aNow) -> bool
{
  const bool wasSilent = IsSilent(aStats, aNow);
  if (!wasSilent) {
    aStats.silentSince = aNow;
  }
  return !wasSilent;
}

/// Returns how long a target has been silent; zero if it is not.
static auto SilenceOf(const TargetStats& aStats, Clock::time_point aNow)
  -> Milliseconds
{
  return aStats.silentSince == Clock::time_point{}
           ? Milliseconds(0)
           : std::chrono::duration_cast<Milliseconds>(aNow -
                                                      aStats.silentSince);
}

auto EndSilence(DirectoryEntry& aTarget, TargetDirectory& aTargets,
                const RouteTable& aRoutes, Clock::time_point aNow) -> void
{
  const auto silence = SilenceOf(aTarget.stats, aNow);
  aTarget.stats.silentSince = {};
  if (silence >= kMinOutage) {
    aTargets.SuspectRestart(aTarget, aRoutes.WarmUpTime(aTarget.record.service),
                            aNow);
  }
}

/// Returns whether the last health check is recent and no response has been
/// received since.
static auto LastCheckIsValid(const TargetStats& aStats, Clock::time_point aNow)
  -> bool
{
  return aStats.lastResponseAt < aStats.lastCheckAt &&
         aNow - aStats.lastCheckAt < kCheckValidity;
}

auto IsSilent(const TargetStats& aStats, Clock::time_point aNow) -> bool
{
  return aStats.silentSince != Clock::time_point{} &&
         (aNow - aStats.silentSince < kSilenceDuration ||
          (aStats.unansweredChecks >= kChecksUntilUnreachable &&
           LastCheckIsValid(aStats, aNow)));
}

auto IsUnreachable(const TargetStats& aStats, Clock::time_point aNow) -> bool
{
  return aStats.unreachableChecks >= kChecksUntilUnreachable &&
         aStats.answeredSendAt < aStats.unreachableSince &&
         LastCheckIsValid(aStats, aNow);
}

/// Returns whether the result of a health check of aTarget is needed, for new
/// flows or for requests of open flows.
static auto NeedsCheck(const DirectoryEntry& aTarget, Clock::time_point aNow)
  -> bool
{
  const auto& stats = aTarget.stats;
  if (IsSilent(stats, aNow) && aTarget.record.State() < TargetState::Departed) {
    return true;
  }
  return stats.retransmittedRequests > 0 && stats.openFlows > 0 &&
         aTarget.record.State() != TargetState::Dead;
}

SilentTargetProber::SilentTargetProber(asio::io_context& aContext,
                                       const RouteTable& aRoutes,
                                       TargetDirectory& aTargets,
                                       Metrics& aMetrics)
  : m_context(aContext)
  , m_routes(aRoutes)
  , m_targets(aTargets)
  , m_metrics(aMetrics)
{
}

auto SilentTargetProber::SetBroadcast(peer::Broadcast& aBroadcast) -> void
{
  m_broadcast = &aBroadcast;
  aBroadcast.On(wire::MessageType::TargetSilence,
                peer::UnpackingHandler<SilenceUpdate>(
                  m_metrics, [this](const wire::Hello& aSender,
                                    const SilenceUpdate& aUpdate) {
                    ApplyUpdate(aSender.vm, aUpdate);
                  }));
}

auto SilentTargetProber::OnTargetSilent(DirectoryEntry& aTarget) -> void
{
  m_metrics.Add(Counter::TargetSilentFound);
  LogInfo("target-silent",
          { { "from", "packets" },
            { "target", aTarget.record.id },
            { "address", FormatAddress(aTarget.record.EndpointAddress()) },
            { "tag", fmt::format("{:08x}", aTarget.tag) } });
  BroadcastUpdate({ aTarget.tag, true });
  const auto& stats = aTarget.stats;
  if (stats.lastResponseAt < stats.lastHealthyAt &&
      Clock::now() - stats.lastHealthyAt < kCheckSuppression) {
    return;
  }
  StartProbe(aTarget);
}

auto SilentTargetProber::OnRequestUnanswered(DirectoryEntry& aTarget) -> void
{
  StartProbe(aTarget);
}

/// The steady clock does not advance during a pause. A check from before the
/// pause would appear recent, and flows to targets that are reachable again
/// would be reset.
auto SilentTargetProber::OnPause() -> void
{
  for (auto* target : m_targets.All()) {
    target->stats.unansweredChecks = 0;
    target->stats.unreachableChecks = 0;
    target->stats.retransmittedRequests = 0;
  }
}

auto SilentTargetProber::StartProbe(const DirectoryEntry& aTarget) -> void
{
  if (m_activeProbes.insert(aTarget.tag).second) {
    Spawn(m_context, "probe-silent", Probe(aTarget.tag));
  }
}

/// A check by a peer that found the target healthy outweighs this balancer's
/// own failed checks. The target gets new flows again, so its open flows must
/// not be reset because of those checks either.
auto SilentTargetProber::ApplyUpdate(const std::string& aPeer,
                                     const SilenceUpdate& aUpdate) -> void
{
  auto* target = m_targets.FindByTag(aUpdate.tag);
  if (target == nullptr) {
    return;
  }
  const auto now = Clock::now();
  auto& stats = target->stats;
  if (!aUpdate.silent) {
    // This balancer may not have noticed the silence. If the target has
    // answered it since the silence began, the target is the same.
    const Milliseconds silence(aUpdate.silentMs);
    if (silence > SilenceOf(stats, now) &&
        stats.answeredSendAt < now - silence) {
      stats.silentSince = now - silence;
    }
    EndSilence(*target, m_targets, m_routes, now);
    stats.lastHealthyAt = now;
    stats.unansweredChecks = 0;
    stats.unreachableChecks = 0;
  } else if (now - stats.lastResponseAt < kRecentResponse ||
             !MarkSilent(stats, now)) {
    return;
  }
  LogInfo(aUpdate.silent ? "target-silent" : "target-answers",
          { { "from", aPeer }, { "target", target->record.id } });
}

auto SilentTargetProber::BroadcastUpdate(const SilenceUpdate& aUpdate) -> void
{
  if (m_broadcast != nullptr) {
    m_broadcast->SendToAll(wire::MessageType::TargetSilence,
                           wire::PackBody(aUpdate));
  }
}

auto SilentTargetProber::ResultOf(const std::error_code& aError) -> HealthResult
{
  if (aError == std::errc::connection_refused) {
    return HealthResult::Refused;
  }
  const bool notConnected = aError == std::errc::timed_out ||
                            aError == std::errc::host_unreachable ||
                            aError == std::errc::network_unreachable;
  return notConnected ? HealthResult::NotConnected : HealthResult::Inconclusive;
}

auto SilentTargetProber::CheckHealth(const TargetRecord& aTarget,
                                     std::string& aReason)
  -> awaitable<HealthResult>
{
  http::Request request;
  request.target = m_routes.HealthPath(aTarget.service);
  if (request.target.empty()) {
    aReason =
      "no health check path is configured for service " + aTarget.service;
    co_return HealthResult::Inconclusive;
  }
  const Tcp::endpoint address(asio::ip::address_v4(aTarget.ip), aTarget.port);
  std::error_code error;
  const auto reply = co_await http::Fetch(address, std::move(request),
                                          kHealthCheckTimeout, error);
  if (!error && reply.status == 200) {
    co_return HealthResult::Healthy;
  }
  aReason = error ? error.message()
                  : "unexpected HTTP status " + std::to_string(reply.status);
  co_return error ? ResultOf(error) : HealthResult::Unhealthy;
}

auto SilentTargetProber::OtherTargetAnswered(const TargetRecord& aTarget,
                                             Clock::time_point aSince) -> bool
{
  const auto all = m_targets.All();
  return std::any_of(all.begin(), all.end(), [&](const auto* aEntry) {
    return aEntry->record.failureDomain == aTarget.failureDomain &&
           aEntry->record.id != aTarget.id &&
           aEntry->stats.answeredSendAt > aSince;
  });
}

/// A connection that is not established in time may be delayed in the queue of
/// this machine's own link or on the path to the failure domain. An answer to a
/// packet that was sent later rules out both. A target whose machine accepts
/// the connection is reachable, even if it is too busy to reply in time.
auto SilentTargetProber::ShowsUnreachable(HealthResult aResult,
                                          const TargetRecord& aTarget,
                                          Clock::time_point aSentAt) -> bool
{
  return aResult == HealthResult::Refused ||
         (aResult == HealthResult::NotConnected &&
          OtherTargetAnswered(aTarget, aSentAt));
}

auto SilentTargetProber::RecordCheck(HealthResult aResult,
                                     DirectoryEntry& aTarget,
                                     Clock::time_point aSentAt,
                                     Clock::time_point aNow) -> void
{
  auto& stats = aTarget.stats;
  const bool responds =
    aResult == HealthResult::Healthy || aResult == HealthResult::Unhealthy;
  stats.unansweredChecks = responds ? 0 : stats.unansweredChecks + 1;
  if (!ShowsUnreachable(aResult, aTarget.record, aSentAt)) {
    stats.unreachableChecks = 0;
  } else if (stats.unreachableChecks == 0 ||
             stats.answeredSendAt >= stats.unreachableSince) {
    // The target has answered a packet that was sent after the earlier checks.
    stats.unreachableChecks = 1;
    stats.unreachableSince = aSentAt;
  } else {
    ++stats.unreachableChecks;
  }
  if (responds) {
    stats.answeredSendAt = std::max(stats.answeredSendAt, aSentAt);
  }
  stats.lastCheckSentAt = aSentAt;
  stats.lastCheckAt = aNow;
}

auto SilentTargetProber::Probe(TargetTag aTag) -> awaitable<void>
{
  co_await ProbeLoop(aTag);
  m_activeProbes.erase(aTag);
}

auto SilentTargetProber::ProbeLoop(TargetTag aTag) -> awaitable<void>
{
  auto interval = kInitialCheckInterval;
  for (;;) {
    auto* target = m_targets.FindByTag(aTag);
    if (target == nullptr || !NeedsCheck(*target, Clock::now())) {
      co_return;
    }
    m_metrics.Add(Counter::TargetProbes);
    const auto record = target->record;
    std::string reason;
    const auto sentAt = Clock::now();
    const auto health = co_await CheckHealth(record, reason);
    target = m_targets.FindByTag(aTag);
    if (target == nullptr) {
      co_return;
    }
    auto& stats = target->stats;
    const auto now = Clock::now();
    RecordCheck(health, *target, sentAt, now);
    if (health == HealthResult::Healthy) {
      LogInfo("target-answers",
              { { "from", "health-check" }, { "target", record.id } });
      stats.retransmittedRequests = 0;
      stats.lastHealthyAt = now;
      const auto silence = SilenceOf(stats, now);
      const bool wasSilent = IsSilent(stats, now);
      EndSilence(*target, m_targets, m_routes, now);
      if (wasSilent) {
        BroadcastUpdate(
          { aTag, false, static_cast<std::uint32_t>(silence.count()) });
      }
      co_return;
    }
    LogInfo("target-check-failed",
            { { "target", record.id },
              { "address", FormatAddress(record.EndpointAddress()) },
              { "why", reason },
              { "unreachable", std::to_string(stats.unreachableChecks) },
              { "others_answered",
                OtherTargetAnswered(record, sentAt) ? "true" : "false" },
              { "next_ms", std::to_string(interval.count()) } });
    co_await Sleep(interval);
    interval = std::min(2 * interval, kMaxCheckInterval);
  }
}

} // namespace bramleylock::forward
