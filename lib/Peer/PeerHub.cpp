// One task for each peer link, in each direction.

#include "bramleylock/Peer/PeerHub.h"

#include "bramleylock/Support/Log.h"

namespace bramleylock::peer {

/// Messages that wait for one link before new ones are dropped.
static constexpr std::size_t kQueueBytes = 8U << 20;

/// Bodies of queued messages that go out in one write; a longer message goes
/// out alone.
static constexpr std::size_t kBatchBytes = 64U << 10;

/// How long an unacknowledged message may wait before the link is silent.
static constexpr Milliseconds kSilence{ 1500 };

/// An outgoing link without messages for this long is closed.
static constexpr Milliseconds kIdle{ 30000 };

/// Outgoing links before the least used one is closed for a new one.
static constexpr std::size_t kOutgoingLimit = 1024;

/// After a failed connect, messages to the address are dropped this long.
static constexpr Milliseconds kHoldOff{ 200 };

struct PeerHub::Outgoing
{
  explicit Outgoing(asio::io_context& aContext)
    : wake(aContext)
    , owing(aContext)
  {
  }

  /// Takes the oldest queued messages, as many as go out in one write. The
  /// queue must not be empty.
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
             bytes + queue.front().body.size() <= kBatchBytes);
    queuedBytes -= bytes;
    return batch;
  }

  std::deque<Envelope> queue;
  std::size_t queuedBytes = 0;
  ConditionVariable wake;
  std::uint64_t written = 0;
  std::uint64_t acknowledged = 0;
  Clock::time_point oldestUnacknowledged{};
  Clock::time_point lastUse = Clock::now();
  ConditionVariable owing;
  bool linkFailed = false;
  /// Closed to make room as soon as it owes nothing.
  bool evicted = false;
};

PeerHub::PeerHub(asio::io_context& aContext, const Tcp::endpoint& aAddress,
                 const ClusterKey& aKey, Metrics& aMetrics)
  : m_context(aContext)
  , m_acceptor(aContext, aAddress)
  , m_key(aKey)
  , m_metrics(aMetrics)
{
}

auto PeerHub::SetAdvertised(const std::string& aAddress) -> void
{
  m_advertised = aAddress;
}

