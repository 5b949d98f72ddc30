// A blocking HTTP exchange for command-line programs.
#pragma once

#include "bramleylock/Http/Http.h"

namespace bramleylock::http {

/// Runs Fetch on an io_context of its own.
auto SyncFetch(const std::string& aServer, Request aRequest,
               Milliseconds aTimeout, std::error_code& aError,
               TlsContext aTls = nullptr) -> Reply;

} // namespace bramleylock::http
