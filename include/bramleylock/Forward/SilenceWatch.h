// Finds out whether targets that did not answer are gone, and shares it.
#pragma once

#include <set>
#include <string>

#include "bramleylock/Forward/TargetDirectory.h"
#include "bramleylock/Peer/Broadcast.h"

namespace bramleylock::forward {

/// What one balancer tells the others of a target.
struct SilenceNews
{
  TargetTag tag = 0;
  bool silent = false;
  MSGPACK_DEFINE_ARRAY(tag, silent)
};

/// The balancer that noticed the silence tells the others and asks the target's
/// health check until it is good, so that no client's flow is spent on finding
/// out.
class SilenceWatch
{
public:
  SilenceWatch(asio::io_context& aContext, const RouteTable& aRoutes,
               TargetDirectory& aTargets, Metrics& aMetrics);

  /// Shares with peers from now on.
  auto Join(peer::Broadcast& aBroadcast) -> void;

  /// Takes a target that this balancer found silent.
  auto OnSilent(DirectoryEntry& aTarget) -> void;

  /// Takes a target that did not answer a request of an open flow.
  auto OnUnanswered(DirectoryEntry& aTarget) -> void;

  /// This machine stood still: answers may have come and gone meanwhile.
  auto OnPause() -> void;

private:
  /// What a health check found.
  enum class Health
  {
    Good,
    /// The target answers, and says that it is not well.
    Bad,
    NoAnswer
  };

  auto Probe(TargetTag aTag) -> awaitable<void>;
  auto ProbeLoop(TargetTag aTag) -> awaitable<void>;
  /// Asks the target; sets aWhy when its answer is not good.
  auto Check(const TargetRecord& aTarget, std::string& aWhy)
    -> awaitable<Health>;
  auto StartProbe(const DirectoryEntry& aTarget) -> void;
  auto Tell(const SilenceNews& aNews) -> void;
  auto TakeNews(const std::string& aPeer, const SilenceNews& aNews) -> void;

  asio::io_context& m_context;
  const RouteTable& m_routes;
  TargetDirectory& m_targets;
  Metrics& m_metrics;
  /// Null until Join.
  peer::Broadcast* m_broadcast = nullptr;
  /// Targets that are being asked.
  std::set<TargetTag> m_probed;
};

/// Marks aTarget silent from aNow on; false when it was already.
auto MarkSilent(TargetEvidence& aEvidence, Clock::time_point aNow) -> bool;

/// Whether aTarget is to be left alone for its silence.
auto IsSilent(const TargetEvidence& aEvidence, Clock::time_point aNow) -> bool;

/// Whether the target does not answer this balancer by any way: neither the
/// requests of open flows nor its last health checks.
auto IsUnreachable(const TargetEvidence& aEvidence, Clock::time_point aNow)
  -> bool;

} // namespace bramleylock::forward
