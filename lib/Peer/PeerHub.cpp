// The connecting side of peer links, with one task for each link.

#include "bramleylock/Peer/PeerHub.h"

#include "bramleylock/Support/Log.h"

namespace bramleylock::peer {

/// Size limit of the queue of a link. Messages beyond it are dropped.
static constexpr std::size_t kMaxQueueBytes = 8U << 20;

/// Size limit of the message bodies in one write. A larger message is written
/// on its own.
static constexpr std::size_t kMaxBatchBytes = 64U << 10;

/// A peer that leaves messages unacknowledged for this long counts as silent,
/// and its link is closed.
static constexpr Milliseconds kAcknowledgementTimeout{ 1500 };

/// An outgoing link is closed after this long without messages.
static constexpr Milliseconds kOutgoingIdleTimeout{ 30000 };

/// Number of outgoing links beyond which the least recently used one is closed
/// when a new one is opened.
static constexpr std::size_t kMaxOutgoingLinks = 1024;

/// How long messages to an address are dropped after its link could not be
/// opened or went silent.
static constexpr Milliseconds kReconnectHoldOff{ 200 };

struct PeerHub::OutgoingLink
{
  explicit OutgoingLink(asio::io_context& aContext)
    : queueChanged(aContext)
    , acknowledgementPending(aContext)
  {
  }

  /// Removes and returns the oldest queued messages, as many as fit in one
  /// write. The queue must not be empty.
  auto TakeBatch() -> std::vector<Envelope>
  {
    assert(!queue.empty());
    std::vector<Envelope> batch;
    std::size_t bytes = 0;
    do {
      bytes += queue.front().body.size();
      batch.push_back(std::move(queue.front()));
      queue.pop_front();
    } while (!queue.empty() &&
             bytes + queue.front().body.size() <= kMaxBatchBytes);
    queuedBytes -= bytes;
    return batch;
  }

