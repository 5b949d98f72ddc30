// Values that a faulty program may write where others read JSON.
#pragma once

#include <string>
#include <vector>

namespace bramleylock {

/// Size of the largest value in the store.
inline constexpr std::size_t kLargestValueBytes = 1U << 20;

/// Repeats aOpening until the text has kLargestValueBytes.
inline auto Nested(const std::string& aOpening) -> std::string
{
  std::string text;
  while (text.size() + aOpening.size() <= kLargestValueBytes) {
    text += aOpening;
  }
  return text;
}

/// Returns a complete JSON array that is nested aDepth levels deep.
inline auto NestedArray(std::size_t aDepth) -> std::string
{
  return std::string(aDepth, '[') + std::string(aDepth, ']');
}

/// Returns a complete JSON object that is nested aDepth levels deep.
inline auto NestedObject(std::size_t aDepth) -> std::string
{
  std::string text;
  for (std::size_t i = 0; i < aDepth; ++i) {
    text += R"({"a":)";
  }
  return text + "1" + std::string(aDepth, '}');
}

/// JSON values that no numeric field accepts.
inline auto OddNumbers() -> std::vector<std::string>
{
  return { "18446744073709551616",
           "-1",
           "-9223372036854775809",
           "1e999",
           "-1e999",
           "1e3",
           "1.5",
           "1e",
           "0x10",
           "01",
           "NaN",
           "Infinity",
           std::string(100000, '9'),
           "0." + std::string(100000, '9'),
           R"("7")",
           "null",
           "true",
           NestedArray(100000),
           NestedObject(100000) };
}

/// Texts that are no entry at all.
inline auto OddTexts() -> std::vector<std::string>
{
  return { "",
           std::string(1, '\0'),
           "\xff\xfe{",
           "{\"service\":\"\xc3\x28\"}",
           "nonsense",
           "7",
           "1e999",
           "[]",
           "{",
           "{}",
           "\"" + std::string(kLargestValueBytes - 1, 'a'),
           "\"" + std::string(kLargestValueBytes - 1, '\\'),
           std::string(kLargestValueBytes, '9'),
           NestedArray(kLargestValueBytes / 2),
           NestedObject(kLargestValueBytes / 6),
           Nested("["),
           Nested(R"({"a":)"),
           Nested(R"([{"a":)"),
           "[" + Nested("{},").substr(3),
           "{" + Nested(R"("a":0,)").substr(6) };
}

} // namespace bramleylock
