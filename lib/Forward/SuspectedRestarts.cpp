// Targets that may have restarted while they were silent: until the state of
// the store shows whether they did, they are not known to be warm.

#include "bramleylock/Forward/TargetDirectory.h"

#include <utility>

namespace bramleylock::forward {

/// Time within which a target that has restarted writes its entry, counted from
/// its first answer: a lost packet of the write is repeated once.
static constexpr Milliseconds kRegistrationTime{ 250 };

auto DirectoryEntry::MayBeWarmingUp(Clock::time_point aNow) const -> bool
{
  return warmUpEndsAt > aNow || suspectedWarmUpEndsAt > aNow;
}

auto TargetDirectory::SuspectRestart(DirectoryEntry& aEntry,
                                     Milliseconds aWarmUp,
                                     Clock::time_point aNow) -> void
{
  if (aWarmUp.count() == 0) {
    return;
  }
  aEntry.suspectedWarmUpEndsAt = aNow + aWarmUp;
  aEntry.confirmableFrom = aNow + kRegistrationTime;
  m_suspected.insert({ aEntry.record.id, aEntry.record.incarnation });
  m_suspicionListener(aEntry, aEntry.confirmableFrom);
}

auto TargetDirectory::SetSuspicionListener(SuspicionListener aListener) -> void
{
  m_suspicionListener = std::move(aListener);
}

auto TargetDirectory::ConfirmAsOf(Clock::time_point aReadAt) -> void
{
  std::erase_if(m_suspected, [this, aReadAt](const Key& aKey) {
    const auto found = m_entries.find(aKey);
    if (found == m_entries.end()) {
      return true;
    }
    auto& entry = found->second;
    if (entry.confirmableFrom > aReadAt) {
      return false;
    }
    entry.suspectedWarmUpEndsAt = {};
    return true;
  });
}

} // namespace bramleylock::forward
