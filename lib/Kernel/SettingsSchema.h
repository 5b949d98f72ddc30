// The schema of the settings, by which they are read, validated and printed.
#pragma once

#include <array>
#include <string>
#include <vector>

#include "bramleylock/Kernel/Settings.h"

namespace bramleylock::kernel {

enum class TextKind
{
  Name,
  TcpAddress,
  OptionalTcpAddress,
  TcpAddresses,
  File,
  OptionalFile,
  Choice
};

struct TextRow
{
  const char* key;
  std::string Settings::*member;
  TextKind kind;
  /// Null when the setting is required.
  const char* byDefault;
  std::vector<std::string> (*choices)();
  const char* help;
  /// The only data path that requires the setting, or null for all.
  const char* dataPath = nullptr;
};

struct NumberRow
{
  const char* key;
  std::int64_t Settings::*member;
  std::int64_t byDefault;
  std::int64_t lowest;
  std::int64_t highest;
  const char* unit;
  const char* help;
};

auto TextRows() -> const std::array<TextRow, 29>&;

auto NumberRows() -> const std::array<NumberRow, 7>&;

} // namespace bramleylock::kernel
