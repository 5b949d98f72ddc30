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

struct TextSetting
{
  const char* key;
  std::string Settings::*member;
  TextKind kind;
  /// Null when the setting is required.
  const char* defaultValue;
  std::vector<std::string> (*choices)();
  const char* help;
  /// The only data path that requires the setting, or null for all.
  const char* dataPath = nullptr;
};

struct NumberSetting
{
  const char* key;
  std::int64_t Settings::*member;
  std::int64_t defaultValue;
  std::int64_t minimum;
  std::int64_t maximum;
  const char* unit;
  const char* help;
};

struct DecimalSetting
{
  const char* key;
  double Settings::*member;
  double defaultValue;
  double minimum;
  double maximum;
  const char* unit;
  const char* help;
};

auto TextSettings() -> const std::array<TextSetting, 29>&;

auto NumberSettings() -> const std::array<NumberSetting, 9>&;

auto DecimalSettings() -> const std::array<DecimalSetting, 4>&;

} // namespace bramleylock::kernel
