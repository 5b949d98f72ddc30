// Silent targets: what peers say of them, and connecting to them.

#include "bramleylock/Forward/SilenceWatch.h"

#include "bramleylock/Support/Log.h"

#include <boost/asio/basic_waitable_timer.hpp>

namespace bramleylock::forward {

/// A target is left alone at most this long on one sign of silence. The
/// platform drops a crashed target's entry after 3.6 s.
static constexpr Milliseconds kSilenceKept{ 4000 };

/// A target that lives accepts within a round trip of a few milliseconds.
static constexpr Milliseconds kConnectLimit{ 200 };
static constexpr Milliseconds kProbeEvery{ 300 };

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
         aNow - aEvidence.silentSince < kSilenceKept;
}

SilenceWatch::SilenceWatch(asio::io_context& aContext,
                           TargetDirectory& aTargets, peer::PeerLinks& aLinks,
                           peer::Membership& aMembers, Metrics& aMetrics)
  : m_context(aContext)
  , m_targets(aTargets)
  , m_links(aLinks)
  , m_members(aMembers)
  , m_metrics(aMetrics)
{
}

auto SilenceWatch::Start() -> void
{
  m_links.On(wire::MessageType::TargetSilence,
             [this](const wire::Hello& aSender, const std::string& aBody) {
               if (const auto news = wire::UnpackBody<SilenceNews>(aBody)) {
                 TakeNews(aSender.vm, *news);
               }
             });
}

auto SilenceWatch::OnSilent(DirectoryEntry& aTarget) -> void
{
  m_metrics.Add(Counter::TargetSilentFound);
  LogInfo("target-silent", { { "from", "packets" },
                             { "target", aTarget.record.id },
                             { "address", FormatAddress(aTarget.record.At()) },
                             { "tag", std::to_string(aTarget.tag) } });
  Tell({ aTarget.tag, true });
  Spawn(m_context, "probe-silent", ProbeLoop(aTarget.tag));
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
  } else if (now - evidence.answeredAt < kFresh ||
             !MarkSilent(evidence, now)) {
    return;
  }
  LogInfo(aNews.silent ? "target-silent" : "target-answers",
          { { "from", aPeer }, { "target", target->record.id } });
}

auto SilenceWatch::Tell(const SilenceNews& aNews) -> void
{
  const auto body = wire::PackBody(aNews);
  for (const auto& member : m_members.Alive()) {
    m_links.Send(member.address, wire::MessageType::TargetSilence, body);
  }
}

auto SilenceWatch::Accepts(Address aAddress) -> awaitable<bool>
{
  Tcp::socket socket(m_context);
  asio::steady_timer limit(m_context, kConnectLimit);
  limit.async_wait([&socket](const boost::system::error_code& aError) {
    if (!aError) {
      boost::system::error_code ignored;
      socket.close(ignored);
    }
  });
  boost::system::error_code failure;
  co_await socket.async_connect(
    Tcp::endpoint(asio::ip::address_v4(aAddress.ip), aAddress.port),
    Into(failure));
  limit.cancel();
  co_return !failure;
}

auto SilenceWatch::ProbeLoop(TargetTag aTag) -> awaitable<void>
{
  for (;;) {
    auto* target = m_targets.FindTag(aTag);
    if (target == nullptr || !IsSilent(target->evidence, Clock::now()) ||
        target->record.State() >= TargetState::Departed) {
      co_return;
    }
    m_metrics.Add(Counter::TargetProbes);
    const auto address = target->record.At();
    const bool accepts = co_await Accepts(address);
    target = m_targets.FindTag(aTag);
    if (target == nullptr) {
      co_return;
    }
    if (accepts) {
      LogInfo("target-answers",
              { { "from", "probe" }, { "target", target->record.id } });
      target->evidence.silentSince = {};
      Tell({ aTag, false });
      co_return;
    }
    co_await Sleep(kProbeEvery);
  }
}

} // namespace bramleylock::forward
