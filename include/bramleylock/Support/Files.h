// Reading of whole files into memory.
#pragma once

#include <optional>
#include <string>

namespace bramleylock {

/// Returns the contents of aFile, or nothing when it cannot be opened.
auto ReadFile(const std::string& aFile) -> std::optional<std::string>;

} // namespace bramleylock
