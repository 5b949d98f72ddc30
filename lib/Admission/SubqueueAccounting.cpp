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
static constexpr double kMaxCreditSeconds = 3.0;
static constexpr double kMinCreditLimitRequests = 4;

/// How long a subqueue without requests counts in the division of the slots,
/// and how long its state is kept.
static constexpr Milliseconds kActiveTimeout{ 1000 };
static constexpr std::chrono::seconds kIdleRetention{ 60 };
static constexpr Milliseconds kShareRefreshInterval{ 100 };

static constexpr double kDefaultHoldSeconds = 0.05;
static constexpr double kSmoothingFactor = 0.1;
static constexpr double kMinimumDriftFactor = 1.002;

/// Upper bound of a request's charge, relative to the minimum slot time of its
/// kind of work.
static constexpr double kMaxChargeRatio = 2;

/// Time constant of the average number of running requests.
static constexpr double kMeanRunningTimeConstantSeconds = 1.0;

/// A request is presumed lost when its target has sent nothing for this
/// multiple of the average slot time of its kind, and for at least the minimum
/// time.
static constexpr double kInactivityHoldMultiple = 4;
static constexpr double kMinInactivitySeconds = 1.0;

static constexpr std::uint32_t kMinRetryAfterMs = 50;
static constexpr std::uint32_t kMaxRetryAfterMs = 5000;

static auto UpdateMovingAverage(double& aValue, double aSample) -> void
{
  aValue =
    aValue == 0 ? aSample : aValue + kSmoothingFactor * (aSample - aValue);
}

auto FairQueue::UpdateMeanRunning(Subqueue& aSubqueue, Clock::time_point aNow)
  -> void
{
  const auto elapsedSeconds = InSeconds(aNow - aSubqueue.meanRunningUpdatedAt);
  const auto weight =
    1 - std::exp(-elapsedSeconds / kMeanRunningTimeConstantSeconds);
  aSubqueue.meanRunning +=
    weight * (static_cast<double>(aSubqueue.running) - aSubqueue.meanRunning);
  aSubqueue.meanRunningUpdatedAt = aNow;
}

auto FairQueue::FindSubqueue(const AdmissionRequest& aRequest,
                             Clock::time_point aNow) -> SubqueuePointer
{
  auto& subqueue = m_subqueues[{ aRequest.plan, aRequest.work }];
  if (!subqueue) {
    subqueue = std::make_shared<Subqueue>();
    subqueue->plan = aRequest.plan;
    subqueue->urgency = aRequest.urgency;
    subqueue->size = aRequest.size;
    subqueue->creditUpdatedAt = aNow;
    subqueue->credit = kDefaultHoldSeconds * kMinCreditLimitRequests;
    m_hasShortWork |= aRequest.size == SizeClass::Short;
    m_hasNonBulkWork |= aRequest.urgency != Urgency::Bulk;
    m_sharesUpdatedAt = {};
  }
  subqueue->planWeight = std::max(aRequest.weight, 1e-6);
  subqueue->lastUsed = aNow;
  if (aNow - m_sharesUpdatedAt >= kShareRefreshInterval) {
    RefreshShares(aNow);
  }
  AccrueCredit(*subqueue, aNow);
  return subqueue;
}

/// Divides the slots between the active plans by weight, and the share of a
/// plan evenly between its kinds of work, so that a flood of one kind does not
/// starve the plan's other kinds.
auto FairQueue::RefreshShares(Clock::time_point aNow) -> void
{
  m_sharesUpdatedAt = aNow;
  std::map<std::string, std::size_t> activeSubqueues;
  double totalWeight = 0;
  const auto active = [aNow](const Subqueue& aSubqueue) {
    return aSubqueue.running > 0 || !aSubqueue.waiting.empty() ||
           aNow - aSubqueue.lastUsed < kActiveTimeout;
  };
  for (auto iterator = m_subqueues.begin(); iterator != m_subqueues.end();) {
    auto& subqueue = *iterator->second;
    AccrueCredit(subqueue, aNow);
    if (active(subqueue)) {
      totalWeight +=
        activeSubqueues[subqueue.plan]++ == 0 ? subqueue.planWeight : 0;
    } else if (aNow - subqueue.lastUsed > kIdleRetention) {
      iterator = m_subqueues.erase(iterator);
      continue;
    }
    ++iterator;
  }
  for (auto& [key, subqueue] : m_subqueues) {
    const auto found = activeSubqueues.find(subqueue->plan);
    const auto planSubqueues = found == activeSubqueues.end()
                                 ? 1
                                 : std::max<std::size_t>(1, found->second);
    subqueue->share = totalWeight == 0 ? 1
                                       : subqueue->planWeight / totalWeight /
                                           static_cast<double>(planSubqueues);
  }
}

auto FairQueue::HoldSeconds(const Subqueue& aSubqueue) const -> double
{
  if (aSubqueue.meanHoldSeconds > 0) {
    return aSubqueue.meanHoldSeconds;
  }
  return m_meanHoldSeconds > 0 ? m_meanHoldSeconds : kDefaultHoldSeconds;
}

