// Structured, rate-limited, non-blocking logging with one record per line.
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

/// Format, destination and limits of the log.
struct LogOptions
{
  LogLevel minimumLevel = LogLevel::Info;
  bool json = false;
  std::string vm;
  /// Output descriptor: standard output for daemons, standard error for tools
  /// that print results to standard output.
  int fileDescriptor = 2;
  /// Maximum number of records of one event that are written in one second.
  int recordsPerSecond = 20;
  /// Whether records are buffered until FlushLog or until the buffer exceeds
  /// one write, so that several records share a write.
  bool buffered = false;
};

auto ConfigureLog(LogOptions aOptions) -> void;

/// Writes the buffered records. Records that the descriptor cannot accept
/// without blocking are dropped.
auto FlushLog() -> void;

/// Returns whether a record of aEvent would be written now, for callers whose
/// fields are expensive to format. A record that exceeds the rate limit of its
/// event is counted as dropped.
auto ShouldLog(LogLevel aLevel, std::string_view aEvent) -> bool;

/// Returns the number of records dropped since the start of the process, either
/// by the rate limit of their event or because the descriptor was not writable.
auto LogRecordsDropped() -> std::uint64_t;

/// Writes one record. Records that exceed the rate limit of their event, and
/// those that the descriptor cannot accept without blocking, are dropped and
/// counted; the next record of that event reports their number.
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
