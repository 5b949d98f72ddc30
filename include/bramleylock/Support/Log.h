// Structured logs on standard error.
#pragma once

#include <array>
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
};

auto ConfigureLog(LogOptions aOptions) -> void;

/// Writes one record. More than 20 records of one event in a second are
/// dropped and counted in the next record of that event.
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
