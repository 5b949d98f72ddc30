// Fleet-wide broadcast in which every balancer sends a bounded number of
// copies.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "bramleylock/Peer/FanOut.h"
#include "bramleylock/Support/Counters.h"

namespace bramleylock::peer {

/// A broadcast message as it is relayed through a failure domain.
struct BroadcastMessage
{
  /// Address of the balancer that broadcast the message, the incarnation of
  /// that balancer and the message's sequence number there.
  std::string origin;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  /// The root of the broadcast tree in the receiver's failure domain.
  std::string root;
  bool mirrored = false;
  std::string body;
  MSGPACK_DEFINE_ARRAY(origin, incarnation, sequence, root, mirrored, body)
};

/// Relays each message along a tree and the mirror image of that tree in every
/// failure domain, so that one paused or failed balancer prevents no other from
/// receiving the message. A balancer sends at most 2 * kFanOut copies within
/// its own domain and two to each other domain.
class Broadcast
{
public:
  Broadcast(PeerLinks& aLinks, Membership& aMembers, Metrics& aMetrics);

  /// Sends aBody to all reachable balancers.
  auto SendToAll(wire::MessageType aType, const std::string& aBody) -> void;

  /// Sets the handler for aType. It is called once for each message, with the
  /// member that relayed the message as the sender.
  auto On(wire::MessageType aType, MessageHandler aHandler) -> void;

private:
  struct DuplicateFilters
  {
    /// Messages that were delivered to the handler, by origin.
    SeenMessages delivered;
    /// Messages that were relayed, by origin and tree.
    SeenMessages relayed;
  };

  auto HandleMessage(wire::MessageType aType, const MessageHandler& aHandler,
                     const wire::Hello& aSender, const std::string& aEnvelope)
    -> void;

  PeerLinks& m_links;
  Membership& m_members;
  Metrics& m_metrics;
  FanOut m_fanOut;
  std::uint64_t m_sequence = 0;
  std::map<wire::MessageType, DuplicateFilters> m_seen;
};

} // namespace bramleylock::peer
