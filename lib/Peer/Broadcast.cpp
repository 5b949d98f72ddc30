// Broadcast along two mirrored trees in each failure domain, with duplicate
// detection.

#include "bramleylock/Peer/Broadcast.h"

#include "bramleylock/Peer/Receive.h"

namespace bramleylock::peer {

Broadcast::Broadcast(PeerLinks& aLinks, Membership& aMembers, Metrics& aMetrics)
  : m_links(aLinks)
  , m_members(aMembers)
  , m_metrics(aMetrics)
  , m_fanOut(aLinks, aMembers)
{
}

static auto TreeOf(const BroadcastMessage& aMessage) -> BroadcastTree
{
  return { aMessage.origin, aMessage.root, aMessage.mirrored };
}

auto Broadcast::SendToAll(wire::MessageType aType, const std::string& aBody)
  -> void
{
  const auto& self = m_members.Self();
  BroadcastMessage message{ self.address, self.incarnation,
                            ++m_sequence, self.address,
                            false,        aBody };
  m_fanOut.SendToChildren(TreeOf(message), aType, wire::PackBody(message));
  if (m_members.AliveAddressesInDomain().size() > kFanOut) {
    message.mirrored = true;
    m_fanOut.SendToChildren(TreeOf(message), aType, wire::PackBody(message));
  }
  for (const auto& [domain, alive] : m_members.AliveByDomain()) {
    if (domain == self.failureDomain) {
      continue;
    }
    message.mirrored = false;
    for (const auto& contact : m_members.ContactAddressesOf(domain)) {
      message.root = contact;
      m_links.SendMessage(contact, aType, message);
      message.mirrored = !message.mirrored;
    }
  }
}

auto Broadcast::On(wire::MessageType aType, MessageHandler aHandler) -> void
{
  m_links.On(aType, [this, aType, handler = std::move(aHandler)](
                      const wire::Hello& aSender, const std::string& aBody) {
    HandleMessage(aType, handler, aSender, aBody);
  });
}

auto Broadcast::HandleMessage(wire::MessageType aType,
                              const MessageHandler& aHandler,
                              const wire::Hello& aSender,
                              const std::string& aEnvelope) -> void
{
  const auto message = wire::UnpackBody<BroadcastMessage>(aEnvelope);
  if (!message) {
    ReportMalformed(m_metrics, aSender);
    return;
  }
  auto& seen = m_seen[aType];
  const auto tree = TreeOf(*message);
  const auto treeKey = tree.seed + ' ' + tree.root + (tree.mirrored ? "'" : "");
  if (seen.relayed.RecordIfNew(treeKey, message->incarnation,
                               message->sequence)) {
    m_fanOut.SendToChildren(tree, aType, aEnvelope);
  }
  if (message->origin != m_members.Self().address &&
      seen.delivered.RecordIfNew(message->origin, message->incarnation,
                                 message->sequence)) {
    aHandler(aSender, message->body);
  }
}

} // namespace bramleylock::peer
