// Silent targets: what peers say of them, and what their health checks do.

#include "bramleylock/Forward/SilenceWatch.h"

#include "bramleylock/Http/Http.h"
#include "bramleylock/Peer/Receive.h"
#include "bramleylock/Support/Log.h"

#include <fmt/format.h>

#include <algorithm>

namespace bramleylock::forward {

/// A target is left alone at most this long on one sign of silence. The
/// platform drops a crashed target's entry after 3.6 s.
static constexpr Milliseconds kSilenceKept{ 4000 };

/// A target that lives answers its health check within some milliseconds.
static constexpr Milliseconds kCheckLimit{ 250 };

/// Pause between checks, doubled up to the longest: each takes a slot for a
/// moment.
static constexpr Milliseconds kCheckEvery{ 200 };
static constexpr Milliseconds kLongestCheckPause{ 1600 };

/// Checks in a row without an answer that make a target unreachable: one may
/// have met a lost packet, or a pause of this machine.
static constexpr std::uint32_t kUnreachableChecks = 2;

/// For this long after such a check its outcome is believed: the longest pause,
/// the check itself, and some margin.
static constexpr Milliseconds kCheckBelieved{ 2000 };

/// A target that answered no flow between a good check and its next silence is
/// not checked again for this long: its check says nothing about its flows.
static constexpr Milliseconds kCheckDistrusted{ 5000 };

/// Own evidence this fresh outweighs a peer's word.
static constexpr Milliseconds kFresh{ 50 };

auto MarkSilent(TargetEvidence& aEvidence, Clock::time_point aNow) -> bool
{
  const bool was = IsSilent(aEvidence, aNow);
  if (!was) {
    aEvidence.silentSince = aNow;
  }
  return !was;
}

auto IsSilent(const TargetEvidence& aEvidence, Clock::time_point aNow) -> bool
{
  return aEvidence.silentSince != Clock::time_point{} &&
         (aNow - aEvidence.silentSince < kSilenceKept ||
          IsUnreachable(aEvidence, aNow));
}

auto IsUnreachable(const TargetEvidence& aEvidence, Clock::time_point aNow)
  -> bool
{
  return aEvidence.unansweredChecks >= kUnreachableChecks &&
         aEvidence.answeredAt < aEvidence.checkedAt &&
         aNow - aEvidence.checkedAt < kCheckBelieved;
}

/// Whether somebody waits for what a health check of aTarget finds: new flows,
/// or requests of flows that are open.
static auto NeedsCheck(const DirectoryEntry& aTarget, Clock::time_point aNow)
  -> bool
{
  const auto& evidence = aTarget.evidence;
  if (IsSilent(evidence, aNow) &&
      aTarget.record.State() < TargetState::Departed) {
    return true;
  }
  return evidence.repeatedRequests > 0 && evidence.open > 0 &&
         aTarget.record.State() != TargetState::Dead;
}

SilenceWatch::SilenceWatch(asio::io_context& aContext,
                           const RouteTable& aRoutes, TargetDirectory& aTargets,
                           Metrics& aMetrics)
  : m_context(aContext)
  , m_routes(aRoutes)
  , m_targets(aTargets)
  , m_metrics(aMetrics)
{
}

auto SilenceWatch::Join(peer::Broadcast& aBroadcast) -> void
{
  m_broadcast = &aBroadcast;
  aBroadcast.On(
    wire::MessageType::TargetSilence,
    peer::UnpackingHandler<SilenceNews>(
      m_metrics, [this](const wire::Hello& aSender, const SilenceNews& aNews) {
        TakeNews(aSender.vm, aNews);
      }));
}

auto SilenceWatch::OnSilent(DirectoryEntry& aTarget) -> void
{
  m_metrics.Add(Counter::TargetSilentFound);
  LogInfo("target-silent", { { "from", "packets" },
                             { "target", aTarget.record.id },
                             { "address", FormatAddress(aTarget.record.At()) },
                             { "tag", fmt::format("{:08x}", aTarget.tag) } });
  Tell({ aTarget.tag, true });
  const auto& evidence = aTarget.evidence;
  if (evidence.answeredAt < evidence.clearedAt &&
      Clock::now() - evidence.clearedAt < kCheckDistrusted) {
    return;
  }
  StartProbe(aTarget);
}

auto SilenceWatch::OnUnanswered(DirectoryEntry& aTarget) -> void
{
  StartProbe(aTarget);
}

/// The steady clock does not count a pause, so that a check from before it
/// would pass for a fresh one, and flows to targets that are back would be
/// reset.
auto SilenceWatch::OnPause() -> void
{
  for (auto* target : m_targets.All()) {
    target->evidence.unansweredChecks = 0;
    target->evidence.repeatedRequests = 0;
  }
}

auto SilenceWatch::StartProbe(const DirectoryEntry& aTarget) -> void
{
  if (m_probed.insert(aTarget.tag).second) {
    Spawn(m_context, "probe-silent", Probe(aTarget.tag));
  }
}

auto SilenceWatch::TakeNews(const std::string& aPeer, const SilenceNews& aNews)
  -> void
{
  auto* target = m_targets.FindTag(aNews.tag);
  if (target == nullptr) {
    return;
  }
  const auto now = Clock::now();
  auto& evidence = target->evidence;
  if (!aNews.silent) {
    evidence.silentSince = {};
    evidence.clearedAt = now;
  } else if (now - evidence.answeredAt < kFresh || !MarkSilent(evidence, now)) {
    return;
  }
  LogInfo(aNews.silent ? "target-silent" : "target-answers",
          { { "from", aPeer }, { "target", target->record.id } });
}

auto SilenceWatch::Tell(const SilenceNews& aNews) -> void
{
  if (m_broadcast != nullptr) {
    m_broadcast->SendToAll(wire::MessageType::TargetSilence,
                           wire::PackBody(aNews));
  }
}

auto SilenceWatch::Check(const TargetRecord& aTarget, std::string& aWhy)
  -> awaitable<Health>
{
  http::Request request;
  request.target = m_routes.HealthPath(aTarget.service);
  if (request.target.empty()) {
    aWhy = "the configuration names no health check of " + aTarget.service;
    co_return Health::Bad;
  }
  const Tcp::endpoint address(asio::ip::address_v4(aTarget.ip), aTarget.port);
  std::error_code error;
  const auto reply =
    co_await http::Fetch(address, std::move(request), kCheckLimit, error);
  if (!error && reply.status == 200) {
    co_return Health::Good;
  }
  aWhy = error ? error.message() : "status " + std::to_string(reply.status);
  co_return error ? Health::NoAnswer : Health::Bad;
}

auto SilenceWatch::Probe(TargetTag aTag) -> awaitable<void>
{
  co_await ProbeLoop(aTag);
  m_probed.erase(aTag);
}

auto SilenceWatch::ProbeLoop(TargetTag aTag) -> awaitable<void>
{
  auto pause = kCheckEvery;
  for (;;) {
    auto* target = m_targets.FindTag(aTag);
    if (target == nullptr || !NeedsCheck(*target, Clock::now())) {
      co_return;
    }
    m_metrics.Add(Counter::TargetProbes);
    const auto record = target->record;
    std::string why;
    const auto health = co_await Check(record, why);
    target = m_targets.FindTag(aTag);
    if (target == nullptr) {
      co_return;
    }
    auto& evidence = target->evidence;
    const auto now = Clock::now();
    evidence.unansweredChecks =
      health == Health::NoAnswer ? evidence.unansweredChecks + 1 : 0;
    evidence.checkedAt = now;
    if (health == Health::Good) {
      LogInfo("target-answers",
              { { "from", "health-check" }, { "target", record.id } });
      evidence.repeatedRequests = 0;
      evidence.clearedAt = now;
      if (IsSilent(evidence, now)) {
        evidence.silentSince = {};
        Tell({ aTag, false });
      }
      co_return;
    }
    LogInfo("target-check-failed",
            { { "target", record.id },
              { "address", FormatAddress(record.At()) },
              { "why", why },
              { "unanswered", std::to_string(evidence.unansweredChecks) },
              { "next_ms", std::to_string(pause.count()) } });
    co_await Sleep(pause);
    pause = std::min(2 * pause, kLongestCheckPause);
  }
}

} // namespace bramleylock::forward
