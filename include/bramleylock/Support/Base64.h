// Base64 with the standard alphabet and padding.
#pragma once

#include <optional>
#include <string>

namespace bramleylock {

auto EncodeBase64(const std::string& aBytes) -> std::string;

/// Nothing for text that is not Base64 to its end.
auto DecodeBase64(const std::string& aText) -> std::optional<std::string>;

} // namespace bramleylock
