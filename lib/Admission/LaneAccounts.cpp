// Accounting of the subqueues: their shares of the slots, their credit, and the
// retry times returned to refused callers.

#include "bramleylock/Admission/FairQueue.h"

#include <algorithm>
#include <cmath>

namespace bramleylock::admission {

using lists::SizeClass;
using lists::Urgency;

/// Upper bound of a subqueue's credit: seconds of its share of the slots, but
/// at least enough for this number of requests.
static constexpr double kSavedSeconds = 3.0;
static constexpr double kSavedRequests = 4;

/// How long a subqueue without requests counts in the division of the slots,
/// and how long its state is kept.
static constexpr Milliseconds kActiveFor{ 1000 };
static constexpr std::chrono::seconds kRememberedFor{ 60 };
static constexpr Milliseconds kSharesEvery{ 100 };

static constexpr double kUnknownHoldSeconds = 0.05;
static constexpr double kSmoothing = 0.1;
static constexpr double kLeastLatencyDrift = 1.002;

/// Upper bound of a request's charge, relative to the minimum slot time of its
/// kind of work.
static constexpr double kChargeLimit = 2;

/// Time constant of the average number of running requests.
static constexpr double kMeanRunningSeconds = 1.0;

/// A request is presumed lost when its target has sent nothing for this
/// multiple of the average slot time of its kind, and for at least the minimum
/// time.
static constexpr double kOverdueHolds = 4;
static constexpr double kLeastOverdueSeconds = 1.0;

static constexpr std::uint32_t kLeastRetryMs = 50;
static constexpr std::uint32_t kMostRetryMs = 5000;

static auto Smooth(double& aValue, double aSample) -> void
{
  aValue = aValue == 0 ? aSample : aValue + kSmoothing * (aSample - aValue);
}

auto FairQueue::AverageRunning(Lane& aLane, Clock::time_point aNow) -> void
{
  const auto passed = InSeconds(aNow - aLane.meanRunningAt);
  const auto weight = 1 - std::exp(-passed / kMeanRunningSeconds);
  aLane.meanRunning +=
    weight * (static_cast<double>(aLane.running) - aLane.meanRunning);
  aLane.meanRunningAt = aNow;
}

auto FairQueue::FindLane(const AdmissionRequest& aRequest,
                         Clock::time_point aNow) -> LanePointer
{
  auto& lane = m_lanes[{ aRequest.plan, aRequest.work }];
  if (!lane) {
    lane = std::make_shared<Lane>();
    lane->plan = aRequest.plan;
    lane->urgency = aRequest.urgency;
    lane->size = aRequest.size;
    lane->creditAt = aNow;
    lane->credit = kUnknownHoldSeconds * kSavedRequests;
    m_shortSeen |= aRequest.size == SizeClass::Short;
    m_urgentSeen |= aRequest.urgency != Urgency::Bulk;
    m_sharesAt = {};
  }
  lane->planWeight = std::max(aRequest.weight, 1e-6);
  lane->lastUsed = aNow;
  if (aNow - m_sharesAt >= kSharesEvery) {
    RefreshShares(aNow);
  }
  Earn(*lane, aNow);
  return lane;
}

/// Divides the slots between the active plans by weight, and the share of a
/// plan evenly between its kinds of work, so that a flood of one kind does not
/// starve the plan's other kinds.
auto FairQueue::RefreshShares(Clock::time_point aNow) -> void
{
  m_sharesAt = aNow;
  std::map<std::string, std::size_t> kinds;
  double weights = 0;
  const auto active = [aNow](const Lane& aLane) {
    return aLane.running > 0 || !aLane.waiting.empty() ||
           aNow - aLane.lastUsed < kActiveFor;
  };
  for (auto entry = m_lanes.begin(); entry != m_lanes.end();) {
    auto& lane = *entry->second;
    Earn(lane, aNow);
    if (active(lane)) {
      weights += kinds[lane.plan]++ == 0 ? lane.planWeight : 0;
    } else if (aNow - lane.lastUsed > kRememberedFor) {
      entry = m_lanes.erase(entry);
      continue;
    }
    ++entry;
  }
  for (auto& [key, lane] : m_lanes) {
    const auto found = kinds.find(lane->plan);
    const auto sharers =
      found == kinds.end() ? 1 : std::max<std::size_t>(1, found->second);
    lane->share = weights == 0
                    ? 1
                    : lane->planWeight / weights / static_cast<double>(sharers);
  }
}

auto FairQueue::Hold(const Lane& aLane) const -> double
{
  if (aLane.holdSeconds > 0) {
    return aLane.holdSeconds;
  }
  return m_holdSeconds > 0 ? m_holdSeconds : kUnknownHoldSeconds;
}

auto FairQueue::Earn(Lane& aLane, Clock::time_point aNow) -> void
{
  const auto earned = InSeconds(aNow - aLane.creditAt) * Slots() * aLane.share;
  const auto most = std::max(kSavedSeconds * Slots() * aLane.share,
                             kSavedRequests * Hold(aLane));
  aLane.credit = std::min(most, aLane.credit + earned);
  aLane.creditAt = aNow;
}

/// The estimated rate at which the subqueue is served. It follows from its
/// credit, or else from its share or the average number of slots it has
/// recently held, whichever is greater. The number of slots held at one moment
/// is too optimistic: with ten times the load offered, the queue would fill up
/// to what the highest momentary rate allows.
auto FairQueue::DrainPerSecond(const Lane& aLane) const -> double
{
  const auto covered = static_cast<double>(aLane.waiting.size() + 1) *
                       (aLane.chargeSeconds > 0 ? aLane.chargeSeconds : 0);
  if (aLane.credit > covered) {
    // Requests covered by credit are served before all others.
    return Slots() / Hold(aLane);
  }
  const auto slots = std::max(Slots() * aLane.share, aLane.meanRunning);
  return std::max(slots, 0.1) / Hold(aLane);
}

auto FairQueue::NextReturn(Lane& aLane, Clock::time_point aNow) -> std::uint32_t
{
  // Each refused caller gets a retry time one service interval after that of
  // the previous one, so that the callers do not retry at the same time.
  const auto perSecond = DrainPerSecond(aLane);
  const auto first =
    aNow +
    std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(
      static_cast<double>(aLane.waiting.size()) / perSecond));
  const auto step = std::chrono::duration_cast<Clock::duration>(
    std::chrono::duration<double>(1 / perSecond));
  aLane.nextReturn = std::max(first, aLane.nextReturn + step);
  const auto last = aNow + Milliseconds(kMostRetryMs);
  aLane.nextReturn = std::min(aLane.nextReturn, last);
  const auto wait =
    static_cast<std::uint32_t>(InSeconds(aLane.nextReturn - aNow) * 1000);
  return std::clamp(wait, kLeastRetryMs, kMostRetryMs);
}

