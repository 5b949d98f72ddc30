// Tree-based relaying of messages to all balancers of a failure domain.
#pragma once

#include <map>
#include <string>

#include "bramleylock/Peer/Membership.h"
#include "bramleylock/Peer/PeerLinks.h"

namespace bramleylock::peer {

/// The most children of a balancer in a broadcast tree, that is, the copies it
/// sends of each message that it receives.
inline constexpr std::size_t kFanOut = 3;

/// A broadcast tree over the live balancers of a failure domain. The inner
/// nodes of a tree are leaves in its mirror image.
struct BroadcastTree
{
  /// Key of the rendezvous hash that orders the balancers.
  std::string seed;
  /// The address of the balancer that sends first.
  std::string root;
  bool mirrored = false;
};

/// The tree for messages that aOrigin sends within its own failure domain.
inline auto TreeRootedAt(const std::string& aOrigin) -> BroadcastTree
{
  return { aOrigin, aOrigin, false };
}

/// Relays messages down broadcast trees, so that no balancer sends to all
/// others. Balancers can miss a message where members have different views of
/// the domain or an inner node is paused; the protocols that use this class
/// repair such gaps themselves.
class FanOut
{
public:
  FanOut(PeerLinks& aLinks, Membership& aMembers);

  /// Sends aBody to this balancer's children in aTree.
  auto SendToChildren(const BroadcastTree& aTree, wire::MessageType aType,
                      const std::string& aBody) -> void;

private:
  PeerLinks& m_links;
  Membership& m_members;
};

/// The children of aSelf in aTree over aNodes, which include the root and
/// aSelf.
auto ChildrenInTree(const BroadcastTree& aTree, const std::string& aSelf,
                    std::vector<std::string> aNodes)
  -> std::vector<std::string>;

/// Detects duplicate messages by origin, incarnation and sequence number.
class SeenMessages
{
public:
  /// Records a message. Returns true if its incarnation and sequence number are
  /// higher than those of all earlier messages from aOrigin.
  auto RecordIfNew(const std::string& aOrigin, std::uint64_t aIncarnation,
                   std::uint64_t aSequence) -> bool;

private:
  std::map<std::string, std::pair<std::uint64_t, std::uint64_t>>
    m_newestByOrigin;
};

/// A token bucket that limits bytes per second. One large message may overdraw
/// the bucket; later messages are then rejected until it has refilled.
class ByteRateLimiter
{
public:
  ByteRateLimiter(double aBytesPerSecond, double aBurstBytes);

  /// Consumes aBytes and returns true, unless the bucket is empty or overdrawn.
  auto TryConsume(std::size_t aBytes, Clock::time_point aNow) -> bool;

private:
  double m_bytesPerSecond;
  double m_burstBytes;
  double m_availableBytes;
  Clock::time_point m_refilledAt{};
};

} // namespace bramleylock::peer
