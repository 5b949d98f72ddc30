// How membership and lists reach other balancers.
#pragma once

#include <functional>
#include <string>

#include "bramleylock/Wire/Messages.h"

namespace bramleylock::peer {

/// Handles one message; the identity is the authenticated sender's own word.
using MessageHandler =
  std::function<void(const wire::Hello& aSender, const std::string& aBody)>;

/// Messages to and from peers by the addresses of their listeners.
class PeerLinks
{
public:
  virtual ~PeerLinks() = default;

  /// Sets the handler of aType; there is one for each type.
  virtual auto On(wire::MessageType aType, MessageHandler aHandler) -> void = 0;

  /// Queues a message for the peer at aAddress. It may be lost with the link;
  /// false when it was dropped at once.
  virtual auto Send(const std::string& aAddress, wire::MessageType aType,
                    std::string aBody) -> bool = 0;

  /// Tells the peers on all links who this balancer is from now on.
  virtual auto Introduce(const wire::Hello& aSelf) -> void = 0;

  /// Sets who is told of an address to which no link could be opened, or whose
  /// link went silent.
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
