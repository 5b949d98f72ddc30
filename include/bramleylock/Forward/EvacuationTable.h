// Failure domains to which the operators allow no new flows.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <msgpack.hpp>

#include "bramleylock/Forward/StoreRevision.h"
#include "bramleylock/Support/Asio.h"

namespace bramleylock::forward {

/// Start or end of the evacuation of a failure domain.
struct EvacuationRecord
{
  std::string failureDomain;
  bool evacuated = false;
  /// Store revision of the operators' request, or of its removal.
  StoreRevision revision;
  /// Time since the request was first known to the balancers.
  std::uint32_t ageMs = 0;
  MSGPACK_DEFINE_ARRAY(failureDomain, evacuated, revision.number,
                       revision.generation, ageMs)
};

/// Evacuations by failure domain. Records are merged by store revision, so they
/// may arrive from the store and from peers in any order and repeatedly.
class EvacuationTable
{
public:
  /// An evacuation in force.
  struct Evacuation
  {
    std::string failureDomain;
    Clock::time_point since{};
  };

  /// Merges a record. Returns whether an evacuation began or ended.
  auto Apply(const EvacuationRecord& aRecord, Clock::time_point aNow) -> bool;

  /// Ends the evacuations that a full listing of aRevision does not contain,
  /// after aGracePeriod. Returns the failure domains concerned.
  auto EndMissing(const std::vector<EvacuationRecord>& aListed,
                  const StoreRevision& aRevision, Milliseconds aGracePeriod,
                  Clock::time_point aNow) -> std::vector<std::string>;

  auto IsEvacuated(const std::string& aFailureDomain,
                   Clock::time_point aNow) const -> bool;

  /// Returns whether a record of aFailureDomain is known.
  auto Contains(const std::string& aFailureDomain) const -> bool;

  /// Returns the evacuations in force, ordered by failure domain.
  auto InForce(Clock::time_point aNow) const -> std::vector<Evacuation>;

  /// Returns the records that changed after aRevision, for transmission to a
  /// peer.
  auto RecordsAfter(const StoreRevision& aRevision,
                    Clock::time_point aNow) const
    -> std::vector<EvacuationRecord>;

  /// Discards evacuations that ended more than aKeep ago.
  auto Expire(Clock::duration aKeep, Clock::time_point aNow) -> void;

private:
  struct Entry
  {
    bool evacuated = false;
    StoreRevision revision;
    /// When the evacuation began, or when its end was received.
    Clock::time_point since{};
    /// When an evacuation that a restored store lacks ends; the maximum time
    /// point for all others.
    Clock::time_point endsAt = Clock::time_point::max();
  };

  static auto IsInForce(const Entry& aEntry, Clock::time_point aNow) -> bool;

  std::map<std::string, Entry> m_entries;
};

} // namespace bramleylock::forward
