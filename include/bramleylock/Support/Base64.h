// Base64 with the standard alphabet and padding.
#pragma once

#include <optional>
#include <string>

namespace bramleylock {

auto EncodeBase64(const std::string& aBytes) -> std::string;

/// Returns nothing unless the whole of aText is valid Base64.
auto DecodeBase64(const std::string& aText) -> std::optional<std::string>;

} // namespace bramleylock
