// Which balancers are alive, and where.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "bramleylock/Peer/PeerHub.h"

namespace bramleylock::peer {

enum class MemberState
{
  Candidate,
  Alive,
  Dead,
  Left
};

inline constexpr std::array<NameRow<MemberState>, 4> kMemberStateNames{ {
  { MemberState::Candidate, "candidate" },
  { MemberState::Alive, "alive" },
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
  Clock::time_point lastHeard{};
  wire::Heartbeat latest;
};

/// A hint of the platform's VM list about one balancer.
struct MemberHint
{
  std::string vm;
  std::string failureDomain;
  std::string address;
};

/// Keeps the members by heartbeats. A member is alive while it is heard, and a
/// higher incarnation at its address replaces it.
class Membership
{
public:
  Membership(asio::io_context& aContext, PeerHub& aHub, wire::Hello aSelf);

  /// Starts sending heartbeats; aFill completes each one with local state.
  auto Start(std::function<void(wire::Heartbeat&)> aFill) -> void;

  /// Takes the balancers that the platform lists as addresses to try.
  auto SetHints(const std::vector<MemberHint>& aHints) -> void;

  /// Told of every heartbeat after the member is updated.
  auto OnHeartbeat(std::function<void(const Member&)> aListener) -> void;

  /// Whether the owner that a token names can be reached: alive, and still
  /// the same incarnation.
  auto IsAlive(const std::string& aAddress, std::uint64_t aIncarnation) const
    -> bool;

  /// Whether a heartbeat of a balancer at aAddress has ever come.
  auto Heard(const std::string& aAddress) const -> bool;

  /// Alive members, without this balancer.
  auto Alive() const -> std::vector<Member>;

  /// Alive members of this balancer's failure domain, without itself.
  auto AliveInDomain() const -> std::vector<Member>;

  auto All() const -> std::vector<Member>;

  auto Self() const -> const wire::Hello&;

  /// Sends one heartbeat now, as a draining balancer does.
  auto Announce() -> void;

private:
  auto HeartbeatLoop() -> awaitable<void>;
  auto Receive(const wire::Hello& aSender, const std::string& aBody) -> void;
  auto Expire() -> void;

  asio::io_context& m_context;
  PeerHub& m_hub;
  wire::Hello m_self;
  std::map<std::string, Member> m_members;
  std::function<void(wire::Heartbeat&)> m_fill;
  std::function<void(const Member&)> m_listener;
};

} // namespace bramleylock::peer
