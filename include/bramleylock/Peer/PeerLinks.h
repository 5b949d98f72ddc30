// Interface for sending messages to other balancers and receiving theirs.
#pragma once

#include <functional>
#include <string>

#include "bramleylock/Wire/Messages.h"

namespace bramleylock::peer {

/// Handles one message. aSender is what the sender claims about itself; only
/// possession of the cluster key is authenticated.
using MessageHandler =
  std::function<void(const wire::Hello& aSender, const std::string& aBody)>;

/// Sends and receives messages. Peers are identified by the addresses of their
/// listeners.
class PeerLinks
{
public:
  virtual ~PeerLinks() = default;

  /// Sets the handler for aType, replacing any earlier one.
  virtual auto On(wire::MessageType aType, MessageHandler aHandler) -> void = 0;

  /// Queues a message for the peer at aAddress. Returns false when the message
  /// was dropped immediately; a queued message is lost if the link fails.
  virtual auto Send(const std::string& aAddress, wire::MessageType aType,
                    std::string aBody) -> bool = 0;

  /// Sets this balancer's identity and sends it to the peers on all open links.
  virtual auto UpdateIdentity(const wire::Hello& aSelf) -> void = 0;

  /// Sets the listener that is called with the address of a peer when no link
  /// to it could be opened or the peer stopped acknowledging.
  virtual auto OnUnreachable(
    std::function<void(const std::string& aAddress)> aListener) -> void = 0;

  template<typename Message>
  auto SendMessage(const std::string& aAddress, wire::MessageType aType,
                   const Message& aMessage) -> bool
  {
    return Send(aAddress, aType, wire::PackBody(aMessage));
  }
};

} // namespace bramleylock::peer
