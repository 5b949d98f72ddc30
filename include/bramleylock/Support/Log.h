// Structured logs, a record a line; bounded, and never waiting for a reader.
#pragma once

#include <array>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

#include "bramleylock/Support/Names.h"

namespace bramleylock {

enum class LogLevel
{
  Debug,
  Info,
  Warning,
  Error
};

inline constexpr std::array<NameRow<LogLevel>, 4> kLogLevelNames{ {
  { LogLevel::Debug, "debug" },
  { LogLevel::Info, "info" },
  { LogLevel::Warning, "warning" },
  { LogLevel::Error, "error" },
} };

/// One field of a log record.
using LogField = std::pair<std::string_view, std::string>;

/// How records are written.
struct LogOptions
{
  LogLevel lowest = LogLevel::Info;
  bool json = false;
  std::string vm;
  /// File descriptor: standard output for daemons, standard error for tools
  /// that print results.
  int descriptor = 2;
  /// Records of one event that are written in one second.
  int recordsPerSecond = 20;
  /// Whether records wait for FlushLog, so that several go out in one write.
  bool buffered = false;
};

auto ConfigureLog(LogOptions aOptions) -> void;

/// Writes what waits, as far as the reader has room.
auto FlushLog() -> void;

/// Whether a record of aEvent would be written now, for callers whose fields
/// cost time to make. A record that would not is counted as dropped.
auto WouldLog(LogLevel aLevel, std::string_view aEvent) -> bool;

/// Records that were dropped since the start: those over the budget of their
/// event, and those that nobody read.
auto LogRecordsDropped() -> std::uint64_t;

/// Writes one record. Records over the budget of their event, and those that
/// the reader of the descriptor has no room for, are dropped and counted in
/// the next record of that event.
auto Log(LogLevel aLevel, std::string_view aEvent,
         std::initializer_list<LogField> aFields) -> void;

inline auto LogInfo(std::string_view aEvent,
                    std::initializer_list<LogField> aFields)
{
  Log(LogLevel::Info, aEvent, aFields);
}

inline auto LogWarning(std::string_view aEvent,
                       std::initializer_list<LogField> aFields)
{
  Log(LogLevel::Warning, aEvent, aFields);
}

inline auto LogError(std::string_view aEvent,
                     std::initializer_list<LogField> aFields)
{
  Log(LogLevel::Error, aEvent, aFields);
}

} // namespace bramleylock
