// Paced readings of the store, by rank, and the news between peers.

#include "bramleylock/Forward/StateReader.h"

#include "bramleylock/Peer/Receive.h"
#include "bramleylock/Support/Log.h"
#include "bramleylock/Support/Rendezvous.h"

#include <algorithm>

namespace bramleylock::forward {

/// How long a watch waits. Targets may get new flows for 3 s after they began
/// to drain, which has to hold when the reader dies just after its last news:
/// the wait, two ranks and the calls stay under 3 s.
static constexpr Milliseconds kWait{ 2000 };

/// How much later each further rank reads; a reading takes some milliseconds,
/// and up to 250 in a store that is fifty times slower than usual.
static constexpr Milliseconds kRankStep{ 250 };
static constexpr std::size_t kRanksApart = 6;

/// Pause between two watches, so that changes in quick succession come in one.
static constexpr Milliseconds kPause{ 200 };

/// The same while members are not found, and everybody ranks first: by then
/// most balancers have found those that rank before them, and do not read.
static constexpr Milliseconds kPauseAlone{ 2000 };

/// Pauses after failed calls, doubled up to the longest.
static constexpr Milliseconds kRetry{ 250 };
static constexpr Milliseconds kLongestRetry{ 1000 };

/// For this long after a failed call, entries that are missing may have lapsed
/// in the outage.
static constexpr Milliseconds kTroubleKept{ 4000 };

/// State older than this is asked for from any peer, of other domains too.
static constexpr Milliseconds kStale{ 3500 };
static constexpr Milliseconds kAskEvery{ 500 };

/// State older than this is asked for whole: peers forget targets that left a
/// minute ago, and could not name them.
static constexpr Milliseconds kChangesKnown{ 30000 };

/// How long members take to find each other after a start, as the tests of
/// membership allow them.
static constexpr Milliseconds kMembersFound{ 4000 };

/// A number of balancers that is off for this long is recorded anew: restarts
/// take some seconds.
static constexpr Milliseconds kCountSettles{ 6000 };

/// How far off it may be: one in five changes each balancer's share of the
/// targets by less than what it cannot know of the others anyway.
static constexpr std::size_t kCountTolerance = 5;

/// While balancers return after all were lost, one in this many of those
/// recorded is taken to be back: with all of them counted the first ones would
/// leave targets idle.
static constexpr std::uint32_t kPartBack = 2;

/// They return within this: the machines of the platform start over some 350 ms
/// and are asked for readiness every 500 ms. With fewer counted after that, all
/// together would crowd the targets with four requests for each slot.
static constexpr Milliseconds kReturnLasts{ 500 };

auto AssumedBalancers(std::uint32_t aRecorded, Milliseconds aSinceStart)
  -> std::size_t
{
  const auto part = aSinceStart < kReturnLasts ? kPartBack : 1;
  return std::max<std::size_t>(aRecorded / part, 1);
}

auto ReadAfter(std::size_t aRank) -> Milliseconds
{
  if (aRank == 0) {
    return kPause;
  }
  return kWait + kPause +
         kRankStep * static_cast<int>(std::min(aRank, kRanksApart));
}

StateReader::StateReader(asio::io_context& aContext, StateSource& aSource,
                         RoutingState& aState, peer::PeerLinks& aLinks,
                         peer::Membership& aMembers,
                         peer::Broadcast& aBroadcast, Metrics& aMetrics)
  : m_context(aContext)
  , m_source(aSource)
  , m_state(aState)
  , m_links(aLinks)
  , m_members(aMembers)
  , m_broadcast(aBroadcast)
  , m_metrics(aMetrics)
  , m_random(SecretNumber())
  , m_wake(aContext)
{
}

auto StateReader::Start() -> void
{
  const auto takeNews = peer::UnpackingHandler<RoutingNews>(
    m_metrics, [this](const wire::Hello& aSender, const RoutingNews& aNews) {
      if (IsSound(aNews)) {
        TakeNews(aSender, aNews);
      } else {
        peer::ReportMalformed(m_metrics, aSender);
      }
    });
  m_broadcast.On(wire::MessageType::Routing, takeNews);
  m_links.On(wire::MessageType::RoutingAnswer, takeNews);
  peer::SetMessageHandler<RoutingRequest>(
    m_links, wire::MessageType::RoutingRequest, m_metrics,
    [this](const wire::Hello& aSender, const RoutingRequest& aRequest) {
      if (m_state.Complete()) {
        m_links.SendMessage(aSender.address, wire::MessageType::RoutingAnswer,
                            m_state.Answer(aRequest, Clock::now()));
      }
    });
  m_needWhole = m_state.ReadAt() == Clock::time_point{};
  m_startedAt = Clock::now();
  Spawn(m_context, "read-state", ReadLoop());
}

auto StateReader::Balancers(Clock::time_point aNow) const -> std::size_t
{
  const auto found = m_members.AliveCount();
  const auto since =
    std::chrono::duration_cast<Milliseconds>(aNow - m_startedAt);
  return since < kMembersFound
           ? std::max(found,
                      AssumedBalancers(m_state.RecordedBalancers(), since))
           : found;
}

auto StateReader::CountIsOff() const -> bool
{
  const auto found = m_members.AliveCount();
  const std::size_t recorded = m_state.RecordedBalancers();
  const auto gap = found > recorded ? found - recorded : recorded - found;
  return gap * kCountTolerance > recorded;
}

/// The first reader keeps the recorded number of balancers about right; one
/// that cannot hear all failure domains does not.
auto StateReader::RecordBalancers() -> awaitable<void>
{
  const auto now = Clock::now();
  if (!CountIsOff() || !m_members.LostDomains().empty() || Rank() != 0) {
    m_countOffSince = {};
    co_return;
  }
  if (m_countOffSince == Clock::time_point{}) {
    m_countOffSince = now;
  }
  if (now - m_countOffSince < kCountSettles) {
    co_return;
  }
  m_countOffSince = {};
  const auto found = static_cast<std::uint32_t>(m_members.AliveCount());
  std::error_code error;
  co_await m_source.RecordBalancers(found, error);
  LogInfo("balancers-recorded",
          { { "balancers", std::to_string(found) },
            { "before", std::to_string(m_state.RecordedBalancers()) },
            { "outcome", error ? error.message() : "done" } });
}

auto StateReader::Hurry() -> void
{
  m_hurried = true;
  m_wake.Notify();
}

auto StateReader::Rank() const -> std::size_t
{
  const auto& self = m_members.Self();
  auto addresses = m_members.AliveAddressesInDomain();
  addresses.push_back(self.address);
  const auto order = RendezvousOrder("state-reader", std::move(addresses));
  const auto place = std::find(order.begin(), order.end(), self.address);
  const auto inDomain = static_cast<std::size_t>(place - order.begin());
  std::vector<std::string> domains;
  for (const auto& [domain, alive] : m_members.AliveByDomain()) {
    domains.push_back(domain);
  }
  const auto domainOrder = RendezvousOrder("state-reader", std::move(domains));
  const bool first =
    domainOrder.empty() || domainOrder.front() == self.failureDomain;
  return first ? inDomain : inDomain + 1;
}

/// Pauses and waits add up to the same, by which others notice a late reader.
auto StateReader::PauseNow() const -> Milliseconds
{
  const bool alone = Clock::now() - m_startedAt < kMembersFound;
  return alone ? kPauseAlone : kPause;
}

auto StateReader::WaitNow(std::size_t aRank) const -> Milliseconds
{
  // Who stands in for a reader that is late tells what there is at once, so
  // that those behind it need not read as well.
  return aRank == 0 ? kWait + kPause - PauseNow() : Milliseconds(0);
}

auto StateReader::NextReading(std::size_t aRank) -> Clock::time_point
{
  if (m_hurried) {
    return m_retryAt;
  }
  if (aRank != m_lastRank) {
    m_lastRank = aRank;
    LogInfo("reader-rank",
            { { "rank", std::to_string(aRank) },
              { "reads_after_ms", std::to_string(ReadAfter(aRank).count()) } });
  }
  const auto after = aRank == 0 ? PauseNow() : ReadAfter(aRank);
  return std::max(m_retryAt, m_state.ReadAt() + after);
}

auto StateReader::ReadLoop() -> awaitable<void>
{
  for (;;) {
    const auto rank = Rank();
    const auto due = NextReading(rank);
    const auto now = Clock::now();
    if (now >= due) {
      m_hurried = false;
      co_await ReadOnce(rank);
      co_await RecordBalancers();
      continue;
    }
    if (now - m_state.ReadAt() > kStale) {
      AskSomebody(now);
    }
    co_await m_wake.WaitUntil(std::min(due, now + kAskEvery));
  }
}

auto StateReader::ReadOnce(std::size_t aRank) -> awaitable<void>
{
  const auto began = Clock::now();
  const bool whole = m_needWhole;
  std::error_code error;
  StateReading reading;
  if (whole) {
    reading = co_await m_source.ReadAll(error);
  } else {
    reading =
      co_await m_source.ReadChanges(m_state.Revision(), WaitNow(aRank), error);
  }
  const auto now = Clock::now();
  m_metrics.Add(Counter::StateReadings);
  if (error == make_error_code(SourceError::HistoryGone)) {
    m_metrics.Add(Counter::StateHistoryGone);
    LogInfo("state-history-gone",
            { { "revision", std::to_string(m_state.Revision()) } });
    m_needWhole = true;
    co_return;
  }
  if (error) {
    NoteFailure(error, now);
    co_return;
  }
  m_needWhole = false;
  const bool troubled =
    m_failedAt != Clock::time_point{} && now - m_failedAt < kTroubleKept;
  NoteSuccess();
  // The answer to a watch shows the store as it was when it was sent.
  m_broadcast.SendToAll(
    wire::MessageType::Routing,
    wire::PackBody(m_state.TakeReading(std::move(reading), whole, troubled,
                                       whole ? began : now, now)));
}

auto StateReader::NoteFailure(const std::error_code& aError,
                              Clock::time_point aNow) -> void
{
  m_metrics.Add(Counter::StateReadFailed);
  if (m_failures == 0) {
    LogWarning("store-lost",
               { { "why", aError.message() },
                 { "revision", std::to_string(m_state.Revision()) } });
  }
  m_failedAt = aNow;
  const auto pause = kRetry * (1 << std::min(m_failures, 4));
  ++m_failures;
  // Spread, so that balancers that failed together do not return together.
  const auto jitter = Milliseconds(m_random() % kRetry.count());
  m_retryAt = aNow + std::min<Milliseconds>(pause, kLongestRetry) + jitter;
}

auto StateReader::NoteSuccess() -> void
{
  if (m_failures > 0) {
    LogInfo("store-regained",
            { { "failed_calls", std::to_string(m_failures) } });
  }
  m_failures = 0;
  m_retryAt = {};
}

auto StateReader::AskSomebody(Clock::time_point aNow) -> void
{
  if (aNow - m_askedAt < kAskEvery) {
    return;
  }
  m_askedAt = aNow;
  const auto alive = m_members.AliveMembers();
  if (alive.empty()) {
    return;
  }
  m_metrics.Add(Counter::StateAsked);
  const auto& asked = alive[m_random() % alive.size()];
  m_links.SendMessage(asked.address, wire::MessageType::RoutingRequest,
                      Request(aNow));
}

auto StateReader::Request(Clock::time_point aNow) const -> RoutingRequest
{
  const bool changes = aNow - m_state.ReadAt() < kChangesKnown;
  return { changes ? m_state.Revision() : 0, m_state.RoutesVersion() };
}

auto StateReader::TakeNews(const wire::Hello& aSender, const RoutingNews& aNews)
  -> void
{
  m_metrics.Add(Counter::StateFromPeer);
  const auto now = Clock::now();
  if (!m_state.TakeNews(aNews, now)) {
    m_links.SendMessage(aSender.address, wire::MessageType::RoutingRequest,
                        Request(now));
    return;
  }
  m_needWhole = false;
  m_wake.Notify();
}

} // namespace bramleylock::forward
