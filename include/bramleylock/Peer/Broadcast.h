// Messages for every balancer of the fleet, none of which sends to all.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "bramleylock/Peer/FanOut.h"
#include "bramleylock/Support/Counters.h"

namespace bramleylock::peer {

/// A message on its way through a failure domain.
struct BroadcastMessage
{
  /// Who broadcast it, and its number there.
  std::string origin;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  /// The member of the receiver's failure domain from which it spreads there.
  std::string root;
  bool mirrored = false;
  std::string body;
  MSGPACK_DEFINE_ARRAY(origin, incarnation, sequence, root, mirrored, body)
};

/// Spreads each message over a tree and its mirror image in every failure
/// domain, so that one balancer that is paused or gone cuts off nobody. A
/// balancer sends at most 2 * kFanOut copies in its domain, and two to each
/// other domain.
class Broadcast
{
public:
  Broadcast(PeerLinks& aLinks, Membership& aMembers, Metrics& aMetrics);

  /// Sends aBody to all balancers that can be reached.
  auto Announce(wire::MessageType aType, const std::string& aBody) -> void;

  /// Sets the handler of aType; it gets each message once, from the member that
  /// passed it on.
  auto On(wire::MessageType aType, MessageHandler aHandler) -> void;

private:
  struct Seen
  {
    SeenMessages handled;
    /// By origin and tree.
    SeenMessages passedOn;
  };

  auto Take(wire::MessageType aType, const MessageHandler& aHandler,
            const wire::Hello& aSender, const std::string& aEnvelope) -> void;

  PeerLinks& m_links;
  Membership& m_members;
  Metrics& m_metrics;
  FanOut m_fanOut;
  std::uint64_t m_sequence = 0;
  std::map<wire::MessageType, Seen> m_seen;
};

} // namespace bramleylock::peer
