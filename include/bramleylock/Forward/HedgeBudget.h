// Limits hedges to a share of the first packets. Independent of sockets and
// clocks.
#pragma once

#include <cstdint>

namespace bramleylock::forward {

/// The hedges that a balancer may still send. Each first packet adds a fixed
/// fraction of a hedge. A balancer therefore stays within that share of its own
/// first packets, and so do all balancers together, without messages.
class HedgeBudget
{
public:
  /// Maximum number of hedges that are saved for later. 72 balancers save fewer
  /// hedges than the 300 slots of their 150 targets, so a slow moment after a
  /// quiet time does not fill the targets with hedges.
  static constexpr std::uint32_t kMaxSavedHedges = 2;

  /// Allows aPercent hedges for every 100 first packets; 0 for none.
  explicit HedgeBudget(std::uint32_t aPercent);

  /// Returns whether any hedges are allowed at all.
  auto IsEnabled() const -> bool;

  /// Records a first packet that was sent to a target.
  auto RecordFirstPacket() -> void;

  auto HasHedge() const -> bool;

  /// Takes one hedge, which HasHedge has to allow.
  auto TakeHedge() -> void;

private:
  std::uint32_t m_percent;
  /// In hundredths of a hedge, which integers count without rounding errors.
  std::uint32_t m_saved = 0;
};

} // namespace bramleylock::forward
