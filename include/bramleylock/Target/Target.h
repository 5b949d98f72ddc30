// One target host as this balancer sees it.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "bramleylock/Target/TargetTransport.h"

namespace bramleylock::target {

struct Target
{
  std::string address;
  std::string service;
  std::string failureDomain;
  bool leaving = false;
  std::uint32_t slots = 1;
  /// Slots there that no other balancer counts as its own.
  std::uint32_t ownSlots = 0;
  std::uint32_t inFlight = 0;
  std::uint32_t peersInFlight = 0;
  std::uint32_t failuresInRow = 0;
  Clock::time_point ejectedUntil{};
  /// Requests that this balancer is behind the target's share of its work.
  double credit = 0;
  /// Part of its full share that the target takes, by what it has shed.
  double ease = 1;
  /// When the target became new or came back from ejection.
  Clock::time_point warmingSince{};
  Clock::time_point lastAnswered{};
  /// Until when the target counts as leaving by its own answers, by this
  /// balancer's probes, and by the word of peers.
  Clock::time_point drainingUntil{};
  Clock::time_point probeDrainingUntil{};
  Clock::time_point peerDrainingUntil{};
  /// Until when the last probe that found it unhealthy counts.
  Clock::time_point unhealthyUntil{};
  /// Connections that this balancer may have open to it, and a lower limit
  /// learnt from refused connections.
  std::uint32_t connectionShare = 1;
  std::uint32_t learntShare = 1;
  Clock::time_point learntUntil{};
  std::vector<std::shared_ptr<TargetConnection>> idle;
};

/// 1 for a target that takes its full share of work, less while it starts,
/// sheds load, or looks unhealthy without having answered lately.
auto FitnessOf(const Target& aTarget, Clock::time_point aNow) -> double;

/// Connections that may be open to aTarget now.
auto ConnectionLimitOf(const Target& aTarget, Clock::time_point aNow)
  -> std::uint32_t;

/// The connections to aTarget that balancer aSelf may open when aLimit of them
/// are split over aBalancers without asking. When there are more balancers
/// than connections, a hash gives one to some of them and none to the others.
auto ConnectionShare(std::uint32_t aLimit, std::size_t aBalancers,
                     const std::string& aSelf, const std::string& aTarget)
  -> std::uint32_t;

/// Counts a request in flight at a target for as long as it exists.
class InFlight
{
public:
  InFlight() = default;
  explicit InFlight(std::shared_ptr<Target> aTarget);
  InFlight(InFlight&& aOther) noexcept = default;
  auto operator=(InFlight&& aOther) noexcept -> InFlight&;
  ~InFlight();

private:
  std::shared_ptr<Target> m_target;
};

} // namespace bramleylock::target
