// Keeps the clients in the order of their last sample.

#include "bramleylock/Estimate/RoundTripTable.h"

#include <algorithm>

namespace bramleylock::estimate {

/// Minimum time between two samples of a client for the typical round trip.
static constexpr std::chrono::seconds kContributionInterval{ 1 };

/// Minimum time between two samples of a client for other shared estimates.
static constexpr Milliseconds kSharedSampleInterval{ 100 };

/// Number of mean deviations after which a reaction is overdue, as in RFC 6298.
static constexpr double kTimeoutDeviations = 4;

/// Timeout before the first sample: the time after which clients themselves
/// repeat a packet.
static constexpr Milliseconds kInitialTimeout{ 200 };

/// Lower limits of the timeout and of its margin over the mean round trip.
/// Balancers and clients on slow machines lose the processor for tens of
/// milliseconds, however steady the round trips were before.
static constexpr Milliseconds kMinTimeout{ 60 };
static constexpr Milliseconds kMinMargin{ 50 };

/// Number of mean deviations within which most reactions arrive, and the lower
/// limit of their margin over the mean round trip. A steady client's deviation
/// falls below the time for which a process waits for the processor.
static constexpr double kUsualDeviations = 2;
static constexpr Milliseconds kMinUsualMargin{ 10 };

/// Upper limit of samples and timeouts. Longer round trips are due to
/// retransmissions or to clients that respond late.
static constexpr Milliseconds kMaxTimeout{ 1000 };

auto RoundTripTable::Remove(std::list<Client>::iterator aPosition) -> void
{
  m_byAddress.erase(aPosition->address);
  m_clients.erase(aPosition);
}

auto RoundTripTable::Record(std::uint32_t aClient, Duration aSample,
                            Clock::time_point aNow) -> void
{
  const auto sample = std::min<Duration>(aSample, kMaxTimeout);
  const auto found = m_byAddress.find(aClient);
  if (found != m_byAddress.end()) {
    m_clients.splice(m_clients.end(), m_clients, found->second);
  } else {
    if (m_clients.size() >= kMaxClients) {
      Remove(m_clients.begin());
    }
    m_clients.push_back({ aClient });
    m_byAddress[aClient] = std::prev(m_clients.end());
  }
  auto& client = m_clients.back();
  client.estimate.Record(sample);
  client.recordedAt = aNow;
  if (client.contributedAt == Clock::time_point{} ||
      aNow - client.contributedAt >= kContributionInterval) {
    client.contributedAt = aNow;
    m_typical.Record(sample);
  }
}

auto RoundTripTable::AdmitSharedSample(std::uint32_t aClient,
                                       Clock::time_point aNow) -> bool
{
  const auto found = m_byAddress.find(aClient);
  if (found == m_byAddress.end()) {
    return true;
  }
  auto& last = found->second->sharedSampleAt;
  if (last != Clock::time_point{} && aNow - last < kSharedSampleInterval) {
    return false;
  }
  last = aNow;
  return true;
}

auto RoundTripTable::EstimateFor(std::uint32_t aClient) const
  -> const TimeEstimate&
{
  const auto found = m_byAddress.find(aClient);
  return found == m_byAddress.end() ? m_typical : found->second->estimate;
}

auto RoundTripTable::Mean(std::uint32_t aClient) const -> Duration
{
  return EstimateFor(aClient).Mean();
}

/// The first clients to react are the nearest ones, so the typical round trip
/// is used for other clients only once it is settled.
auto RoundTripTable::Timeout(std::uint32_t aClient) const -> Duration
{
  const bool isMeasured = Contains(aClient) || m_typical.IsSettled();
  const auto& estimate = EstimateFor(aClient);
  const auto timeout = std::clamp<Duration>(
    std::max<Duration>(estimate.UpperBound(kTimeoutDeviations),
                       estimate.Mean() + kMinMargin),
    kMinTimeout, kMaxTimeout);
  return isMeasured ? timeout : std::max<Duration>(timeout, kInitialTimeout);
}

auto RoundTripTable::Contains(std::uint32_t aClient) const -> bool
{
  return m_byAddress.contains(aClient);
}

/// The typical round trip is used only once it is settled, as for Timeout.
auto RoundTripTable::UsualBound(std::uint32_t aClient) const -> Duration
{
  const auto timeout = Timeout(aClient);
  if (!Contains(aClient) && !m_typical.IsSettled()) {
    return timeout;
  }
  const auto& estimate = EstimateFor(aClient);
  return std::min(timeout,
                  std::max<Duration>(estimate.UpperBound(kUsualDeviations),
                                     estimate.Mean() + kMinUsualMargin));
}

auto RoundTripTable::RemoveUnusedSince(Clock::time_point aLimit) -> void
{
  while (!m_clients.empty() && m_clients.front().recordedAt < aLimit) {
    Remove(m_clients.begin());
  }
}

auto RoundTripTable::Size() const -> std::size_t
{
  return m_clients.size();
}

} // namespace bramleylock::estimate
