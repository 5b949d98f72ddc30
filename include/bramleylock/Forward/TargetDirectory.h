// Directory of all targets that a balancer may have to reach: those that accept
// new flows, those that only keep their existing flows, and those that have
// departed.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include <msgpack.hpp>

#include "bramleylock/Forward/EvacuationTable.h"
#include "bramleylock/Forward/Packet.h"
#include "bramleylock/Forward/RouteTable.h"
#include "bramleylock/Support/Asio.h"

namespace bramleylock::forward {

enum class TargetState
{
  Ready,
  /// Keeps its existing flows and accepts no new ones.
  Draining,
  /// Its entry was removed from the store; it may still serve its existing
  /// flows.
  Departed,
  /// Replaced by a later incarnation or by another target at its address.
  Dead
};

inline constexpr std::array<NameRow<TargetState>, 4> kTargetStateNames{ {
  { TargetState::Ready, "ready" },
  { TargetState::Draining, "draining" },
  { TargetState::Departed, "departed" },
  { TargetState::Dead, "dead" },
} };

/// A target's record in the platform's store.
struct TargetRecord
{
  std::string id;
  /// Start time of the target in milliseconds since the Unix epoch.
  std::uint64_t incarnation = 0;
  std::string service;
  std::uint32_t ip = 0;
  std::uint16_t port = 0;
  std::string failureDomain;
  std::uint32_t slots = 0;
  /// A TargetState.
  std::uint8_t state = 0;
  /// Remaining warm-up time, in which the target is slower.
  std::uint32_t warmUpMs = 0;
  /// Store revision of this record.
  StoreRevision revision;
  /// The target's own count of its writes in this incarnation, which orders
  /// them independently of the store; 0 if unknown. A removal counts as one
  /// more write unless the entry may return.
  std::uint64_t sequence = 0;
  MSGPACK_DEFINE_ARRAY(id, incarnation, service, ip, port, failureDomain, slots,
                       state, warmUpMs, revision.number, revision.generation,
                       sequence)

  auto EndpointAddress() const -> Address { return { ip, port }; }
  auto State() const -> TargetState { return static_cast<TargetState>(state); }
};

/// State of a target as observed by this balancer from its clients' packets and
/// its own health checks.
struct TargetStats
{
  /// Flows that are being opened or have an outstanding request.
  std::uint32_t inFlight = 0;
  /// Expected number of slots used by the flows in flight: their packets are in
  /// transit for a part of the time.
  double busyLoad = 0;
  /// Open flows without an outstanding request.
  std::uint32_t idleFlows = 0;
  /// Mean number of slots used by the idle flows.
  double idleLoad = 0;
  /// Moving average of this target's service times divided by those of all
  /// targets, and the time of its last sample.
  double slowness = 1;
  Clock::time_point slownessAt{};
  /// Flows that have not ended, as far as this balancer knows.
  std::uint32_t openFlows = 0;
  /// Requests of open flows that clients retransmitted since a client last
  /// showed that the target responds.
  std::uint32_t retransmittedRequests = 0;
  /// Consecutive health checks by this balancer without any response.
  std::uint32_t unansweredChecks = 0;
  /// Consecutive health checks by this balancer that show that the target
  /// cannot be reached, and when the first of them was sent.
  std::uint32_t unreachableChecks = 0;
  Clock::time_point unreachableSince{};
  /// When the last health check was sent, and when it was completed.
  Clock::time_point lastCheckSentAt{};
  Clock::time_point lastCheckAt{};
  /// When the target was found silent; the epoch while it is not.
  Clock::time_point silentSince{};
  /// When a health check, by this balancer or by a peer, last found the target
  /// healthy.
  Clock::time_point lastHealthyAt{};
  /// When a client's packet last showed that the target responds.
  Clock::time_point lastResponseAt{};
  /// Latest time at which this balancer sent a packet or a health check that
  /// the target has answered.
  Clock::time_point answeredSendAt{};
};

struct DirectoryEntry
{
  TargetRecord record;
  TargetTag tag = 0;
  TargetPrefix prefix{};
  Clock::time_point warmUpEndsAt{};
  /// Set if the target may have restarted while it was silent: when its warm-up
  /// ends at the latest, and the time as of which the state of the store has to
  /// be known to show whether it restarted.
  Clock::time_point suspectedWarmUpEndsAt{};
  Clock::time_point confirmableFrom{};
  Clock::time_point departedAt{};
  /// Set if the entry was removed but may have expired in a store outage. Until
  /// this time the target accepts flows like a listed one.
  Clock::time_point graceEndsAt{};
  /// When the last change of the entry in the store was received.
  Clock::time_point lastUpdateAt{};
  /// Store revision of the target's own last write that is known here; 0 if
  /// only its departure is known.
  StoreRevision lastWrite;
  TargetStats stats;

  auto AcceptsNewFlows(Clock::time_point aNow) const -> bool;

  /// Returns whether the target is not known to be warm.
  auto MayBeWarmingUp(Clock::time_point aNow) const -> bool;
};

/// Returns the tag of an incarnation; never 0.
auto ComputeTag(const std::string& aTargetId, std::uint64_t aIncarnation)
  -> TargetTag;

/// Directory of targets. Entries are merged by store revision, so updates from
/// the store and from peers may arrive in any order and repeatedly. Records of
/// one incarnation from different generations of the store are merged by the
/// target's own count of its writes. Incarnations of one id are ordered by
/// their writes as well, and by their start times across generations. A target
/// is taken for the successor of another one at its address only if both agree.
class TargetDirectory
{
public:
  explicit TargetDirectory(const PacketCodec& aCodec);

