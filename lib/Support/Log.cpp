// Structured logs: key=value or JSON, a record a line, limited per event.

#include "bramleylock/Support/Log.h"

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdio>
#include <map>

namespace bramleylock {

/// Records of one event that are written in one second before dropping starts.
static constexpr int kRecordsPerSecond = 20;

namespace {

struct EventRate
{
  std::int64_t second = 0;
  int written = 0;
  int dropped = 0;
};

} // namespace

static auto Options() -> LogOptions&
{
  static LogOptions options;
  return options;
}

auto ConfigureLog(LogOptions aOptions) -> void
{
  Options() = std::move(aOptions);
}

/// Whether a record may be written now; aDropped gets how many were not.
static auto TakeAllowance(std::string_view aEvent, std::int64_t aSecond,
                          int& aDropped) -> bool
{
  static std::map<std::string, EventRate, std::less<>> rates;
  auto found = rates.find(aEvent);
  if (found == rates.end()) {
    found = rates.emplace(std::string(aEvent), EventRate{}).first;
  }
  auto& rate = found->second;
  if (rate.second != aSecond) {
    rate.second = aSecond;
    rate.written = 0;
  }
  if (rate.written >= kRecordsPerSecond) {
    ++rate.dropped;
    return false;
  }
  ++rate.written;
  aDropped = std::exchange(rate.dropped, 0);
  return true;
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
  const auto seconds =
    std::chrono::time_point_cast<std::chrono::seconds>(now).time_since_epoch();
  int dropped = 0;
  if (!TakeAllowance(aEvent, seconds.count(), dropped)) {
    return;
  }
  const auto millis =
    std::chrono::time_point_cast<std::chrono::milliseconds>(now);
  const auto time =
    fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(seconds.count()),
                millis.time_since_epoch().count() % 1000);
  const auto line = Options().json
                      ? FormatJson(aLevel, aEvent, time, aFields, dropped)
                      : FormatText(aLevel, aEvent, time, aFields, dropped);
  fmt::print(stderr, "{}\n", line);
}

} // namespace bramleylock
