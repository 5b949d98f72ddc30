// Passing messages on to all balancers of a failure domain.
#pragma once

#include <map>
#include <string>

#include "bramleylock/Peer/Membership.h"
#include "bramleylock/Peer/PeerHub.h"

namespace bramleylock::lists {

/// Messages that one balancer sends on for each one it receives.
inline constexpr std::size_t kFanOut = 3;

/// A tree over the live balancers of the failure domain, different for each
/// origin, so that no balancer sends to all. Gaps, as where members differ in
/// view or an inner node is paused, are left to repair.
class FanOut
{
public:
  FanOut(peer::PeerHub& aHub, peer::Membership& aMembers);

  /// Sends to this balancer's children in the tree of aOrigin.
  auto PassOn(const std::string& aOrigin, wire::MessageType aType,
              const std::string& aBody) -> void;

private:
  peer::PeerHub& m_hub;
  peer::Membership& m_members;
};

/// Addresses that aSelf sends to in the tree that aOrigin roots over aNodes;
/// aNodes holds both.
auto ChildrenInTree(const std::string& aOrigin, const std::string& aSelf,
                    std::vector<std::string> aNodes)
  -> std::vector<std::string>;

/// Tells repeated messages by origin, incarnation and sequence.
class SeenMessages
{
public:
  /// True for the first message with a higher number than all before.
  auto IsNew(const std::string& aOrigin, std::uint64_t aIncarnation,
             std::uint64_t aSequence) -> bool;

private:
  std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> m_newest;
};

/// Bounds bytes a second. One large message may overdraw it, and later ones
/// wait for the debt.
class ByteBudget
{
public:
  ByteBudget(double aBytesPerSecond, double aBurstBytes);

  /// Takes aBytes unless the budget is overdrawn.
  auto Take(std::size_t aBytes, Clock::time_point aNow) -> bool;

private:
  double m_rate;
  double m_burst;
  double m_bytes;
  Clock::time_point m_updated{};
};

} // namespace bramleylock::lists
