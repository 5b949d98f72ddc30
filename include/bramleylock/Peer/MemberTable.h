// The membership table of this balancer and the rules for updating it.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "bramleylock/Support/Asio.h"
#include "bramleylock/Support/Counters.h"
#include "bramleylock/Wire/Messages.h"

namespace bramleylock::peer {

/// State of a member. At the same incarnation and refutation number, a record
/// with a later state of this list replaces one with an earlier state.
enum class MemberState
{
  Candidate,
  Alive,
  Suspect,
  Dead,
  Left
};

inline constexpr std::array<NameRow<MemberState>, 5> kMemberStateNames{ {
  { MemberState::Candidate, "candidate" },
  { MemberState::Alive, "alive" },
  { MemberState::Suspect, "suspect" },
  { MemberState::Dead, "dead" },
  { MemberState::Left, "left" },
} };

/// Another balancer. Members are identified by the address of their peer
/// listener.
struct Member
{
  std::string vm;
  std::string failureDomain;
  std::string address;
  std::uint64_t incarnation = 0;
  MemberState state = MemberState::Candidate;
  /// When the last message from the member arrived; the clock's epoch if none
  /// has.
  Clock::time_point lastMessageAt{};
  /// The most recent heartbeat of the member.
  wire::Heartbeat latestHeartbeat;
  std::uint64_t refutation = 0;
  /// See wire::Hello.
  std::uint8_t capacityClass = 0;
  /// When a record last changed the member.
  Clock::time_point changedAt{};
  /// Number of changes since changeWindowStart, for flap damping.
  int recentChanges = 0;
  Clock::time_point changeWindowStart{};
};

/// Whether a member in aState counts as reachable. A suspected member does
/// until it is declared dead.
auto IsReachable(MemberState aState) -> bool;

/// Members by address, and the updates about them that are still to be
/// disseminated by gossip.
class MemberTable
{
public:
  MemberTable(wire::Hello aSelf, Metrics& aMetrics);

  auto Self() const -> const wire::Hello&;
  auto SelfRecord() const -> wire::MemberRecord;

  /// Sets this balancer's own state, and queues an update that tells the other
  /// members that it is draining or leaving.
  auto SetSelfState(MemberState aState, bool aDraining) -> void;

  /// See Membership::AllowIncarnationRenewal.
  auto AllowIncarnationRenewal() -> void;

  /// Applies a record received by gossip; returns true when it changed the
  /// table.
  auto Apply(const wire::MemberRecord& aRecord, Clock::time_point aNow) -> bool;

  /// Applies a message sent by the member itself. Returns false if the sender
  /// has an older incarnation, or is recorded as dead and has to refute that
  /// first.
  auto ApplyMessage(const wire::Hello& aSender, const wire::Gossip& aGossip,
                    Clock::time_point aNow) -> bool;

  auto Suspect(const std::string& aAddress, Clock::time_point aNow) -> void;

  /// Declares suspected members dead that have not refuted in time, and removes
  /// members that have been dead or have left for longer than the retention
  /// period.
  auto Expire(Clock::time_point aNow) -> void;

  /// Adds an address to contact. Never changes a member that is in the table.
  auto AddCandidate(const std::string& aVm, const std::string& aFailureDomain,
                    const std::string& aAddress) -> void;

  auto Find(const std::string& aAddress) -> Member*;
  auto Members() const -> const std::map<std::string, Member>&;
  auto Remove(const std::string& aAddress) -> void;

  /// Returns the updates to send in one message: at most kMaxUpdatesPerMessage.
  /// Each update is sent a bounded number of times.
  auto TakeUpdates() -> std::vector<wire::MemberRecord>;

  /// Hash over this balancer and the reachable members of its failure domain.
  auto Digest() const -> std::uint64_t;

  static auto RecordOf(const Member& aMember) -> wire::MemberRecord;

  static constexpr std::size_t kMaxUpdatesPerMessage = 6;

private:
  struct PendingUpdate
  {
    std::string address;
    int remainingSends = 0;
  };

  auto ApplyToSelf(const wire::MemberRecord& aRecord) -> bool;
  auto RenewIncarnation(const wire::MemberRecord& aRecord) -> bool;
  auto QueueUpdate(const std::string& aAddress) -> void;
  auto ExceedsChangeLimit(Member& aMember, Clock::time_point aNow) -> bool;
  auto SendsPerUpdate() const -> int;

  wire::Hello m_self;
  Metrics& m_metrics;
  MemberState m_selfState = MemberState::Alive;
  bool m_selfDraining = false;
  bool m_incarnationRenewable = false;
  std::uint64_t m_refutation = 0;
  std::map<std::string, Member> m_members;
  std::deque<PendingUpdate> m_pendingUpdates;
};

} // namespace bramleylock::peer
