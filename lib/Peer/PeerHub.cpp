// One task for each peer link, in each direction.

#include "bramleylock/Peer/PeerHub.h"

#include "bramleylock/Support/Log.h"

namespace bramleylock::peer {

/// Messages that wait for one link before new ones are dropped.
static constexpr std::size_t kQueueBytes = 8U << 20;

/// How long connecting and the handshake may take.
static constexpr Milliseconds kConnectTimeout{ 1000 };

/// How long an unacknowledged message may wait before the link is silent.
static constexpr Milliseconds kSilence{ 1500 };

/// How often the accepting end acknowledges.
static constexpr Milliseconds kAcknowledgeEvery{ 200 };

/// An outgoing link without messages for this long is closed.
static constexpr Milliseconds kIdle{ 30000 };

struct PeerHub::Outgoing
{
  explicit Outgoing(asio::io_context& aContext)
    : wake(aContext)
  {
  }

  std::deque<Envelope> queue;
  std::size_t queuedBytes = 0;
  Signal wake;
  std::uint64_t written = 0;
  std::uint64_t acknowledged = 0;
  Clock::time_point oldestUnacknowledged{};
  bool linkFailed = false;
};

PeerHub::PeerHub(asio::io_context& aContext, const Tcp::endpoint& aAddress,
                 const ClusterKey& aKey, Metrics& aMetrics)
  : m_context(aContext)
  , m_acceptor(aContext, aAddress)
  , m_key(aKey)
  , m_metrics(aMetrics)
{
}

auto PeerHub::Address() const -> std::string
{
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

auto PeerHub::Send(const std::string& aAddress, wire::MessageType aType,
                   std::string aBody) -> bool
{
  auto& outgoing = m_outgoing[aAddress];
  if (!outgoing) {
    outgoing = std::make_shared<Outgoing>(m_context);
    Spawn(m_context, "peer-link", RunOutgoing(aAddress, outgoing));
  }
  if (outgoing->queuedBytes + aBody.size() > kQueueBytes) {
    m_metrics.Add(Counter::PeerSendDropped);
    return false;
  }
  outgoing->queuedBytes += aBody.size();
  outgoing->queue.push_back({ aType, std::move(aBody) });
  outgoing->wake.Notify();
  return true;
}

auto PeerHub::BytesSent() const -> std::uint64_t
{
  return m_bytesSent;
}

auto PeerHub::BytesReceived() const -> std::uint64_t
{
  return m_bytesReceived;
}

auto PeerHub::Count(const SecureLink& aLink) -> void
{
  m_bytesSent += aLink.BytesSent();
  m_bytesReceived += aLink.BytesReceived();
}

auto PeerHub::AcceptLoop() -> awaitable<void>
{
  for (;;) {
    boost::system::error_code failure;
    auto socket = co_await m_acceptor.async_accept(Into(failure));
    if (failure == asio::error::operation_aborted) {
      co_return;
    }
    if (failure) {
      co_await Sleep(Milliseconds(10));
      continue;
    }
    Spawn(m_context, "peer-incoming", ServeIncoming(std::move(socket)));
  }
}

/// Closes aLink unless aDone is set within kConnectTimeout.
static auto GuardHandshake(std::shared_ptr<SecureLink> aLink,
                           std::shared_ptr<bool> aDone) -> awaitable<void>
{
  co_await Sleep(kConnectTimeout);
  if (!*aDone) {
    aLink->Close();
  }
}

auto PeerHub::ServeIncoming(Tcp::socket aSocket) -> awaitable<void>
{
  auto link = std::make_shared<SecureLink>(std::move(aSocket));
  auto done = std::make_shared<bool>(false);
  Spawn(m_context, "peer-handshake-guard", GuardHandshake(link, done));
  std::error_code error;
  co_await link->Handshake(m_key, false, error);
  *done = true;
  if (error) {
    m_metrics.Add(Counter::PeerAuthFailed);
    LogWarning("peer-rejected", { { "why", error.message() } });
    co_return;
  }
  auto count = std::make_shared<std::uint64_t>(0);
  Spawn(m_context, "peer-acknowledge", AcknowledgeLoop(link, count));
  wire::Hello sender;
  for (;;) {
    const auto message = co_await link->Read(error);
    if (error) {
      break;
    }
    ++*count;
    if (message.type == wire::MessageType::Hello) {
      auto hello = wire::UnpackBody<wire::Hello>(message.body);
      if (!hello) {
        error = LinkError::Malformed;
        break;
      }
      sender = *hello;
      continue;
    }
    const auto handler = m_handlers.find(message.type);
    if (sender.vm.empty() || handler == m_handlers.end()) {
      error = LinkError::Malformed;
      break;
    }
    handler->second(sender, message.body);
  }
  if (error == LinkError::Malformed || error == LinkError::Oversized) {
    m_metrics.Add(Counter::PeerFrameMalformed);
  }
  if (error == LinkError::Authentication) {
    m_metrics.Add(Counter::PeerAuthFailed);
  }
  Count(*link);
  link->Close();
}

auto PeerHub::AcknowledgeLoop(std::shared_ptr<SecureLink> aLink,
                              std::shared_ptr<std::uint64_t> aCount)
  -> awaitable<void>
{
  std::uint64_t sent = 0;
  std::error_code error;
  while (!error) {
    co_await Sleep(kAcknowledgeEvery);
    if (*aCount == sent) {
      // A closed link is found by its reader; nothing is owed until then.
      if (aLink.use_count() == 1) {
        co_return;
      }
      continue;
    }
    sent = *aCount;
    const Envelope message{ wire::MessageType::Received,
                            wire::PackBody(wire::Received{ sent }) };
    co_await aLink->Write(message, error);
  }
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
  asio::steady_timer timer(m_context);
  timer.expires_after(kConnectTimeout);
  timer.async_wait([&socket](const boost::system::error_code& aCancelled) {
    if (!aCancelled) {
      boost::system::error_code ignored;
      socket.close(ignored);
    }
  });
  co_await socket.async_connect(endpoint, Into(failure));
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
    m_metrics.Add(Counter::PeerAuthFailed);
    co_return nullptr;
  }
  const Envelope hello{ wire::MessageType::Hello, wire::PackBody(m_self) };
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
    aLink->written = 1;
    aLink->oldestUnacknowledged = Clock::now();
    Spawn(m_context, "peer-read", ReadAcknowledgements(aLink, link));
    Spawn(m_context, "peer-guard", GuardSilence(aAddress, aLink, link));
    co_await Drain(aLink, link);
    aLink->linkFailed = true;
    Count(*link);
    link->Close();
  }
  if (!aLink->queue.empty() || error) {
    m_metrics.Add(Counter::PeerLinkLost);
    m_metrics.Add(Counter::PeerSendDropped, aLink->queue.size());
  }
  // Queued messages go with the link: their senders repair on their own, and
  // an old heartbeat or packet is worth less than a prompt new link.
  m_outgoing.erase(aAddress);
}

