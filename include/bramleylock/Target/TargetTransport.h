// How requests travel to targets.
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
  /// Names the request in the target's records.
  std::string requestId;
  std::string body;
  Clock::time_point deadline{};
  /// First byte of the answer that is wanted.
  std::uint64_t offset = 0;
};

/// The head of a target's answer.
struct TargetHead
{
  unsigned status = 0;
  /// Length of the whole answer, without regard to the offset asked for.
  std::optional<std::uint64_t> length;
  /// First byte that the body starts with.
  std::uint64_t offset = 0;
  /// Identifies the content; equal tags mean equal bytes.
  std::uint64_t tag = 0;
  /// The target refused before it ran anything.
  bool notRun = false;
  /// The target says that it is leaving.
  bool draining = false;
  std::uint32_t retryAfterMs = 0;
};

/// One connection to a target, used for one request at a time.
class TargetConnection
{
public:
  virtual ~TargetConnection() = default;

  /// Writes the request. After a failure the target may have received it.
  virtual auto Send(const TargetCall& aCall, std::error_code& aError)
    -> awaitable<void> = 0;

  /// Reads the answer's head, at most until the call's deadline.
  virtual auto ReadHead(std::error_code& aError) -> awaitable<TargetHead> = 0;

  /// Reads up to aSize bytes of the body; 0 at its end.
  virtual auto ReadSome(char* aData, std::size_t aSize, std::error_code& aError)
    -> awaitable<std::size_t> = 0;

  /// Proves that an idle connection still reaches the target by a small
  /// exchange; TargetError::Timeout when nothing comes back within aTimeout.
  virtual auto Prove(Milliseconds aTimeout, std::error_code& aError)
    -> awaitable<void> = 0;

  /// Whether another request can follow on this connection.
  virtual auto Reusable() const -> bool = 0;

  /// Closes the connection; operations in progress fail. This is also how a
  /// request is cancelled at the target.
  virtual auto Close() -> void = 0;

  /// When the last exchange on this connection succeeded.
  Clock::time_point lastProven{};
};

/// Opens connections to targets.
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
