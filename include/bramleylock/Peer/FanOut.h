// Passing messages on to all balancers of a failure domain.
#pragma once

#include <map>
#include <string>

#include "bramleylock/Peer/Membership.h"
#include "bramleylock/Peer/PeerLinks.h"

namespace bramleylock::peer {

/// Messages that one balancer sends on for each one it receives.
inline constexpr std::size_t kFanOut = 3;

/// A tree over the live balancers of a failure domain. Those that pass messages
/// on in a tree only receive them in its mirror image.
struct SpreadTree
{
  /// Orders the balancers.
  std::string seed;
  /// The balancer that sends first.
  std::string root;
  bool mirrored = false;
};

/// The tree of what aOrigin spreads in its own failure domain.
inline auto TreeOf(const std::string& aOrigin) -> SpreadTree
{
  return { aOrigin, aOrigin, false };
}

/// Sends down trees, so that no balancer sends to all. Gaps, as where members
/// differ in view or an inner node is paused, are left to repair.
class FanOut
{
public:
  FanOut(PeerLinks& aLinks, Membership& aMembers);

  /// Sends to this balancer's children in aTree.
  auto PassOn(const SpreadTree& aTree, wire::MessageType aType,
              const std::string& aBody) -> void;

private:
  PeerLinks& m_links;
  Membership& m_members;
};

/// Addresses that aSelf sends to in aTree over aNodes, which hold the root and
/// aSelf.
auto ChildrenInTree(const SpreadTree& aTree, const std::string& aSelf,
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

} // namespace bramleylock::peer
