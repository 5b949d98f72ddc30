// What this balancer holds of the other ones, and the rules by which it
// changes.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "bramleylock/Support/Asio.h"
#include "bramleylock/Support/Counters.h"
#include "bramleylock/Wire/Messages.h"

namespace bramleylock::peer {

/// In the order in which one replaces the other at the same incarnation and
/// refutation.
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

/// One other balancer, by the address of its peer listener.
struct Member
{
  std::string vm;
  std::string failureDomain;
  std::string address;
  std::uint64_t incarnation = 0;
  MemberState state = MemberState::Candidate;
  /// When its last message came; the epoch when none came.
  Clock::time_point lastHeard{};
  wire::Heartbeat latest;
  std::uint64_t refutation = 0;
  Clock::time_point changedAt{};
  /// Changes since changesFrom, for damping.
  int changes = 0;
  Clock::time_point changesFrom{};
};

/// Whether aState counts as reachable: a suspect does until it is dead.
auto Reachable(MemberState aState) -> bool;

/// Members by address, and the news of them that is still to be passed on.
class MemberTable
{
public:
  MemberTable(wire::Hello aSelf, Metrics& aMetrics);

  auto Self() const -> const wire::Hello&;
  auto SelfRecord() const -> wire::MemberRecord;

  /// Tells the others that this balancer drains or leaves.
  auto SetSelf(MemberState aState, bool aDraining) -> void;

  /// See Membership::AllowRenewal.
  auto AllowRenewal() -> void;

  /// Takes a record that somebody passed on. True when it changed what is held.
  auto Apply(const wire::MemberRecord& aRecord, Clock::time_point aNow) -> bool;

  /// Takes a message of the member itself. False for an older incarnation and
  /// for a sender that is held dead and has to refute first.
  auto Hear(const wire::Hello& aSender, const wire::Gossip& aGossip,
            Clock::time_point aNow) -> bool;

  auto Suspect(const std::string& aAddress, Clock::time_point aNow) -> void;

  /// Suspects that did not refute in time die; the dead are forgotten later.
  auto Expire(Clock::time_point aNow) -> void;

  /// An address to try; never changes a member that is known.
  auto AddCandidate(const std::string& aVm, const std::string& aFailureDomain,
                    const std::string& aAddress) -> void;

  auto Find(const std::string& aAddress) -> Member*;
  auto Members() const -> const std::map<std::string, Member>&;
  auto Forget(const std::string& aAddress) -> void;

  /// News for one message: at most kUpdatesPerMessage, each passed on a
  /// bounded number of times.
  auto TakeUpdates() -> std::vector<wire::MemberRecord>;

  /// Hash over the reachable members of the own failure domain.
  auto Digest() const -> std::uint64_t;

  static auto RecordOf(const Member& aMember) -> wire::MemberRecord;

  static constexpr std::size_t kUpdatesPerMessage = 6;

private:
  struct News
  {
    std::string address;
    int left = 0;
  };

  auto ApplyToSelf(const wire::MemberRecord& aRecord) -> bool;
  auto Renew(const wire::MemberRecord& aRecord) -> bool;
  auto PassOn(const std::string& aAddress) -> void;
  auto Damped(Member& aMember, Clock::time_point aNow) -> bool;
  auto Retransmissions() const -> int;

  wire::Hello m_self;
  Metrics& m_metrics;
  MemberState m_selfState = MemberState::Alive;
  bool m_selfDraining = false;
  bool m_renewable = false;
  std::uint64_t m_refutation = 0;
  std::map<std::string, Member> m_members;
  std::deque<News> m_news;
};

} // namespace bramleylock::peer
