// The interface of transports that carry requests to targets.
#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "bramleylock/Support/Asio.h"
#include "bramleylock/Support/Errors.h"
#include "bramleylock/Support/Registry.h"

namespace bramleylock::target {

enum class TargetError
{
  Connect = 1,
  Lost,
  Malformed,
  Timeout
};

inline constexpr std::array<NameRow<TargetError>, 4> kTargetErrorNames{ {
  { TargetError::Connect, "cannot connect to the target" },
  { TargetError::Lost, "the connection to the target was lost" },
  { TargetError::Malformed, "the target's answer cannot be read" },
  { TargetError::Timeout, "the target did not answer in time" },
} };

/// One request to a target.
struct TargetCall
{
  std::string work;
  std::string plan;
  /// Identifies the request to the target.
  std::string requestId;
  std::string body;
  Clock::time_point deadline{};
  /// Offset of the first byte of the answer to return.
  std::uint64_t offset = 0;
};

/// The head of a target's answer.
struct TargetHead
{
  unsigned status = 0;
  /// Length of the whole answer, independent of the requested offset.
  std::optional<std::uint64_t> length;
  /// Offset of the body's first byte within the answer.
  std::uint64_t offset = 0;
  /// Identifies the content; answers with equal tags have equal bytes.
  std::uint64_t tag = 0;
  /// The target refused the request without running it.
  bool notRun = false;
  /// The target announces that it is draining.
  bool draining = false;
  std::uint32_t retryAfterMs = 0;
};

/// One connection to a target, used for one request at a time.
class TargetConnection
{
public:
  virtual ~TargetConnection() = default;

  /// Writes the request. Even if this fails, the target may have received it.
  virtual auto Send(const TargetCall& aCall, std::error_code& aError)
    -> awaitable<void> = 0;

  /// Reads the head of the answer; fails at the call's deadline.
  virtual auto ReadHead(std::error_code& aError) -> awaitable<TargetHead> = 0;

  /// Reads up to aSize bytes of the body; returns 0 at its end.
  virtual auto ReadSome(char* aData, std::size_t aSize, std::error_code& aError)
    -> awaitable<std::size_t> = 0;

  /// Probes an idle connection with a small request and its answer. Fails with
  /// TargetError::Timeout if there is no answer within aTimeout.
  virtual auto Probe(Milliseconds aTimeout, std::error_code& aError)
    -> awaitable<void> = 0;

  /// Whether the connection can be used for another request.
  virtual auto Reusable() const -> bool = 0;

  /// Closes the connection, which makes operations in progress fail and cancels
  /// the request at the target.
  virtual auto Close() -> void = 0;

  /// When the connection was established, or last completed a call or a probe.
  Clock::time_point lastSuccess{};
};

/// A factory of connections to targets.
class TargetTransport
{
public:
  virtual ~TargetTransport() = default;

  virtual auto Connect(std::string aAddress, Milliseconds aTimeout,
                       std::error_code& aError)
    -> awaitable<std::unique_ptr<TargetConnection>> = 0;
};

using TransportRegistry = Registry<TargetTransport, asio::io_context&>;

} // namespace bramleylock::target

BRAMLEYLOCK_ERROR_ENUM(bramleylock::target, TargetError, kTargetErrorNames,
                       "bramleylock.target");
