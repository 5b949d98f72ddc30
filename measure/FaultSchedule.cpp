// Starts fault events in random order and ends those that last.

#include "measure/FaultSchedule.h"

#include "bramleylock/Support/Asio.h"

#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <thread>

namespace bramleylock::measure {

/// Interval between the starts of events. Most events last longer, so that they
/// overlap.
static constexpr double kEventIntervalSeconds = 2.5;
static constexpr double kFirstEventSeconds = 1;
static constexpr Milliseconds kPollInterval{ 50 };

/// Occurrences of each event kind in one shuffled round.
static constexpr int kOccurrencesPerRound = 2;

FaultSchedule::FaultSchedule(std::vector<FaultKind> aKinds, Random& aRandom,
                             std::function<double()> aElapsed)
  : m_kinds(std::move(aKinds))
  , m_random(aRandom)
  , m_elapsed(std::move(aElapsed))
{
}

auto FaultSchedule::StartNextEvent() -> void
{
  if (m_remainingKinds.empty()) {
    for (int i = 0; i < kOccurrencesPerRound; ++i) {
      m_remainingKinds.insert(m_remainingKinds.end(), m_kinds.begin(),
                              m_kinds.end());
    }
    std::shuffle(m_remainingKinds.begin(), m_remainingKinds.end(), m_random);
  }
  const auto event = std::move(m_remainingKinds.back());
  m_remainingKinds.pop_back();
  ++m_counts[event.name];
  fmt::print(stderr, "at {:.3f} s: {}\n", m_elapsed(), event.name);
  event.begin();
}

auto FaultSchedule::ScheduleEnd(double aSeconds, std::function<void()> aEnd)
  -> void
{
  m_scheduledEnds.push_back({ aSeconds, std::move(aEnd) });
}

auto FaultSchedule::RunDueEnds(double aNow) -> void
{
  const auto due = std::stable_partition(
    m_scheduledEnds.begin(), m_scheduledEnds.end(),
    [aNow](const ScheduledEnd& aEnding) { return aEnding.at > aNow; });
  std::vector<ScheduledEnd> ended(
    std::make_move_iterator(due),
    std::make_move_iterator(m_scheduledEnds.end()));
  m_scheduledEnds.erase(due, m_scheduledEnds.end());
  for (const auto& ending : ended) {
    ending.end();
  }
}

auto FaultSchedule::Run(double aUntil, const std::function<void()>& aPoll)
  -> void
{
  double next = kFirstEventSeconds;
  while (m_elapsed() < aUntil) {
    std::this_thread::sleep_for(kPollInterval);
    RunDueEnds(m_elapsed());
    aPoll();
    if (m_elapsed() >= next) {
      StartNextEvent();
      next = std::max(next + kEventIntervalSeconds, m_elapsed());
    }
  }
}

/// Ending an event may schedule a further step, so this repeats until none is
/// left.
auto FaultSchedule::EndAll() -> void
{
  while (!m_scheduledEnds.empty()) {
    RunDueEnds(std::numeric_limits<double>::max());
  }
}

auto FaultSchedule::Counts() const
  -> const std::map<std::string, std::uint64_t>&
{
  return m_counts;
}

} // namespace bramleylock::measure
