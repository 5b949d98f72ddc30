// Structured logging in key=value or JSON form, rate-limited per event.

#include "bramleylock/Support/Log.h"

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <climits>
#include <map>

namespace bramleylock {

namespace {

/// Rate limit state of one event.
struct EventRate
{
  std::int64_t second = 0;
  int written = 0;
  int dropped = 0;
};

struct LogState
{
  LogOptions options;
  std::map<std::string, EventRate, std::less<>> rates;
  std::uint64_t dropped = 0;
  /// Buffered records that have not been written yet.
  std::string buffer;
};

} // namespace

static auto State() -> LogState&
{
  static LogState state;
  return state;
}

static auto Options() -> const LogOptions&
{
  return State().options;
}

auto ConfigureLog(LogOptions aOptions) -> void
{
  State().options = std::move(aOptions);
}

auto LogRecordsDropped() -> std::uint64_t
{
  return State().dropped;
}

static auto EventRateOf(std::string_view aEvent) -> EventRate&
{
  auto& rates = State().rates;
  auto found = rates.find(aEvent);
  if (found == rates.end()) {
    found = rates.emplace(std::string(aEvent), EventRate{}).first;
  }
  return found->second;
}

static auto CountDropped(EventRate& aRate) -> void
{
  ++aRate.dropped;
  ++State().dropped;
}

/// Returns whether the rate limit admits one more record in aSecond.
static auto IsWithinRateLimit(EventRate& aRate, std::int64_t aSecond) -> bool
{
  if (aRate.second != aSecond) {
    aRate.second = aSecond;
    aRate.written = 0;
  }
  return aRate.written < Options().recordsPerSecond;
}

static auto ToUnixSeconds(std::chrono::system_clock::time_point aTime)
  -> std::chrono::seconds
{
  return std::chrono::time_point_cast<std::chrono::seconds>(aTime)
    .time_since_epoch();
}

auto ShouldLog(LogLevel aLevel, std::string_view aEvent) -> bool
{
  if (aLevel < Options().minimumLevel) {
    return false;
  }
  auto& rate = EventRateOf(aEvent);
  const auto now = ToUnixSeconds(std::chrono::system_clock::now());
  if (IsWithinRateLimit(rate, now.count())) {
    return true;
  }
  CountDropped(rate);
  return false;
}

/// Largest write: poll() reports a pipe as writable when it accepts PIPE_BUF
/// bytes without blocking.
static constexpr std::size_t kMaxWriteBytes = PIPE_BUF;

/// Returns the whole lines at the front of aText that fit in one write.
static auto LinesForOneWrite(std::string_view aText) -> std::string_view
{
  const auto end = aText.substr(0, kMaxWriteBytes).rfind('\n');
  return end == std::string_view::npos ? aText : aText.substr(0, end + 1);
}

/// Writes the lines if the descriptor accepts them without blocking;
/// returns whether they were written completely.
static auto WriteLines(std::string_view aLines) -> bool
{
  pollfd polled{ Options().fileDescriptor, POLLOUT, 0 };
  if (aLines.size() > kMaxWriteBytes || ::poll(&polled, 1, 0) != 1 ||
      (polled.revents & POLLOUT) == 0) {
    return false;
  }
  return ::write(Options().fileDescriptor, aLines.data(), aLines.size()) ==
         static_cast<ssize_t>(aLines.size());
}

auto FlushLog() -> void
{
  std::string_view rest = State().buffer;
  while (!rest.empty()) {
    const auto lines = LinesForOneWrite(rest);
    if (!WriteLines(lines)) {
      State().dropped += static_cast<std::uint64_t>(
        std::count(lines.begin(), lines.end(), '\n'));
    }
    rest.remove_prefix(lines.size());
  }
  State().buffer.clear();
}

static auto FormatJson(LogLevel aLevel, std::string_view aEvent,
                       const std::string& aTime,
                       std::initializer_list<LogField> aFields, int aDropped)
  -> std::string
{
  nlohmann::json record{ { "time", aTime },
                         { "level", NameOf(kLogLevelNames, aLevel) },
                         { "vm", Options().vm },
                         { "event", aEvent } };
  for (const auto& [key, value] : aFields) {
    record[std::string(key)] = value;
  }
  if (aDropped > 0) {
    record["dropped_before"] = aDropped;
  }
  return record.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

/// Returns whether aValue needs no quotes: no separators, control characters or
/// bytes outside of ASCII, which may be no UTF-8.
static auto IsPlain(std::string_view aValue) -> bool
{
  return std::all_of(aValue.begin(), aValue.end(), [](char aCharacter) {
    return aCharacter > ' ' && aCharacter < '\x7f' && aCharacter != '"' &&
           aCharacter != '=';
  });
}

/// Values may come from other programs, so invalid UTF-8 is replaced.
static auto Quote(std::string_view aValue) -> std::string
{
  return nlohmann::json(aValue).dump(-1, ' ', false,
                                     nlohmann::json::error_handler_t::replace);
}

static auto FormatText(LogLevel aLevel, std::string_view aEvent,
                       const std::string& aTime,
                       std::initializer_list<LogField> aFields, int aDropped)
  -> std::string
{
  std::string line;
  line.reserve(256);
  const auto append = [&line](std::string_view aKey, std::string_view aValue) {
    line += aKey;
    line += '=';
    line += aValue;
  };
  append("time", aTime);
  append(" level", NameOf(kLogLevelNames, aLevel));
  append(" vm", Options().vm);
  append(" event", aEvent);
  for (const auto& [key, value] : aFields) {
    line += ' ';
    append(key, IsPlain(value) ? std::string(value) : Quote(value));
  }
  if (aDropped > 0) {
    append(" dropped_before", std::to_string(aDropped));
  }
  return line;
}

/// Formats a time in ISO 8601 UTC. The part down to the second is cached, as
/// the calendar computation is needed only once per second.
static auto FormatTime(std::chrono::system_clock::time_point aTime)
  -> std::string
{
  static std::chrono::seconds second{ -1 };
  static std::string prefix;
  const auto seconds = ToUnixSeconds(aTime);
  if (seconds != second) {
    second = seconds;
    prefix = fmt::format("{:%Y-%m-%dT%H:%M:%S}", fmt::gmtime(seconds.count()));
  }
  const auto millis =
    std::chrono::time_point_cast<std::chrono::milliseconds>(aTime);
  return fmt::format("{}.{:03}Z", prefix,
                     millis.time_since_epoch().count() % 1000);
}

auto Log(LogLevel aLevel, std::string_view aEvent,
         std::initializer_list<LogField> aFields) -> void
{
  if (aLevel < Options().minimumLevel) {
    return;
  }
  const auto now = std::chrono::system_clock::now();
  const auto seconds = ToUnixSeconds(now);
  auto& rate = EventRateOf(aEvent);
  if (!IsWithinRateLimit(rate, seconds.count())) {
    CountDropped(rate);
    return;
  }
  ++rate.written;
  const auto time = FormatTime(now);
  const auto line = Options().json
                      ? FormatJson(aLevel, aEvent, time, aFields, rate.dropped)
                      : FormatText(aLevel, aEvent, time, aFields, rate.dropped);
  if (Options().buffered) {
    // This record reports the dropped ones, so the count restarts here even if
    // this record is dropped when the buffer is flushed.
    rate.dropped = 0;
    State().buffer += line;
    State().buffer += '\n';
    if (State().buffer.size() > kMaxWriteBytes) {
      FlushLog();
    }
    return;
  }
  if (WriteLines(line + "\n")) {
    rate.dropped = 0;
  } else {
    CountDropped(rate);
  }
}

} // namespace bramleylock