auto FairQueue::RetryAfter(const std::shared_ptr<Ticket>& aTicket,
                           Clock::time_point aNow) -> std::uint32_t
{
  return NextReturn(*aTicket->lane, aNow);
}

auto FairQueue::OverdueAfter(const std::shared_ptr<Ticket>& aTicket) const
  -> Clock::duration
{
  const auto seconds =
    std::max(kLeastOverdueSeconds, kOverdueHolds * Hold(*aTicket->lane));
  return std::chrono::duration_cast<Clock::duration>(
    std::chrono::duration<double>(seconds));
}

auto FairQueue::Learn(const Ticket& aTicket, const AdmissionOutcome& aOutcome,
                      bool aFull, Clock::time_point aNow) -> void
{
  auto& lane = *aTicket.lane;
  const auto held = InSeconds(aNow - aTicket.startedAt);
  Earn(lane, aNow);
  lane.lastUsed = aNow;
  double queued = 0;
  if (aOutcome.answered) {
    Smooth(lane.holdSeconds, held);
    Smooth(m_holdSeconds, held);
    const auto latency = std::max(1e-6, InSeconds(aOutcome.latency));
    lane.leastLatency =
      lane.leastLatency == 0
        ? latency
        : std::min(latency, lane.leastLatency * kLeastLatencyDrift);
    queued = latency - lane.leastLatency;
    m_limit.OnAnswer(latency / lane.leastLatency, aFull, aNow);
  }
  // The time that the request queued at the target behind other requests is not
  // charged. Neither is most of the time that a slow caller takes to receive
  // its answer.
  const auto alone = std::max(0.0, held - queued);
  if (aOutcome.answered) {
    lane.leastHold = lane.leastHold == 0
                       ? alone
                       : std::min(alone, lane.leastHold * kLeastLatencyDrift);
  }
  const auto used =
    lane.leastHold > 0 ? std::min(alone, kChargeLimit * lane.leastHold) : alone;
  lane.credit -= used - aTicket.charged;
  Smooth(lane.chargeSeconds, used);
}

} // namespace bramleylock::admission