auto PeerHub::Drain(std::shared_ptr<Outgoing> aOutgoing,
                    std::shared_ptr<SecureLink> aLink) -> awaitable<void>
{
  auto lastUse = Clock::now();
  std::error_code error;
  while (!aOutgoing->linkFailed) {
    const auto now = Clock::now();
    const bool owed = aOutgoing->acknowledged < aOutgoing->written;
    if (aOutgoing->queue.empty()) {
      if (now - lastUse > kIdle) {
        co_return;
      }
      co_await aOutgoing->wake.WaitUntil(now + kAcknowledgeEvery);
      continue;
    }
    const auto message = std::move(aOutgoing->queue.front());
    aOutgoing->queue.pop_front();
    aOutgoing->queuedBytes -= message.body.size();
    if (!owed) {
      aOutgoing->oldestUnacknowledged = now;
    }
    ++aOutgoing->written;
    lastUse = now;
    co_await aLink->Write(message, error);
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
    co_await Sleep(kAcknowledgeEvery);
    const bool owed = aOutgoing->acknowledged < aOutgoing->written;
    if (owed && Clock::now() - aOutgoing->oldestUnacknowledged > kSilence) {
      LogWarning("peer-silent", { { "peer", aAddress } });
      aLink->Close();
      co_return;
    }
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
  }
  aOutgoing->linkFailed = true;
  aOutgoing->wake.Notify();
}

} // namespace bramleylock::peer
