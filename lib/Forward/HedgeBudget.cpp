// Counts in hundredths of a hedge.

#include "bramleylock/Forward/HedgeBudget.h"

#include <algorithm>
#include <cassert>

namespace bramleylock::forward {

static constexpr std::uint32_t kPointsPerHedge = 100;

HedgeBudget::HedgeBudget(std::uint32_t aPercent)
  : m_percent(aPercent)
{
}

auto HedgeBudget::IsEnabled() const -> bool
{
  return m_percent > 0;
}

auto HedgeBudget::RecordFirstPacket() -> void
{
  m_saved = std::min(m_saved + m_percent, kMaxSavedHedges * kPointsPerHedge);
}

auto HedgeBudget::HasHedge() const -> bool
{
  return m_saved >= kPointsPerHedge;
}

auto HedgeBudget::TakeHedge() -> void
{
  assert(HasHedge());
  m_saved -= kPointsPerHedge;
}

} // namespace bramleylock::forward
