// What the platform holds for the forwarding path, as the balancers meet it.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "bramleylock/Forward/RouteTable.h"
#include "bramleylock/Forward/TargetDirectory.h"
#include "bramleylock/Support/Counters.h"
#include "bramleylock/Support/Errors.h"

namespace bramleylock::forward {

enum class SourceError
{
  Unavailable = 1,
  Refused,
  HistoryGone,
  Conflict,
  Malformed
};

inline constexpr std::array<NameRow<SourceError>, 5> kSourceErrorNames{ {
  { SourceError::Unavailable, "the platform's store does not answer" },
  { SourceError::Refused, "the platform's store refuses the call" },
  { SourceError::HistoryGone, "the store's history does not reach back" },
  { SourceError::Conflict, "the key was written by somebody else" },
  { SourceError::Malformed, "the store's answer cannot be read" },
} };

/// An entry that ended.
struct RemovedTarget
{
  std::string id;
  std::uint64_t revision = 0;
  /// The store had an outage shortly before, so that the entry may have lapsed
  /// although the target lives.
  bool mayReturn = false;
  MSGPACK_DEFINE_ARRAY(id, revision, mayReturn)
};

/// One reading of the store.
struct StateReading
{
  /// The store's revision up to which the reading is complete.
  std::uint64_t revision = 0;
  /// Set by the configuration, if the reading has it.
  std::optional<RouteSet> routes;
  std::vector<TargetRecord> targets;
  std::vector<RemovedTarget> removed;
  /// How many balancers the deployment had when it was recorded last.
  std::optional<std::uint32_t> balancers{};
};

/// Reads the platform's store. All calls fail with SourceError.
class StateSource
{
public:
  virtual ~StateSource() = default;

  /// Everything that exists now.
  virtual auto ReadAll(std::error_code& aError) -> awaitable<StateReading> = 0;

  /// What has changed after aRevision; waits at most aWait for something.
  virtual auto ReadChanges(std::uint64_t aRevision, Milliseconds aWait,
                           std::error_code& aError)
    -> awaitable<StateReading> = 0;

  /// The secret that the balancers of this deployment share, in hexadecimal
  /// digits; the first balancer to ask makes it.
  virtual auto ClusterSecret(std::error_code& aError)
    -> awaitable<std::string> = 0;

  /// Records how many balancers the deployment has. Where another balancer has
  /// done so since the last reading, its number stays.
  virtual auto RecordBalancers(std::uint32_t aCount, std::error_code& aError)
    -> awaitable<void> = 0;
};

/// Sources by name; made from the io_context, "ip:port" of the store, and the
/// metrics.
using StateSourceRegistry =
  Registry<StateSource, asio::io_context&, const std::string&, Metrics&>;

} // namespace bramleylock::forward

BRAMLEYLOCK_ERROR_ENUM(bramleylock::forward, SourceError, kSourceErrorNames,
                       "bramleylock.source");
