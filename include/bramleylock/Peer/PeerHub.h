// Links from this balancer to its peers, and the messages on them.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "bramleylock/Peer/SecureLink.h"
#include "bramleylock/Support/Asio.h"
#include "bramleylock/Support/Counters.h"
#include "bramleylock/Wire/Messages.h"

namespace bramleylock::peer {

/// Handles one message; the identity is the authenticated sender's own word.
using MessageHandler =
  std::function<void(const wire::Hello& aSender, const std::string& aBody)>;

/// Owns the peer listener and one outgoing link for each peer that this
/// balancer sends to. A link is opened by the first message and carries
/// messages one way; the other way carries only acknowledgements, which tell
/// a silent link from an idle one.
class PeerHub
{
public:
  /// Binds aAddress; port 0 lets the kernel choose.
  PeerHub(asio::io_context& aContext, const Tcp::endpoint& aAddress,
          const ClusterKey& aKey, Metrics& aMetrics);

  /// "ip:port" of the listener.
  auto Address() const -> std::string;

  /// Starts accepting links; aSelf is sent on every link.
  auto Start(const wire::Hello& aSelf) -> void;

  /// Sets the handler of aType; there is one for each type.
  auto On(wire::MessageType aType, MessageHandler aHandler) -> void;

  /// Queues a message for the peer at aAddress. It may be lost with the link;
  /// false when it was dropped at once because the queue is full.
  auto Send(const std::string& aAddress, wire::MessageType aType,
            std::string aBody) -> bool;

  template<typename Message>
  auto SendMessage(const std::string& aAddress, wire::MessageType aType,
                   const Message& aMessage) -> bool
  {
    return Send(aAddress, aType, wire::PackBody(aMessage));
  }

  /// Bytes on peer links since the start, both directions.
  auto BytesSent() const -> std::uint64_t;
  auto BytesReceived() const -> std::uint64_t;

private:
  struct Outgoing;

  auto AcceptLoop() -> awaitable<void>;
  auto ServeIncoming(Tcp::socket aSocket) -> awaitable<void>;
  auto AcknowledgeLoop(std::shared_ptr<SecureLink> aLink,
                       std::shared_ptr<std::uint64_t> aCount)
    -> awaitable<void>;
  auto RunOutgoing(std::string aAddress, std::shared_ptr<Outgoing> aLink)
    -> awaitable<void>;
  auto Connect(const std::string& aAddress, std::error_code& aError)
    -> awaitable<std::shared_ptr<SecureLink>>;
  auto Drain(std::shared_ptr<Outgoing> aOutgoing,
             std::shared_ptr<SecureLink> aLink) -> awaitable<void>;
  auto GuardSilence(std::string aAddress, std::shared_ptr<Outgoing> aOutgoing,
                    std::shared_ptr<SecureLink> aLink) -> awaitable<void>;
  auto ReadAcknowledgements(std::shared_ptr<Outgoing> aOutgoing,
                            std::shared_ptr<SecureLink> aLink)
    -> awaitable<void>;
  auto Count(const SecureLink& aLink) -> void;

  asio::io_context& m_context;
  Tcp::acceptor m_acceptor;
  ClusterKey m_key;
  Metrics& m_metrics;
  wire::Hello m_self;
  std::map<wire::MessageType, MessageHandler> m_handlers;
  std::map<std::string, std::shared_ptr<Outgoing>> m_outgoing;
  std::uint64_t m_bytesSent = 0;
  std::uint64_t m_bytesReceived = 0;
};

} // namespace bramleylock::peer
