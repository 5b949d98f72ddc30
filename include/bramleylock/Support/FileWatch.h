// Files that are watched for other contents.
#pragma once

#include <functional>
#include <string>

#include "bramleylock/Support/Asio.h"

namespace bramleylock {

/// Reads aFile every aEvery and calls aOnChange when it differs from what it
/// was before. A file that cannot be read is taken as unchanged.
auto WatchFile(asio::io_context& aContext, std::string aFile,
               Milliseconds aEvery, std::function<void()> aOnChange) -> void;

} // namespace bramleylock
