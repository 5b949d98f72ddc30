// Connections between this balancer and its peers.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "bramleylock/Peer/PeerLinks.h"
#include "bramleylock/Peer/SecureLink.h"
#include "bramleylock/Support/Asio.h"
#include "bramleylock/Support/Counters.h"
#include "bramleylock/Wire/Messages.h"

namespace bramleylock::peer {

/// Owns the peer listener and one outgoing link for each peer that this
/// balancer sends to. A link is opened for the first message and carries
/// messages in one direction. The other direction carries only
/// acknowledgements, which distinguish a link to an unresponsive peer from an
/// idle one. Unused links are closed, and the number of links is bounded.
class PeerHub : public PeerLinks
{
public:
  /// Binds the listener to aAddress; with port 0 the kernel chooses a port.
  PeerHub(asio::io_context& aContext, const Tcp::endpoint& aAddress,
          const ClusterKey& aKey, Metrics& aMetrics);

  /// Sets the address at which peers reach the listener, if it differs from the
  /// bound one.
  auto SetAdvertisedAddress(const std::string& aAddress) -> void;

  /// "ip:port" at which peers reach the listener.
  auto Address() const -> std::string;

  /// Starts accepting links. aSelf is sent as the first message on every
  /// outgoing link.
  auto Start(const wire::Hello& aSelf) -> void;

  auto On(wire::MessageType aType, MessageHandler aHandler) -> void override;
  auto Send(const std::string& aAddress, wire::MessageType aType,
            std::string aBody) -> bool override;
  auto UpdateIdentity(const wire::Hello& aSelf) -> void override;
  auto OnUnreachable(std::function<void(const std::string& aAddress)> aListener)
    -> void override;

  /// Sets the handler for requests from balancers that have no cluster key
  /// (called questions in logs and metrics). An empty answer refuses the
  /// request.
  using KeylessRequestHandler = std::function<std::string(const std::string&)>;
  auto OnKeylessRequest(KeylessRequestHandler aHandler) -> void;

  /// Bytes sent and received on peer links since the start.
  auto BytesSent() const -> std::uint64_t;
  auto BytesReceived() const -> std::uint64_t;

  /// Number of outgoing links that are open or being opened.
  auto OutgoingLinkCount() const -> std::size_t;

private:
  struct OutgoingLink;
  struct IncomingLink;

  /// Time limit for connecting, and again for the handshake.
  static constexpr Milliseconds kConnectTimeout{ 1000 };

  auto AcceptLoop() -> awaitable<void>;
  auto ServeIncoming(Tcp::socket aSocket) -> awaitable<void>;
  auto AnswerKeylessRequest(std::shared_ptr<SecureLink> aLink)
    -> awaitable<void>;
  static auto CloseUnlessDone(std::shared_ptr<SecureLink> aLink,
                              std::shared_ptr<bool> aDone) -> awaitable<void>;
  auto ReadIncoming(std::shared_ptr<SecureLink> aLink,
                    std::shared_ptr<IncomingLink> aIncoming,
                    std::error_code& aError) -> awaitable<void>;
  auto AcknowledgeLoop(std::shared_ptr<SecureLink> aLink,
                       std::shared_ptr<IncomingLink> aIncoming)
    -> awaitable<void>;
  auto RunOutgoingLink(std::string aAddress,
                       std::shared_ptr<OutgoingLink> aOutgoing)
    -> awaitable<void>;
  auto Connect(const std::string& aAddress, std::error_code& aError)
    -> awaitable<std::shared_ptr<SecureLink>>;
  auto SendQueued(std::shared_ptr<OutgoingLink> aOutgoing,
                  std::shared_ptr<SecureLink> aLink) -> awaitable<void>;
  auto CloseIfUnacknowledged(std::string aAddress,
                             std::shared_ptr<OutgoingLink> aOutgoing,
                             std::shared_ptr<SecureLink> aLink)
    -> awaitable<void>;
  auto ReadAcknowledgements(std::shared_ptr<OutgoingLink> aOutgoing,
                            std::shared_ptr<SecureLink> aLink)
    -> awaitable<void>;
  auto ReportUnreachable(const std::string& aAddress) -> void;
  auto IsHeldOff(const std::string& aAddress) -> bool;
  auto EvictLeastRecentlyUsed() -> void;
  auto RetireLink(const std::shared_ptr<SecureLink>& aLink) -> void;

  asio::io_context& m_context;
  Tcp::acceptor m_acceptor;
  ClusterKey m_key;
  Metrics& m_metrics;
  wire::Hello m_self;
  std::map<wire::MessageType, MessageHandler> m_handlers;
  std::map<std::string, std::shared_ptr<OutgoingLink>> m_outgoing;
  std::map<std::string, Clock::time_point> m_holdOffUntil;
  std::function<void(const std::string&)> m_onUnreachable;
  KeylessRequestHandler m_onKeylessRequest;
  int m_keylessRequestsInProgress = 0;
  std::string m_advertisedAddress;
  std::set<std::shared_ptr<SecureLink>> m_links;
  std::uint64_t m_bytesSent = 0;
  std::uint64_t m_bytesReceived = 0;
};

} // namespace bramleylock::peer
