// Blocking HTTP client for command-line programs.
#pragma once

#include "bramleylock/Http/Http.h"

namespace bramleylock::http {

/// Calls Fetch on a separate io_context and waits for the reply.
auto SyncFetch(const std::string& aServer, Request aRequest,
               Milliseconds aTimeout, std::error_code& aError,
               TlsContext aTls = nullptr) -> Reply;

} // namespace bramleylock::http
