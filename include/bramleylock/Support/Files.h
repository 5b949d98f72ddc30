// Files that are read whole, and watched for other contents.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "bramleylock/Support/Asio.h"

namespace bramleylock {

/// The contents of aFile, or nothing when it cannot be opened.
auto ReadFile(const std::string& aFile) -> std::optional<std::string>;

/// Reads aFile every aEvery and calls aOnChange when it differs from what it
/// was before. A file that cannot be read is taken as unchanged.
auto WatchFile(asio::io_context& aContext, std::string aFile,
               Milliseconds aEvery, std::function<void()> aOnChange) -> void;

} // namespace bramleylock
