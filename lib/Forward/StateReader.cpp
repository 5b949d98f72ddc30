// Reads the store on a schedule by rank and exchanges updates with peers.

#include "bramleylock/Forward/StateReader.h"

#include "bramleylock/Peer/Receive.h"
#include "bramleylock/Support/Log.h"
#include "bramleylock/Support/Rendezvous.h"

#include <algorithm>

namespace bramleylock::forward {

/// Pause between two watches during startup, when members are not found yet and
/// every balancer has rank 0. By the end of the pause, most balancers have
/// found those with a better rank and do not read.
static constexpr Milliseconds kStartupWatchPause{ 2000 };

/// Initial and maximum retry delay after failed calls; the delay doubles after
/// each failure.
static constexpr Milliseconds kInitialRetryDelay{ 250 };
static constexpr Milliseconds kMaxRetryDelay{ 1000 };

/// For this long after a failed call, missing entries may have expired because
/// of the outage.
static constexpr Milliseconds kOutageEffectDuration{ 4000 };

/// Interval of requests for state from a random peer of any failure domain.
static constexpr Milliseconds kPeerRequestInterval{ 500 };

/// Age from which the full state is requested: peers discard targets that
/// departed a minute ago and could not report their removal.
static constexpr Milliseconds kMaxIncrementalAge{ 30000 };

/// Number of balancers that watch the store if a service limits the requests to
/// targets that are warming up.
static constexpr std::size_t kWatchersWithWarmUpLimits = 2;

/// Pause between two watches in that case. Until the next watch, targets that
/// restart after others of their failure domain count as warm.
static constexpr Milliseconds kWatchPauseWithWarmUpLimits{ 50 };

/// Delay by rank of a reading that all balancers need. The first one that is
/// not waiting for a watch reads, and its update reaches the others before they
/// do.
static constexpr Milliseconds kNeededReadStep{ 30 };
static constexpr std::size_t kMaxNeededReadRank = 16;

/// Time for which the recorded number of balancers must be inaccurate before it
/// is recorded again: restarts take several seconds.
static constexpr Milliseconds kCountSettleTime{ 6000 };

/// Minimum interval between two records of former shares.
static constexpr Milliseconds kMinRecordInterval{ 1000 };

/// Divisor for the tolerated deviation of the recorded number. A deviation of
/// one in five changes each balancer's share of the targets by less than its
/// uncertainty about the load from other balancers.
static constexpr std::size_t kCountToleranceDivisor = 5;

/// While balancers return after the loss of all of them, one in this many of
/// the recorded ones is assumed to be back. If all of them were counted, the
/// first ones would leave targets idle.
static constexpr std::uint32_t kReturningDivisor = 2;

/// Period in which balancers return after the loss of all of them: the
/// platform's machines restart over about 350 ms and their readiness is polled
/// every 500 ms. Counting fewer balancers after this period would overload the
/// targets with four requests per slot.
static constexpr Milliseconds kReturnPeriod{ 500 };

auto AssumedBalancerCount(std::uint32_t aRecorded, Milliseconds aSinceStart)
  -> std::size_t
{
  const auto divisor = aSinceStart < kReturnPeriod ? kReturningDivisor : 1;
  return std::max<std::size_t>(aRecorded / divisor, 1);
}

StateReader::StateReader(asio::io_context& aContext, StateSource& aSource,
                         RoutingState& aState, peer::PeerLinks& aLinks,
                         peer::Membership& aMembers,
                         peer::Broadcast& aBroadcast, Metrics& aMetrics,
                         ReadIntervals aIntervals)
  : m_context(aContext)
  , m_source(aSource)
  , m_state(aState)
  , m_links(aLinks)
  , m_members(aMembers)
  , m_broadcast(aBroadcast)
  , m_metrics(aMetrics)
  , m_random(SecureRandomNumber())
  , m_wake(aContext)
  , m_intervals(aIntervals)
{
}

auto StateReader::Start() -> void
{
  const auto applyUpdate = peer::UnpackingHandler<RoutingUpdate>(
    m_metrics,
    [this](const wire::Hello& aSender, const RoutingUpdate& aUpdate) {
      if (IsValid(aUpdate)) {
        ApplyUpdate(aSender, aUpdate);
      } else {
        peer::ReportMalformed(m_metrics, aSender);
      }
    });
  m_broadcast.On(wire::MessageType::Routing, applyUpdate);
  m_links.On(wire::MessageType::RoutingAnswer, applyUpdate);
  peer::SetMessageHandler<RoutingRequest>(
    m_links, wire::MessageType::RoutingRequest, m_metrics,
    [this](const wire::Hello& aSender, const RoutingRequest& aRequest) {
      if (m_state.IsComplete()) {
        m_links.SendMessage(aSender.address, wire::MessageType::RoutingAnswer,
                            m_state.CreateUpdate(aRequest, Clock::now()));
      }
    });
  m_needFullRead = m_state.ReadAt() == Clock::time_point{};
  m_startedAt = Clock::now();
  Spawn(m_context, "read-state", ReadLoop());
}

auto StateReader::BalancerCount(Clock::time_point aNow) const -> std::size_t
{
  const auto found = m_members.AliveCount();
  const auto since =
    std::chrono::duration_cast<Milliseconds>(aNow - m_startedAt);
  return since < kMemberDiscoveryTime
           ? std::max(found, AssumedBalancerCount(
                               m_state.RecordedBalancerCount(), since))
           : found;
}

auto StateReader::Intervals() const -> const ReadIntervals&
{
  return m_intervals;
}

auto StateReader::RecordedCountDeviates() const -> bool
{
  const auto found = m_members.AliveCount();
  const std::size_t recorded = m_state.RecordedBalancerCount();
  const auto difference =
    found > recorded ? found - recorded : recorded - found;
  return difference * kCountToleranceDivisor > recorded;
}

/// Corrects the recorded number of balancers if it has been inaccurate for some
/// time. Only the first reader does this, and only if it reaches all failure
/// domains.
auto StateReader::RecordBalancerCount() -> awaitable<void>
{
  const auto now = Clock::now();
  if (!RecordedCountDeviates() || !m_members.LostDomains().empty() ||
      Rank() != 0) {
    m_countDeviatesSince = {};
    co_return;
  }
  if (m_countDeviatesSince == Clock::time_point{}) {
    m_countDeviatesSince = now;
  }
  if (now - m_countDeviatesSince < kCountSettleTime) {
    co_return;
  }
  m_countDeviatesSince = {};
  const auto found = static_cast<std::uint32_t>(m_members.AliveCount());
  std::error_code error;
  co_await m_source.RecordBalancerCount(found, error);
  LogInfo("balancers-recorded",
          { { "balancers", std::to_string(found) },
            { "before", std::to_string(m_state.RecordedBalancerCount()) },
            { "outcome", error ? error.message() : "done" } });
}

/// Starts to record former shares if the store lacks them. Reading does not
/// wait for the write.
auto StateReader::StartRecordingShares(std::size_t aRank) -> void
{
  const auto now = Clock::now();
  if (aRank != 0 || m_failedCalls > 0 || m_recordingShares ||
      now - m_sharesRecordedAt < kMinRecordInterval ||
      !m_state.SharesToRecord()) {
    return;
  }
  m_sharesRecordedAt = now;
  m_recordingShares = true;
  Spawn(m_context, "record-former-shares", RecordFormerShares());
}

/// Records which services routes allowed besides those in force, so that
/// balancers know the targets of open flows after the loss of all balancers.
auto StateReader::RecordFormerShares() -> awaitable<void>
{
  const auto shares = m_state.SharesToRecord();
  std::error_code error;
  if (shares) {
    co_await m_source.RecordFormerShares(*shares, error);
  }
  m_recordingShares = false;
  if (!shares) {
    co_return;
  }
  m_metrics.Add(Counter::FormerSharesRecorded);
  LogInfo("former-shares-recorded",
          { { "shares", std::to_string(shares->size()) },
            { "routes", std::to_string(m_state.RoutesVersion()) },
            { "outcome", error ? error.message() : "done" } });
}

auto StateReader::ReadImmediately() -> void
{
  m_readImmediately = true;
  m_wake.NotifyAll();
}

auto StateReader::ReadAsOf(Clock::time_point aTime) -> void
{
  m_neededAsOf = std::max(m_neededAsOf, aTime);
  m_wake.NotifyAll();
}

auto StateReader::Rank() const -> std::size_t
{
  const auto position = Position();
  return position.domain == 0 ? position.rankInDomain
                              : position.rankInDomain + 1;
}

auto StateReader::Watches() const -> bool
{
  return WatchesStore(
    Position(), m_state.HasWarmUpLimits() ? kWatchersWithWarmUpLimits : 1);
}

auto StateReader::Position() const -> ReaderPosition
{
  const auto& self = m_members.Self();
  std::vector<ReaderCandidate> candidates{ { self.address,
                                             self.capacityClass } };
  for (const auto& [address, capacityClass] :
       m_members.CapacityClassesInDomain()) {
    candidates.push_back({ address, capacityClass });
  }
  const auto rankInDomain = RankInDomain(self.address, std::move(candidates));
  std::vector<std::string> domains;
  for (const auto& [domain, alive] : m_members.AliveByDomain()) {
    domains.push_back(domain);
  }
  const auto domainOrder = RendezvousOrder("state-reader", std::move(domains));
  const auto position = static_cast<std::size_t>(
    std::find(domainOrder.begin(), domainOrder.end(), self.failureDomain) -
    domainOrder.begin());
  return { position, std::max<std::size_t>(domainOrder.size(), 1),
           rankInDomain };
}

/// The pause and the watch timeout always have the same sum, from which other
/// balancers detect a late reader.
auto StateReader::CurrentWatchPause() const -> Milliseconds
{
  const bool starting = Clock::now() - m_startedAt < kMemberDiscoveryTime;
  if (starting) {
    return std::min(kStartupWatchPause, m_intervals.watchTimeout);
  }
  return m_state.HasWarmUpLimits()
           ? std::min(kWatchPauseWithWarmUpLimits, m_intervals.watchPause)
           : m_intervals.watchPause;
}

auto StateReader::CurrentWatchTimeout(std::size_t aRank) const -> Milliseconds
{
  // A balancer that replaces a late reader returns the current changes at once,
  // so that balancers with higher ranks need not read as well.
  return aRank == 0 && !NeedsReading()
           ? m_intervals.watchTimeout + m_intervals.watchPause -
               CurrentWatchPause()
           : Milliseconds(0);
}

auto StateReader::NextReadTime(std::size_t aRank) -> Clock::time_point
{
  if (m_readImmediately) {
    return m_retryAt;
  }
  if (aRank != m_lastRank) {
    m_lastRank = aRank;
    // Another balancer may have written the record since the last reading here.
    m_state.ForgetRecordedShares();
    LogInfo("reader-rank",
            { { "rank", std::to_string(aRank) },
              { "reads_after_ms",
                std::to_string(ReadDelay(aRank, m_intervals).count()) } });
  }
  const auto delay =
    aRank == 0 ? CurrentWatchPause() : ReadDelay(aRank, m_intervals);
  auto dueAt = m_state.ReadAt() + delay;
  if (NeedsReading()) {
    const auto rank = static_cast<int>(std::min(aRank, kMaxNeededReadRank));
    dueAt = std::min(dueAt, m_neededAsOf + kNeededReadStep * rank);
  }
  return std::max(m_retryAt, dueAt);
}

auto StateReader::NeedsReading() const -> bool
{
  return m_neededAsOf > m_state.ReadAt();
}

auto StateReader::ReadLoop() -> awaitable<void>
{
  for (;;) {
    const auto rank = Rank();
    const auto readRank = Watches() ? 0 : rank;
    const auto dueAt = NextReadTime(readRank);
    const auto now = Clock::now();
    if (now >= dueAt) {
      m_readImmediately = false;
      co_await ReadOnce(readRank);
      co_await RecordBalancerCount();
      StartRecordingShares(rank);
      continue;
    }
    if (now - m_state.ReadAt() > m_intervals.staleAge) {
      RequestFromRandomPeer(now);
    }
    co_await m_wake.WaitUntil(std::min(dueAt, now + kPeerRequestInterval));
  }
}

auto StateReader::ReadOnce(std::size_t aRank) -> awaitable<void>
{
  const auto readStartedAt = Clock::now();
  // A response that names a new generation ends the history that is known here,
  // so that no watch can continue it.
  const auto known = m_state.Revision();
  const bool full =
    m_needFullRead || m_source.Generation() > known.generation ||
    FullReadingIsSmaller(m_readSizes) || !m_state.ListsEvacuations();
  std::error_code error;
  StateReading reading;
  if (full) {
    reading = co_await m_source.ReadAll(error);
  } else {
    reading =
      co_await m_source.ReadChanges(known, CurrentWatchTimeout(aRank), error);
  }
  const auto now = Clock::now();
  m_metrics.Add(Counter::StateReadings);
  if (error == make_error_code(SourceError::HistoryGone)) {
    m_metrics.Add(Counter::StateHistoryGone);
    LogInfo("state-history-gone",
            { { "revision", FormatRevision(m_state.Revision()) } });
    m_needFullRead = true;
    co_return;
  }
  if (error) {
    // A response that is too long for the link would only grow until the next
    // watch.
    m_needFullRead =
      m_needFullRead || error == make_error_code(SourceError::Incomplete);
    RecordFailure(error, now);
    co_return;
  }
  m_readSizes = full ? ReadSizes{ reading.bytes, 0 }
                     : ReadSizes{ m_readSizes.full, reading.bytes };
  const bool continuesKnown =
    full || reading.revision.generation == known.generation;
  if (!continuesKnown ||
      reading.revision.generation < m_state.Revision().generation) {
    // The store was restored while the call was in progress: the changes are
    // those of another history than the known one, or the response is from
    // before the restore that a peer has reported meanwhile.
    m_metrics.Add(Counter::StateOutdated);
    LogInfo("state-outdated",
            { { "from", "store" },
              { "revision", FormatRevision(reading.revision) },
              { "known", FormatRevision(m_state.Revision()) } });
    m_readImmediately = true;
    co_return;
  }
  m_needFullRead = false;
  if (full) {
    LogInfo("state-read-in-full",
            { { "revision", FormatRevision(reading.revision) },
              { "known", FormatRevision(m_state.Revision()) },
              { "routes",
                std::to_string(reading.routes ? reading.routes->version : 0) },
              { "routes_known", std::to_string(m_state.RoutesVersion()) },
              { "targets", std::to_string(reading.targets.size()) } });
  }
  const bool storeFailedRecently =
    m_lastFailureAt != Clock::time_point{} &&
    now - m_lastFailureAt < kOutageEffectDuration;
  RecordSuccess();
  // The response to a watch reflects the store at the time it was sent, which
  // is long past when a slow link has transferred it.
  const auto sentAt =
    full ? readStartedAt : std::clamp(reading.sentAt, readStartedAt, now);
  m_broadcast.SendToAll(
    wire::MessageType::Routing,
    wire::PackBody(m_state.ApplyReading(std::move(reading), full,
                                        storeFailedRecently, sentAt, now)));
}

auto StateReader::RecordFailure(const std::error_code& aError,
                                Clock::time_point aNow) -> void
{
  m_metrics.Add(Counter::StateReadFailed);
  if (m_failedCalls == 0) {
    LogWarning("store-lost",
               { { "why", aError.message() },
                 { "revision", FormatRevision(m_state.Revision()) } });
  }
  m_lastFailureAt = aNow;
  const auto pause = kInitialRetryDelay * (1 << std::min(m_failedCalls, 4));
  ++m_failedCalls;
  // Add jitter, so that balancers that failed together do not retry together.
  const auto jitter = Milliseconds(m_random() % kInitialRetryDelay.count());
  m_retryAt = aNow + std::min<Milliseconds>(pause, kMaxRetryDelay) + jitter;
}

auto StateReader::RecordSuccess() -> void
{
  if (m_failedCalls > 0) {
    LogInfo("store-regained",
            { { "failed_calls", std::to_string(m_failedCalls) } });
  }
  m_failedCalls = 0;
  m_retryAt = {};
}

auto StateReader::RequestFromRandomPeer(Clock::time_point aNow) -> void
{
  if (aNow - m_requestedAt < kPeerRequestInterval) {
    return;
  }
  m_requestedAt = aNow;
  const auto alive = m_members.AliveMembers();
  if (alive.empty()) {
    return;
  }
  m_metrics.Add(Counter::StateAsked);
  const auto& member = alive[m_random() % alive.size()];
  m_links.SendMessage(member.address, wire::MessageType::RoutingRequest,
                      CreateRequest(aNow));
}

auto StateReader::CreateRequest(Clock::time_point aNow) const -> RoutingRequest
{
  const bool incremental = aNow - m_state.ReadAt() < kMaxIncrementalAge;
  return { incremental ? m_state.Revision() : StoreRevision(),
           m_state.RoutesVersion() };
}

auto StateReader::ApplyUpdate(const wire::Hello& aSender,
                              const RoutingUpdate& aUpdate) -> void
{
  m_metrics.Add(Counter::StateFromPeer);
  const auto now = Clock::now();
  if (!m_state.ApplyUpdate(aUpdate, now)) {
    m_links.SendMessage(aSender.address, wire::MessageType::RoutingRequest,
                        CreateRequest(now));
    return;
  }
  m_needFullRead = false;
  m_wake.NotifyAll();
}

} // namespace bramleylock::forward