auto PeerHub::Address() const -> std::string
{
  if (!m_advertised.empty()) {
    return m_advertised;
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

auto PeerHub::HeldOff(const std::string& aAddress) -> bool
{
  const auto found = m_heldOff.find(aAddress);
  if (found == m_heldOff.end()) {
    return false;
  }
  if (Clock::now() < found->second) {
    return true;
  }
  m_heldOff.erase(found);
  return false;
}

auto PeerHub::Fail(const std::string& aAddress) -> void
{
  m_metrics.Add(Counter::PeerUnreachable);
  const auto now = Clock::now();
  std::erase_if(m_heldOff,
                [now](const auto& aEntry) { return aEntry.second < now; });
  m_heldOff[aAddress] = now + kHoldOff;
  if (m_onUnreachable) {
    m_onUnreachable(aAddress);
  }
}

auto PeerHub::CloseLeastUsed() -> void
{
  std::shared_ptr<Outgoing> least;
  for (const auto& [address, outgoing] : m_outgoing) {
    const bool idle = outgoing->queue.empty() && !outgoing->evicted;
    if (idle && (!least || outgoing->lastUse < least->lastUse)) {
      least = outgoing;
    }
  }
  if (least) {
    least->evicted = true;
    least->wake.NotifyAll();
    m_metrics.Add(Counter::PeerLinkEvicted);
  }
}

auto PeerHub::Send(const std::string& aAddress, wire::MessageType aType,
                   std::string aBody) -> bool
{
  if (HeldOff(aAddress)) {
    m_metrics.Add(Counter::PeerSendDropped);
    return false;
  }
  auto& outgoing = m_outgoing[aAddress];
  if (!outgoing) {
    if (m_outgoing.size() > kOutgoingLimit) {
      CloseLeastUsed();
    }
    outgoing = std::make_shared<Outgoing>(m_context);
    Spawn(m_context, "peer-link", RunOutgoing(aAddress, outgoing));
  }
  if (outgoing->queuedBytes + aBody.size() > kQueueBytes) {
    m_metrics.Add(Counter::PeerSendDropped);
    return false;
  }
  outgoing->queuedBytes += aBody.size();
  outgoing->queue.push_back({ aType, std::move(aBody) });
  outgoing->wake.NotifyAll();
  return true;
}

/// Links that open later begin with it.
auto PeerHub::Introduce(const wire::Hello& aSelf) -> void
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

auto PeerHub::OpenLinks() const -> std::size_t
{
  return m_outgoing.size();
}

/// Keeps the byte counts of a link that ends.
auto PeerHub::Count(const std::shared_ptr<SecureLink>& aLink) -> void
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
  // Links leave from the listener's address, by which filters know this VM.
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
  Spawn(m_context, "peer-handshake-guard", GuardHandshake(link, done));
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

auto PeerHub::RunOutgoing(std::string aAddress, std::shared_ptr<Outgoing> aLink)
  -> awaitable<void>
{
  std::error_code error;
  auto link = co_await Connect(aAddress, error);
  if (!error) {
    m_metrics.Add(Counter::PeerLinkOpened);
    m_links.insert(link);
    aLink->written = 1;
    aLink->oldestUnacknowledged = Clock::now();
    Spawn(m_context, "peer-read", ReadAcknowledgements(aLink, link));
    Spawn(m_context, "peer-guard", GuardSilence(aAddress, aLink, link));
    co_await Drain(aLink, link);
    aLink->linkFailed = true;
    aLink->owing.NotifyAll();
    Count(link);
    link->Close();
  }
  if (!aLink->queue.empty() || error) {
    m_metrics.Add(Counter::PeerLinkLost);
    m_metrics.Add(Counter::PeerSendDropped, aLink->queue.size());
  }
  // Queued messages go with the link: their senders repair on their own, and
  // an old heartbeat or packet is worth less than a prompt new link.
  m_outgoing.erase(aAddress);
  if (error) {
    Fail(aAddress);
  }
}

auto PeerHub::Drain(std::shared_ptr<Outgoing> aOutgoing,
                    std::shared_ptr<SecureLink> aLink) -> awaitable<void>
{
  std::error_code error;
  while (!aOutgoing->linkFailed) {
    const auto now = Clock::now();
    const bool owed = aOutgoing->acknowledged < aOutgoing->written;
    if (aOutgoing->queue.empty()) {
      const auto limit = aOutgoing->lastUse + kIdle;
      if (now >= limit || (aOutgoing->evicted && !owed)) {
        co_return;
      }
      co_await aOutgoing->wake.WaitUntil(limit);
      continue;
    }
    const auto messages = aOutgoing->TakeBatch();
    if (!owed) {
      aOutgoing->oldestUnacknowledged = now;
    }
    aOutgoing->written += messages.size();
    aOutgoing->lastUse = now;
    aOutgoing->owing.NotifyAll();
    co_await aLink->Write(messages, error);
    if (error) {
      co_return;
    }
  }
}

/// Closes a link whose peer has stopped acknowledging. This is a task of its
/// own because a write to a stopped peer blocks once the socket is full.
auto PeerHub::GuardSilence(std::string aAddress,
                           std::shared_ptr<Outgoing> aOutgoing,
                           std::shared_ptr<SecureLink> aLink) -> awaitable<void>
{
  while (!aOutgoing->linkFailed) {
    if (aOutgoing->acknowledged >= aOutgoing->written) {
      co_await aOutgoing->owing.Wait();
      continue;
    }
    const auto limit = aOutgoing->oldestUnacknowledged + kSilence;
    const auto now = Clock::now();
    if (now >= limit) {
      m_metrics.Add(Counter::PeerLinkSilent);
      LogWarning("peer-silent", { { "peer", aAddress } });
      aLink->Close();
      Fail(aAddress);
      co_return;
    }
    co_await Sleep(limit - now);
  }
}

auto PeerHub::ReadAcknowledgements(std::shared_ptr<Outgoing> aOutgoing,
                                   std::shared_ptr<SecureLink> aLink)
  -> awaitable<void>
{
  std::error_code error;
  for (;;) {
    const auto message = co_await aLink->Read(error);
    const auto received = wire::UnpackBody<wire::Received>(message.body);
    if (error || !received) {
      break;
    }
    aOutgoing->acknowledged = received->count;
    aOutgoing->oldestUnacknowledged = Clock::now();
    if (aOutgoing->evicted) {
      aOutgoing->wake.NotifyAll();
    }
  }
  aOutgoing->linkFailed = true;
  aOutgoing->wake.NotifyAll();
}

} // namespace bramleylock::peer
