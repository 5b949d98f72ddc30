// Checks the health of targets that did not answer and shares the results with
// peers.
#pragma once

#include <set>
#include <string>

#include "bramleylock/Forward/TargetDirectory.h"
#include "bramleylock/Peer/Broadcast.h"

namespace bramleylock::forward {

/// Message by which one balancer informs the others of a target's silence.
struct SilenceUpdate
{
  TargetTag tag = 0;
  bool silent = false;
  /// How long the target was silent, if it answers again.
  std::uint32_t silentMs = 0;
  MSGPACK_DEFINE_ARRAY(tag, silent, silentMs)
};

/// Informs the peers of targets that this balancer found silent, and checks the
/// health of each such target until a check succeeds, so that no client's flow
/// is used as a probe.
class SilentTargetProber
{
public:
  SilentTargetProber(asio::io_context& aContext, const RouteTable& aRoutes,
                     TargetDirectory& aTargets, Metrics& aMetrics);

  /// Starts exchanging updates with peers.
  auto SetBroadcast(peer::Broadcast& aBroadcast) -> void;

  /// Handles a target that this balancer found silent.
  auto OnTargetSilent(DirectoryEntry& aTarget) -> void;

  /// Handles a target that did not answer a request of an open flow.
  auto OnRequestUnanswered(DirectoryEntry& aTarget) -> void;

  /// Handles a pause of this process or machine, in which responses may have
  /// been missed.
  auto OnPause() -> void;

  /// Handles an update of the peer aPeer.
  auto ApplyUpdate(const std::string& aPeer, const SilenceUpdate& aUpdate)
    -> void;

private:
  /// Result of a health check.
  enum class HealthResult
  {
    Healthy,
    /// The target responded that it is not healthy.
    Unhealthy,
    /// The target's machine accepted the connection, but no reply arrived, or
    /// the service has no health check.
    Inconclusive,
    NotConnected,
    /// No process listens at the target's address.
    Refused
  };

  auto Probe(TargetTag aTag) -> awaitable<void>;
  auto ProbeLoop(TargetTag aTag) -> awaitable<void>;
  static auto ResultOf(const std::error_code& aError) -> HealthResult;
  /// Performs one health check; sets aReason unless the result is Healthy.
  auto CheckHealth(const TargetRecord& aTarget, std::string& aReason)
    -> awaitable<HealthResult>;
  /// Returns whether another target of the failure domain of aTarget has
  /// answered a packet that was sent after aSince.
  auto OtherTargetAnswered(const TargetRecord& aTarget,
                           Clock::time_point aSince) -> bool;
  /// Returns whether the result of a check that was sent at aSentAt shows that
  /// aTarget cannot be reached.
  auto ShowsUnreachable(HealthResult aResult, const TargetRecord& aTarget,
                        Clock::time_point aSentAt) -> bool;
  /// Records the result of a check of aTarget that was sent at aSentAt.
  auto RecordCheck(HealthResult aResult, DirectoryEntry& aTarget,
                   Clock::time_point aSentAt, Clock::time_point aNow) -> void;
  auto StartProbe(const DirectoryEntry& aTarget) -> void;
  auto BroadcastUpdate(const SilenceUpdate& aUpdate) -> void;

  asio::io_context& m_context;
  const RouteTable& m_routes;
  TargetDirectory& m_targets;
  Metrics& m_metrics;
  /// Null until SetBroadcast is called.
  peer::Broadcast* m_broadcast = nullptr;
  /// Tags of the targets whose health checks are in progress.
  std::set<TargetTag> m_activeProbes;
};

/// Marks a target as silent since aNow; returns false if it already was.
auto MarkSilent(TargetStats& aStats, Clock::time_point aNow) -> bool;

/// Records that aTarget answers. If it was silent for longer than a running
/// target may appear to be, it may have restarted and may be warming up.
auto EndSilence(DirectoryEntry& aTarget, TargetDirectory& aTargets,
                const RouteTable& aRoutes, Clock::time_point aNow) -> void;

/// Returns whether new flows should avoid a target because of its silence.
auto IsSilent(const TargetStats& aStats, Clock::time_point aNow) -> bool;

/// Returns whether a target responds to this balancer neither on open flows nor
/// in its last health checks, while other targets of its failure domain
/// respond.
auto IsUnreachable(const TargetStats& aStats, Clock::time_point aNow) -> bool;

} // namespace bramleylock::forward
