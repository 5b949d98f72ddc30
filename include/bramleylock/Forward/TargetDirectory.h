// Every target that a balancer may have to reach: those that take new flows,
// those that only keep the flows they have, and those that left.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include <msgpack.hpp>

#include "bramleylock/Forward/Packet.h"
#include "bramleylock/Forward/RouteTable.h"
#include "bramleylock/Support/Asio.h"

namespace bramleylock::forward {

enum class TargetState
{
  Ready,
  /// Keeps its flows and takes no new ones.
  Draining,
  /// Its entry is gone; it may still serve the flows that it has.
  Departed,
  /// A later incarnation of it, or another target at its address, runs.
  Dead
};

inline constexpr std::array<NameRow<TargetState>, 4> kTargetStateNames{ {
  { TargetState::Ready, "ready" },
  { TargetState::Draining, "draining" },
  { TargetState::Departed, "departed" },
  { TargetState::Dead, "dead" },
} };

/// What the platform's list says of a target.
struct TargetRecord
{
  std::string id;
  /// Milliseconds since the Unix epoch at which it started.
  std::uint64_t incarnation = 0;
  std::string service;
  std::uint32_t ip = 0;
  std::uint16_t port = 0;
  std::string failureDomain;
  std::uint32_t slots = 0;
  /// A TargetState.
  std::uint8_t state = 0;
  /// How much longer it is slow after its start.
  std::uint32_t coldMs = 0;
  /// The store's revision of this record.
  std::uint64_t revision = 0;
  MSGPACK_DEFINE_ARRAY(id, incarnation, service, ip, port, failureDomain, slots,
                       state, coldMs, revision)

  auto At() const -> Address { return { ip, port }; }
  auto State() const -> TargetState { return static_cast<TargetState>(state); }
};

/// What the packets of this balancer's clients showed of a target.
struct TargetEvidence
{
  /// Flows that are being opened, or have a request without an answer.
  std::uint32_t inFlight = 0;
  /// Open flows that were answered last.
  std::uint32_t idle = 0;
  /// Slots that the idle flows take on average.
  double idleLoad = 0;
  /// Flows that have not ended, as far as this balancer saw.
  std::uint32_t open = 0;
  /// Requests of open flows that were sent again since a client last showed
  /// that the target answers.
  std::uint32_t repeatedRequests = 0;
  /// Health checks in a row that got no answer at all, by this balancer.
  std::uint32_t unansweredChecks = 0;
  /// When the last of them was given up.
  Clock::time_point checkedAt{};
  /// When it was found not to answer; the epoch while it does.
  Clock::time_point silentSince{};
  /// When a health check cleared it of silence last.
  Clock::time_point clearedAt{};
  /// When a client last showed that the target answers.
  Clock::time_point answeredAt{};
};

struct DirectoryEntry
{
  TargetRecord record;
  TargetTag tag = 0;
  TargetPrefix prefix{};
  Clock::time_point warmAt{};
  Clock::time_point departedAt{};
  /// Set while the entry is gone and may have lapsed with the store: until then
  /// it takes flows like a listed one.
  Clock::time_point lapseEnds{};
  /// When its entry last changed in the store.
  Clock::time_point heardAt{};
  TargetEvidence evidence;

  auto TakesFlows(Clock::time_point aNow) const -> bool;
};

/// The tag of an incarnation; never 0.
auto TagOf(const std::string& aTargetId, std::uint64_t aIncarnation)
  -> TargetTag;

/// Entries merge by the store's revisions, so that news may come in any order,
/// from the store and from peers, more than once.
class TargetDirectory
{
public:
  explicit TargetDirectory(const PacketCodec& aCodec);

  /// Takes a record; true when it changed more than the time it was heard.
  auto Apply(const TargetRecord& aRecord, Clock::time_point aNow) -> bool;

  /// Takes the end of an entry at aRevision. With a aLapse above zero the
  /// entry may be back: it serves on for that long.
  auto Remove(const std::string& aId, std::uint64_t aRevision,
              Milliseconds aLapse, Clock::time_point aNow) -> bool;

  /// Forgets targets and ends of entries that are older than aKeep.
  auto Expire(Clock::duration aKeep, Clock::time_point aNow) -> void;

  /// Whether some target left before aLimit and is not forgotten yet.
  auto HasGoneBefore(Clock::time_point aLimit) const -> bool;

  /// The incarnation that aTag names among the services that aRoutes allows at
  /// aService, or null.
  auto Lookup(TargetTag aTag, const Address& aService,
              const RouteTable& aRoutes) -> DirectoryEntry*;

  /// The targets of a service that take new flows.
  auto Candidates(const std::string& aService, Clock::time_point aNow)
    -> std::vector<DirectoryEntry*>;

  /// The latest incarnation of aId, or null.
  auto Find(const std::string& aId) -> DirectoryEntry*;

  /// Whether this incarnation of aId is or was listed here.
  auto Knows(const std::string& aId, std::uint64_t aIncarnation) const -> bool;

  /// Some target with aTag, or null.
  auto FindTag(TargetTag aTag) -> DirectoryEntry*;

  /// All incarnations, the latest of each id first.
  auto All() -> std::vector<DirectoryEntry*>;

  /// The records that changed after aRevision, for a peer, with the states in
  /// force here.
  auto RecordsAfter(std::uint64_t aRevision, Clock::time_point aNow)
    -> std::vector<TargetRecord>;

  auto Size() const -> std::size_t;

private:
  using Key = std::pair<std::string, std::uint64_t>;

  /// The end of an entry.
  struct Ended
  {
    std::uint64_t revision = 0;
    Clock::time_point at{};
  };

  auto NoteGone(DirectoryEntry& aEntry, Clock::time_point aNow) -> void;
  auto AddToIndexes(DirectoryEntry& aEntry) -> void;
  auto DropFromIndexes(DirectoryEntry& aEntry) -> void;
  auto MarkDead(DirectoryEntry& aEntry, Clock::time_point aNow) -> void;
  auto RetireAddress(const DirectoryEntry& aNewcomer, Clock::time_point aNow)
    -> void;

  const PacketCodec& m_codec;
  std::map<Key, DirectoryEntry> m_entries;
  std::unordered_multimap<TargetTag, DirectoryEntry*> m_byTag;
  std::unordered_multimap<Address, DirectoryEntry*, AddressHash> m_byAddress;
  std::map<std::string, std::vector<DirectoryEntry*>> m_byService;
  /// Entries that ended lately, by id.
  std::map<std::string, Ended> m_ended;
  /// Incarnations in the order in which they left; some may be back.
  std::deque<std::pair<Clock::time_point, Key>> m_gone;
};

} // namespace bramleylock::forward