auto FairQueue::AccrueCredit(Subqueue& aSubqueue, Clock::time_point aNow)
  -> void
{
  const auto accrued =
    InSeconds(aNow - aSubqueue.creditUpdatedAt) * Slots() * aSubqueue.share;
  const auto maxCredit =
    std::max(kMaxCreditSeconds * Slots() * aSubqueue.share,
             kMinCreditLimitRequests * HoldSeconds(aSubqueue));
  aSubqueue.credit = std::min(maxCredit, aSubqueue.credit + accrued);
  aSubqueue.creditUpdatedAt = aNow;
}

/// The estimated rate at which the subqueue is served. It follows from its
/// credit, or else from its share or the average number of slots it has
/// recently held, whichever is greater. The number of slots held at one moment
/// is too optimistic: with ten times the load offered, the queue would fill up
/// to what the highest momentary rate allows.
auto FairQueue::ServiceRatePerSecond(const Subqueue& aSubqueue) const -> double
{
  const auto backlogCharge =
    static_cast<double>(aSubqueue.waiting.size() + 1) *
    (aSubqueue.meanChargeSeconds > 0 ? aSubqueue.meanChargeSeconds : 0);
  if (aSubqueue.credit > backlogCharge) {
    // Requests covered by credit are served before all others.
    return Slots() / HoldSeconds(aSubqueue);
  }
  const auto slots = std::max(Slots() * aSubqueue.share, aSubqueue.meanRunning);
  return std::max(slots, 0.1) / HoldSeconds(aSubqueue);
}

auto FairQueue::NextRetryAfterMs(Subqueue& aSubqueue, Clock::time_point aNow)
  -> std::uint32_t
{
  // Each refused caller gets a retry time one service interval after that of
  // the previous one, so that the callers do not retry at the same time.
  const auto serviceRatePerSecond = ServiceRatePerSecond(aSubqueue);
  const auto earliest =
    aNow +
    std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(
      static_cast<double>(aSubqueue.waiting.size()) / serviceRatePerSecond));
  const auto interval = std::chrono::duration_cast<Clock::duration>(
    std::chrono::duration<double>(1 / serviceRatePerSecond));
  aSubqueue.nextRetryAt = std::max(earliest, aSubqueue.nextRetryAt + interval);
  const auto latest = aNow + Milliseconds(kMaxRetryAfterMs);
  aSubqueue.nextRetryAt = std::min(aSubqueue.nextRetryAt, latest);
  const auto retryAfterMs =
    static_cast<std::uint32_t>(InSeconds(aSubqueue.nextRetryAt - aNow) * 1000);
  return std::clamp(retryAfterMs, kMinRetryAfterMs, kMaxRetryAfterMs);
}

auto FairQueue::RetryAfterMs(const std::shared_ptr<Ticket>& aTicket,
                             Clock::time_point aNow) -> std::uint32_t
{
  return NextRetryAfterMs(*aTicket->subqueue, aNow);
}

auto FairQueue::InactivityTimeout(const std::shared_ptr<Ticket>& aTicket) const
  -> Clock::duration
{
  const auto seconds =
    std::max(kMinInactivitySeconds,
             kInactivityHoldMultiple * HoldSeconds(*aTicket->subqueue));
  return std::chrono::duration_cast<Clock::duration>(
    std::chrono::duration<double>(seconds));
}

auto FairQueue::UpdateEstimates(const Ticket& aTicket,
                                const AdmissionOutcome& aOutcome,
                                bool aSaturated, Clock::time_point aNow) -> void
{
  auto& subqueue = *aTicket.subqueue;
  const auto heldSeconds = InSeconds(aNow - aTicket.startedAt);
  AccrueCredit(subqueue, aNow);
  subqueue.lastUsed = aNow;
  double queuedSeconds = 0;
  if (aOutcome.answered) {
    UpdateMovingAverage(subqueue.meanHoldSeconds, heldSeconds);
    UpdateMovingAverage(m_meanHoldSeconds, heldSeconds);
    const auto latency = std::max(1e-6, InSeconds(aOutcome.latency));
    subqueue.minLatencySeconds =
      subqueue.minLatencySeconds == 0
        ? latency
        : std::min(latency, subqueue.minLatencySeconds * kMinimumDriftFactor);
    queuedSeconds = latency - subqueue.minLatencySeconds;
    m_limit.OnAnswer(latency / subqueue.minLatencySeconds, aSaturated, aNow);
  }
  // The time that the request queued at the target behind other requests is not
  // charged. Neither is most of the time that a slow caller takes to receive
  // its answer.
  const auto serviceSeconds = std::max(0.0, heldSeconds - queuedSeconds);
  if (aOutcome.answered) {
    subqueue.minHoldSeconds =
      subqueue.minHoldSeconds == 0
        ? serviceSeconds
        : std::min(serviceSeconds,
                   subqueue.minHoldSeconds * kMinimumDriftFactor);
  }
  const auto chargeSeconds =
    subqueue.minHoldSeconds > 0
      ? std::min(serviceSeconds, kMaxChargeRatio * subqueue.minHoldSeconds)
      : serviceSeconds;
  subqueue.credit -= chargeSeconds - aTicket.chargedSeconds;
  UpdateMovingAverage(subqueue.meanChargeSeconds, chargeSeconds);
}

} // namespace bramleylock::admission