  std::deque<Envelope> queue;
  std::size_t queuedBytes = 0;
  ConditionVariable queueChanged;
  std::uint64_t written = 0;
  std::uint64_t acknowledged = 0;
  Clock::time_point oldestUnacknowledged{};
  Clock::time_point lastUse = Clock::now();
  ConditionVariable acknowledgementPending;
  bool linkFailed = false;
  /// Whether the link is to be closed, to make room for another one, as soon as
  /// all its messages are acknowledged.
  bool evicting = false;
};

PeerHub::PeerHub(asio::io_context& aContext, const Tcp::endpoint& aAddress,
                 const ClusterKey& aKey, Metrics& aMetrics)
  : m_context(aContext)
  , m_acceptor(aContext, aAddress)
  , m_key(aKey)
  , m_metrics(aMetrics)
{
}

auto PeerHub::SetAdvertisedAddress(const std::string& aAddress) -> void
{
  m_advertisedAddress = aAddress;
}

auto PeerHub::Address() const -> std::string
{
  if (!m_advertisedAddress.empty()) {
    return m_advertisedAddress;
  }
  const auto endpoint = m_acceptor.local_endpoint();
  return FormatEndpoint(endpoint.address(), endpoint.port());
}

auto PeerHub::Start(const wire::Hello& aSelf) -> void
{
  m_self = aSelf;
  Spawn(m_context, "peer-accept", AcceptLoop());
}

auto PeerHub::On(wire::MessageType aType, MessageHandler aHandler) -> void
{
  m_handlers[aType] = std::move(aHandler);
}

auto PeerHub::OnUnreachable(
  std::function<void(const std::string& aAddress)> aListener) -> void
{
  m_onUnreachable = std::move(aListener);
}

auto PeerHub::IsHeldOff(const std::string& aAddress) -> bool
{
  const auto found = m_holdOffUntil.find(aAddress);
  if (found == m_holdOffUntil.end()) {
    return false;
  }
  if (Clock::now() < found->second) {
    return true;
  }
  m_holdOffUntil.erase(found);
  return false;
}

auto PeerHub::ReportUnreachable(const std::string& aAddress) -> void
{
  m_metrics.Add(Counter::PeerUnreachable);
  const auto now = Clock::now();
  std::erase_if(m_holdOffUntil,
                [now](const auto& aEntry) { return aEntry.second < now; });
  m_holdOffUntil[aAddress] = now + kReconnectHoldOff;
  if (m_onUnreachable) {
    m_onUnreachable(aAddress);
  }
}

auto PeerHub::EvictLeastRecentlyUsed() -> void
{
  std::shared_ptr<OutgoingLink> leastRecentlyUsed;
  for (const auto& [address, outgoing] : m_outgoing) {
    const bool idle = outgoing->queue.empty() && !outgoing->evicting;
    if (idle && (!leastRecentlyUsed ||
                 outgoing->lastUse < leastRecentlyUsed->lastUse)) {
      leastRecentlyUsed = outgoing;
    }
  }
  if (leastRecentlyUsed) {
    leastRecentlyUsed->evicting = true;
    leastRecentlyUsed->queueChanged.NotifyAll();
    m_metrics.Add(Counter::PeerLinkEvicted);
  }
}

auto PeerHub::Send(const std::string& aAddress, wire::MessageType aType,
                   std::string aBody) -> bool
{
  if (IsHeldOff(aAddress)) {
    m_metrics.Add(Counter::PeerSendDropped);
    return false;
  }
  auto& outgoing = m_outgoing[aAddress];
  if (!outgoing) {
    if (m_outgoing.size() > kMaxOutgoingLinks) {
      EvictLeastRecentlyUsed();
    }
    outgoing = std::make_shared<OutgoingLink>(m_context);
    Spawn(m_context, "peer-link", RunOutgoingLink(aAddress, outgoing));
  }
  if (outgoing->queuedBytes + aBody.size() > kMaxQueueBytes) {
    m_metrics.Add(Counter::PeerSendDropped);
    return false;
  }
  outgoing->queuedBytes += aBody.size();
  outgoing->queue.push_back({ aType, std::move(aBody) });
  outgoing->queueChanged.NotifyAll();
  return true;
}

/// Links that are opened later send the new identity as their first message.
auto PeerHub::UpdateIdentity(const wire::Hello& aSelf) -> void
{
  m_self = aSelf;
  std::vector<std::string> addresses;
  for (const auto& [address, outgoing] : m_outgoing) {
    addresses.push_back(address);
  }
  for (const auto& address : addresses) {
    SendMessage(address, wire::MessageType::Hello, aSelf);
  }
}

auto PeerHub::BytesSent() const -> std::uint64_t
{
  auto bytes = m_bytesSent;
  for (const auto& link : m_links) {
    bytes += link->BytesSent();
  }
  return bytes;
}

auto PeerHub::BytesReceived() const -> std::uint64_t
{
  auto bytes = m_bytesReceived;
  for (const auto& link : m_links) {
    bytes += link->BytesReceived();
  }
  return bytes;
}

auto PeerHub::OutgoingLinkCount() const -> std::size_t
{
  return m_outgoing.size();
}

/// Adds the byte counts of a closing link to the totals.
auto PeerHub::RetireLink(const std::shared_ptr<SecureLink>& aLink) -> void
{
  m_bytesSent += aLink->BytesSent();
  m_bytesReceived += aLink->BytesReceived();
  m_links.erase(aLink);
}

auto PeerHub::Connect(const std::string& aAddress, std::error_code& aError)
  -> awaitable<std::shared_ptr<SecureLink>>
{
  const auto endpoint = ParseTcpEndpoint(aAddress, aError);
  if (aError) {
    co_return nullptr;
  }
  Tcp::socket socket(m_context);
  boost::system::error_code failure;
  // Links use the listener's address as their source address, because packet
  // filters identify this VM by it.
  const auto source = m_acceptor.local_endpoint().address();
  socket.open(endpoint.protocol(), failure);
  socket.bind(Tcp::endpoint(source, 0), failure);
  asio::steady_timer timer(m_context);
  timer.expires_after(kConnectTimeout);
  timer.async_wait([&socket](const boost::system::error_code& aCancelled) {
    if (!aCancelled) {
      boost::system::error_code ignored;
      socket.close(ignored);
    }
  });
  co_await socket.async_connect(endpoint, RedirectError(failure));
  timer.cancel();
  if (failure || !socket.is_open()) {
    aError = LinkError::Connect;
    co_return nullptr;
  }
  auto link = std::make_shared<SecureLink>(std::move(socket));
  auto done = std::make_shared<bool>(false);
  Spawn(m_context, "peer-handshake-guard", CloseUnlessDone(link, done));
  co_await link->Handshake(m_key, true, aError);
  *done = true;
  if (aError) {
    if (aError == LinkError::Authentication) {
      m_metrics.Add(Counter::PeerAuthFailed);
    }
    co_return nullptr;
  }
  const std::vector<Envelope> hello{ { wire::MessageType::Hello,
                                       wire::PackBody(m_self) } };
  co_await link->Write(hello, aError);
  co_return link;
}

auto PeerHub::RunOutgoingLink(std::string aAddress,
                              std::shared_ptr<OutgoingLink> aOutgoing)
  -> awaitable<void>
{
  std::error_code error;
  auto link = co_await Connect(aAddress, error);
  if (!error) {
    m_metrics.Add(Counter::PeerLinkOpened);
    m_links.insert(link);
    aOutgoing->written = 1;
    aOutgoing->oldestUnacknowledged = Clock::now();
    Spawn(m_context, "peer-read", ReadAcknowledgements(aOutgoing, link));
    Spawn(m_context, "peer-guard",
          CloseIfUnacknowledged(aAddress, aOutgoing, link));
    co_await SendQueued(aOutgoing, link);
    aOutgoing->linkFailed = true;
    aOutgoing->acknowledgementPending.NotifyAll();
    RetireLink(link);
    link->Close();
  }
  if (!aOutgoing->queue.empty() || error) {
    m_metrics.Add(Counter::PeerLinkLost);
    m_metrics.Add(Counter::PeerSendDropped, aOutgoing->queue.size());
  }
  // Queued messages are dropped with the link: their senders handle the loss,
  // and reconnecting quickly is more valuable than delivering an old heartbeat
  // or packet.
  m_outgoing.erase(aAddress);
  if (error) {
    ReportUnreachable(aAddress);
  }
}

auto PeerHub::SendQueued(std::shared_ptr<OutgoingLink> aOutgoing,
                         std::shared_ptr<SecureLink> aLink) -> awaitable<void>
{
  std::error_code error;
  while (!aOutgoing->linkFailed) {
    const auto now = Clock::now();
    const bool unacknowledged = aOutgoing->acknowledged < aOutgoing->written;
    if (aOutgoing->queue.empty()) {
      const auto limit = aOutgoing->lastUse + kOutgoingIdleTimeout;
      if (now >= limit || (aOutgoing->evicting && !unacknowledged)) {
        co_return;
      }
      co_await aOutgoing->queueChanged.WaitUntil(limit);
      continue;
    }
    const auto messages = aOutgoing->TakeBatch();
    if (!unacknowledged) {
      aOutgoing->oldestUnacknowledged = now;
    }
    aOutgoing->written += messages.size();
    aOutgoing->lastUse = now;
    aOutgoing->acknowledgementPending.NotifyAll();
    co_await aLink->Write(messages, error);
    if (error) {
      co_return;
    }
  }
}

/// Closes a link whose peer has stopped acknowledging. This is a separate task
/// because a write to a stopped peer blocks once the socket buffer is full.
auto PeerHub::CloseIfUnacknowledged(std::string aAddress,
                                    std::shared_ptr<OutgoingLink> aOutgoing,
                                    std::shared_ptr<SecureLink> aLink)
  -> awaitable<void>
{
  while (!aOutgoing->linkFailed) {
    if (aOutgoing->acknowledged >= aOutgoing->written) {
      co_await aOutgoing->acknowledgementPending.Wait();
      continue;
    }
    const auto limit =
      aOutgoing->oldestUnacknowledged + kAcknowledgementTimeout;
    const auto now = Clock::now();
    if (now >= limit) {
      m_metrics.Add(Counter::PeerLinkSilent);
      LogWarning("peer-silent", { { "peer", aAddress } });
      aLink->Close();
      ReportUnreachable(aAddress);
      co_return;
    }
    co_await Sleep(limit - now);
  }
}

auto PeerHub::ReadAcknowledgements(std::shared_ptr<OutgoingLink> aOutgoing,
                                   std::shared_ptr<SecureLink> aLink)
  -> awaitable<void>
{
  std::error_code error;
  for (;;) {
    const auto message = co_await aLink->Read(error);
    const auto received = wire::UnpackBody<wire::Acknowledgement>(message.body);
    if (error || !received) {
      break;
    }
    aOutgoing->acknowledged = received->count;
    aOutgoing->oldestUnacknowledged = Clock::now();
    if (aOutgoing->evicting) {
      aOutgoing->queueChanged.NotifyAll();
    }
  }
  aOutgoing->linkFailed = true;
  aOutgoing->queueChanged.NotifyAll();
}

} // namespace bramleylock::peer
