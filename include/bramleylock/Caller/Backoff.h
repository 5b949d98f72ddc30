// Retry policy for refused requests.
#pragma once

#include <optional>

#include "bramleylock/Caller/Client.h"

namespace bramleylock::caller {

struct BackoffOptions
{
  /// Upper bound of the random delay before the first retry if the refusal has
  /// no retry delay. It doubles with each retry, up to `maxDelay`.
  Milliseconds initialDelay{ 100 };
  Milliseconds maxDelay{ 10000 };
  /// The maximum number of retries of one request.
  int maxRetries = 4;
};

/// Computes the retry delays of one request.
class Backoff
{
public:
  explicit Backoff(BackoffOptions aOptions, std::uint64_t aSeed);

  /// Returns the delay before the next retry, or nothing if the request must
  /// not be retried: because it was answered, may have run, was refused for a
  /// permanent reason, or has used up its retries.
  auto NextDelay(const CallResult& aResult) -> std::optional<Milliseconds>;

private:
  BackoffOptions m_options;
  Random m_random;
  int m_retryCount = 0;
};

} // namespace bramleylock::caller
