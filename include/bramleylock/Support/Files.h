// Files that are read whole.
#pragma once

#include <optional>
#include <string>

namespace bramleylock {

/// The contents of aFile, or nothing when it cannot be opened.
auto ReadFile(const std::string& aFile) -> std::optional<std::string>;

} // namespace bramleylock
