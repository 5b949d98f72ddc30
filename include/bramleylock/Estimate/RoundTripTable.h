// Round-trip times of clients. Independent of sockets and clocks.
#pragma once

#include <cstdint>
#include <list>
#include <unordered_map>

#include "bramleylock/Estimate/TimeEstimate.h"
#include "bramleylock/Support/Asio.h"

namespace bramleylock::estimate {

/// Estimates for each client the time from a forwarded packet until the
/// client's reaction to the target's response. A client without samples is
/// assumed to be like the others; there, a client contributes at most one
/// sample per second, so that no single client determines what is assumed of
/// others.
class RoundTripTable
{
public:
  /// Maximum number of clients with an estimate of their own; the least
  /// recently recorded one is dropped first.
  static constexpr std::size_t kMaxClients = 1024;

  /// Records a round trip of the client with IP address aClient.
  auto Record(std::uint32_t aClient, Duration aSample, Clock::time_point aNow)
    -> void;

  /// Returns whether a sample from aClient may be added to an estimate that
  /// concerns other clients too, and notes that it was. A client may add ten
  /// per second, so that one with many flows does not decide for the others.
  auto AdmitSharedSample(std::uint32_t aClient, Clock::time_point aNow) -> bool;

  /// Returns the mean round trip of aClient, or zero before the first sample of
  /// any client.
  auto Mean(std::uint32_t aClient) const -> Duration;

  /// Returns the time after which a reaction of aClient is overdue.
  auto Timeout(std::uint32_t aClient) const -> Duration;

  /// Returns the time within which most reactions of aClient arrive, and at
  /// most Timeout. It equals Timeout as long as the round trip is not known.
  auto UsualBound(std::uint32_t aClient) const -> Duration;

  /// Returns whether aClient has an estimate of its own.
  auto Contains(std::uint32_t aClient) const -> bool;

  /// Drops clients without a sample since aLimit.
  auto RemoveUnusedSince(Clock::time_point aLimit) -> void;

  auto Size() const -> std::size_t;

private:
  struct Client
  {
    std::uint32_t address = 0;
    TimeEstimate estimate{};
    Clock::time_point recordedAt{};
    Clock::time_point contributedAt{};
    Clock::time_point sharedSampleAt{};
  };

  auto EstimateFor(std::uint32_t aClient) const -> const TimeEstimate&;
  auto Remove(std::list<Client>::iterator aPosition) -> void;

  /// Ordered by recordedAt, the oldest first.
  std::list<Client> m_clients;
  std::unordered_map<std::uint32_t, std::list<Client>::iterator> m_byAddress;
  TimeEstimate m_typical;
};

} // namespace bramleylock::estimate
