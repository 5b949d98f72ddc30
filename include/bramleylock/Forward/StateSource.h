// Interface to the routing state in the platform's store.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "bramleylock/Forward/EvacuationTable.h"
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
  Malformed,
  Incomplete
};

inline constexpr std::array<NameRow<SourceError>, 6> kSourceErrorNames{ {
  { SourceError::Unavailable, "the platform's store does not answer" },
  { SourceError::Refused, "the platform's store rejected the request" },
  { SourceError::HistoryGone,
    "the requested revision is older than the store's history" },
  { SourceError::Conflict, "the key was modified by another writer" },
  { SourceError::Malformed, "the store's response is malformed" },
  { SourceError::Incomplete, "the store's response did not arrive completely" },
} };

/// A target entry that was removed from the store.
struct RemovedTarget
{
  std::string id;
  StoreRevision revision;
  /// Whether the entry may have expired because of a store outage, or was lost
  /// in a restore, while the target is still running.
  bool mayReturn = false;
  MSGPACK_DEFINE_ARRAY(id, revision.number, mayReturn, revision.generation)
};

/// Result of reading the store.
struct StateReading
{
  /// Store revision up to which the reading is complete.
  StoreRevision revision;
  /// The configured routes, if the reading contains them.
  std::optional<RouteSet> routes;
  std::vector<TargetRecord> targets;
  std::vector<RemovedTarget> removed;
  /// Number of balancers last recorded for the deployment, if the reading
  /// contains it.
  std::optional<std::uint32_t> balancers{};
  /// Evacuations in a full reading, or their changes.
  std::vector<EvacuationRecord> evacuations{};
  /// Services that the routes allowed earlier, as the balancers recorded them
  /// in the store, if the reading contains them.
  std::optional<std::vector<FormerShare>> formerShares{};
  /// Size of the store's responses.
  std::size_t bytes = 0;
  /// When the first byte of the response arrived, at the latest the time as of
  /// which the reading reflects the store; the maximum if it is complete at
  /// once.
  Clock::time_point sentAt = Clock::time_point::max();
};

/// Reads the platform's store. All calls report errors as SourceError.
class StateSource
{
public:
  virtual ~StateSource() = default;

  /// Reads the full current state.
  virtual auto ReadAll(std::error_code& aError) -> awaitable<StateReading> = 0;

  /// Reads the changes after aRevision; waits at most aWait for a change. If
  /// the generation of the result is not that of aRevision, the result is not
  /// complete and the full state has to be read.
  virtual auto ReadChanges(const StoreRevision& aRevision, Milliseconds aWait,
                           std::error_code& aError)
    -> awaitable<StateReading> = 0;

  /// Returns the highest generation of the store that any response named,
  /// including responses that report an error; 0 if none did.
  virtual auto Generation() const -> std::uint64_t = 0;

  /// Reads the secret shared by the balancers of this deployment, as
  /// hexadecimal digits. The first balancer that requests it creates it.
  virtual auto ClusterSecret(std::error_code& aError)
    -> awaitable<std::string> = 0;

  /// Records the number of balancers in the deployment. If another balancer has
  /// recorded a number since the last reading, that number is kept.
  virtual auto RecordBalancerCount(std::uint32_t aCount,
                                   std::error_code& aError)
    -> awaitable<void> = 0;

  /// Records the services that routes allow or allowed recently. If another
  /// balancer has recorded them since the last reading, its record is kept.
  virtual auto RecordFormerShares(const std::vector<FormerShare>& aShares,
                                  std::error_code& aError)
    -> awaitable<void> = 0;
};

/// Registry of sources by name. They are constructed from the io_context, the
/// "ip:port" of the store and the metrics.
using StateSourceRegistry =
  Registry<StateSource, asio::io_context&, const std::string&, Metrics&>;

} // namespace bramleylock::forward

BRAMLEYLOCK_ERROR_ENUM(bramleylock::forward, SourceError, kSourceErrorNames,
                       "bramleylock.source");
