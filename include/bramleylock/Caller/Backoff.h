// When a caller that was refused should ask again.
#pragma once

#include <optional>

#include "bramleylock/Caller/Client.h"

namespace bramleylock::caller {

struct BackoffOptions
{
  /// The pause before the first retry when the refusal names none; it doubles
  /// with each retry up to `longest`.
  Milliseconds first{ 100 };
  Milliseconds longest{ 10000 };
  /// Retries of one request.
  int retries = 4;
};

/// The retries of one request.
class Backoff
{
public:
  explicit Backoff(BackoffOptions aOptions, std::uint64_t aSeed);

  /// The pause before the request may be made again, or nothing when it should
  /// be given up: it was answered, may have run, would be refused for the same
  /// reason for ever, or has been retried often enough.
  auto Next(const CallResult& aResult) -> std::optional<Milliseconds>;

private:
  BackoffOptions m_options;
  Random m_random;
  int m_retries = 0;
};

} // namespace bramleylock::caller
