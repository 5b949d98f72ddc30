// Structured logs: key=value or JSON, a record a line, limited per event.

#include "bramleylock/Support/Log.h"

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <poll.h>
#include <unistd.h>

#include <chrono>
#include <climits>
#include <map>

namespace bramleylock {

namespace {

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

static auto RateOf(std::string_view aEvent) -> EventRate&
{
  auto& rates = State().rates;
  auto found = rates.find(aEvent);
  if (found == rates.end()) {
    found = rates.emplace(std::string(aEvent), EventRate{}).first;
  }
  return found->second;
}

static auto NoteDropped(EventRate& aRate) -> void
{
  ++aRate.dropped;
  ++State().dropped;
}

/// Whether the budget of this second has room for one more record.
static auto HasAllowance(EventRate& aRate, std::int64_t aSecond) -> bool
{
  if (aRate.second != aSecond) {
    aRate.second = aSecond;
    aRate.written = 0;
  }
  return aRate.written < Options().recordsPerSecond;
}

static auto SecondOf(std::chrono::system_clock::time_point aTime)
  -> std::chrono::seconds
{
  return std::chrono::time_point_cast<std::chrono::seconds>(aTime)
    .time_since_epoch();
}

auto WouldLog(LogLevel aLevel, std::string_view aEvent) -> bool
{
  if (aLevel < Options().lowest) {
    return false;
  }
  auto& rate = RateOf(aEvent);
  const auto now = SecondOf(std::chrono::system_clock::now());
  if (HasAllowance(rate, now.count())) {
    return true;
  }
  NoteDropped(rate);
  return false;
}

/// Writes a line if the reader has room for it. A pipe that polls writable
/// takes PIPE_BUF bytes without blocking.
static auto WriteLine(const std::string& aLine) -> bool
{
  pollfd descriptor{ Options().descriptor, POLLOUT, 0 };
  if (aLine.size() > PIPE_BUF || ::poll(&descriptor, 1, 0) != 1 ||
      (descriptor.revents & POLLOUT) == 0) {
    return false;
  }
  return ::write(Options().descriptor, aLine.data(), aLine.size()) ==
         static_cast<ssize_t>(aLine.size());
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

static auto FormatText(LogLevel aLevel, std::string_view aEvent,
                       const std::string& aTime,
                       std::initializer_list<LogField> aFields, int aDropped)
  -> std::string
{
  auto line = fmt::format("time={} level={} vm={} event={}", aTime,
                          NameOf(kLogLevelNames, aLevel), Options().vm, aEvent);
  for (const auto& [key, value] : aFields) {
    const bool plain = value.find_first_of(" \"=\n") == std::string::npos;
    line += plain ? fmt::format(" {}={}", key, value)
                  : fmt::format(" {}={}", key, nlohmann::json(value).dump());
  }
  if (aDropped > 0) {
    line += fmt::format(" dropped_before={}", aDropped);
  }
  return line;
}

auto Log(LogLevel aLevel, std::string_view aEvent,
         std::initializer_list<LogField> aFields) -> void
{
  if (aLevel < Options().lowest) {
    return;
  }
  const auto now = std::chrono::system_clock::now();
  const auto seconds = SecondOf(now);
  auto& rate = RateOf(aEvent);
  if (!HasAllowance(rate, seconds.count())) {
    NoteDropped(rate);
    return;
  }
  ++rate.written;
  const auto millis =
    std::chrono::time_point_cast<std::chrono::milliseconds>(now);
  const auto time =
    fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(seconds.count()),
                millis.time_since_epoch().count() % 1000);
  const auto line =
    Options().json
      ? FormatJson(aLevel, aEvent, time, aFields, rate.dropped)
      : FormatText(aLevel, aEvent, time, aFields, rate.dropped);
  if (WriteLine(line + "\n")) {
    rate.dropped = 0;
  } else {
    NoteDropped(rate);
  }
}

} // namespace bramleylock