  /// Merges a record. Returns true if a property other than the time of the
  /// update changed.
  auto Apply(const TargetRecord& aRecord, Clock::time_point aNow) -> bool;

  /// Merges the removal of an entry at aRevision. If aGracePeriod is above
  /// zero, the entry may be registered again, and the target keeps accepting
  /// flows for that long.
  auto Remove(const std::string& aId, const StoreRevision& aRevision,
              Milliseconds aGracePeriod, Clock::time_point aNow) -> bool;

  /// Discards departed targets and removal records that are older than aKeep.
  auto Expire(Clock::duration aKeep, Clock::time_point aNow) -> void;

  /// Returns whether a target departed before aLimit and is still in the
  /// directory.
  auto HasDepartedBefore(Clock::time_point aLimit) const -> bool;

  /// Returns the incarnation with aTag among the services that aRoutes allows
  /// at aService, or null.
  auto Lookup(TargetTag aTag, const Address& aService,
              const RouteTable& aRoutes) -> DirectoryEntry*;

  /// Returns the targets of a service to which new flows may be opened.
  auto Candidates(const std::string& aService, Clock::time_point aNow)
    -> std::vector<DirectoryEntry*>;

  /// Returns whether new flows may be opened to aEntry: it accepts them, and
  /// its failure domain is not evacuated.
  auto MayOpenFlows(const DirectoryEntry& aEntry, Clock::time_point aNow) const
    -> bool;

  /// Returns whether a service has targets that accept new flows, all of them
  /// in evacuated failure domains.
  auto IsEvacuated(const std::string& aService, Clock::time_point aNow) const
    -> bool;

  /// Records that aEntry answers after a silence in which it may have
  /// restarted. It counts as warming up for aWarmUp, or until ConfirmAsOf is
  /// called for a later state of the store.
  auto SuspectRestart(DirectoryEntry& aEntry, Milliseconds aWarmUp,
                      Clock::time_point aNow) -> void;

  /// Sets the listener that is called for each suspected restart, with the time
  /// as of which the state of the store has to be known.
  using SuspicionListener =
    std::function<void(const DirectoryEntry&, Clock::time_point)>;
  auto SetSuspicionListener(SuspicionListener aListener) -> void;

  /// Records that the entries reflect the store as of aReadAt.
  auto ConfirmAsOf(Clock::time_point aReadAt) -> void;

  /// Returns the number of open flows to the targets of a failure domain, as
  /// far as this balancer knows.
  auto OpenFlowsIn(const std::string& aFailureDomain) const -> std::size_t;

  auto Evacuations() -> EvacuationTable&;
  auto Evacuations() const -> const EvacuationTable&;

  /// Returns the incarnation of aId that registered last, or null.
  auto Find(const std::string& aId) -> DirectoryEntry*;

  /// Returns the target at aAddress that registered last, or null. Listed
  /// targets precede departed ones.
  auto OwnerOf(const Address& aAddress) -> DirectoryEntry*;

  /// Returns whether this incarnation of aId is in the directory, listed or
  /// departed.
  auto Contains(const std::string& aId, std::uint64_t aIncarnation) const
    -> bool;

  /// Returns any target with aTag, or null.
  auto FindByTag(TargetTag aTag) -> DirectoryEntry*;

  /// Returns all incarnations, ordered by id and incarnation.
  auto All() -> std::vector<DirectoryEntry*>;

  /// Returns the records that changed after aRevision, with the states in force
  /// here, for transmission to a peer.
  auto RecordsAfter(const StoreRevision& aRevision, Clock::time_point aNow)
    -> std::vector<TargetRecord>;

  auto Size() const -> std::size_t;

private:
  using Key = std::pair<std::string, std::uint64_t>;

  /// A removal of an entry.
  struct Removal
  {
    StoreRevision revision;
    Clock::time_point at{};
  };

  auto RecordDeparture(DirectoryEntry& aEntry, Clock::time_point aNow) -> void;
  auto AddToIndexes(DirectoryEntry& aEntry) -> void;
  auto RemoveFromIndexes(DirectoryEntry& aEntry) -> void;
  auto MarkDead(DirectoryEntry& aEntry, Clock::time_point aNow) -> void;
  auto MarkFormerOwnersDead(DirectoryEntry& aNewEntry, Clock::time_point aNow)
    -> void;

  const PacketCodec& m_codec;
  EvacuationTable m_evacuations;
  std::map<Key, DirectoryEntry> m_entries;
  /// The incarnation of each id that registered last.
  std::unordered_map<std::string, DirectoryEntry*> m_latest;
  std::unordered_multimap<TargetTag, DirectoryEntry*> m_byTag;
  std::unordered_multimap<Address, DirectoryEntry*, AddressHash> m_byAddress;
  std::map<std::string, std::vector<DirectoryEntry*>> m_byService;
  /// Recently removed entries by id.
  std::map<std::string, Removal> m_removed;
  /// Incarnations that may have restarted.
  std::set<Key> m_suspected;
  SuspicionListener m_suspicionListener = [](const DirectoryEntry&,
                                             Clock::time_point) {};
  /// Incarnations in the order of their departure; some may be listed again.
  std::deque<std::pair<Clock::time_point, Key>> m_departures;
};

} // namespace bramleylock::forward
