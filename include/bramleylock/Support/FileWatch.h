// Polling of files for changed contents.
#pragma once

#include <functional>
#include <string>

#include "bramleylock/Support/Asio.h"

namespace bramleylock {

/// Reads aFile at the interval aInterval and calls aOnChange when its contents
/// differ from the previous ones. A file that cannot be read counts as
/// unchanged.
auto WatchFile(asio::io_context& aContext, std::string aFile,
               Milliseconds aInterval, std::function<void()> aOnChange) -> void;

} // namespace bramleylock
