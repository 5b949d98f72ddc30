// The accepting side of peer links, with one task for each link, and requests
// from balancers that have no cluster key yet.

#include "bramleylock/Peer/PeerHub.h"

#include "bramleylock/Support/Log.h"

namespace bramleylock::peer {

/// Delay by which the accepting end collects messages for one acknowledgement.
static constexpr Milliseconds kAcknowledgementDelay{ 200 };

/// An incoming link is closed after this long without messages. Its other end
/// has failed, as it would otherwise have closed the link after
/// kOutgoingIdleTimeout.
static constexpr Milliseconds kIncomingIdleTimeout{ 60000 };

/// Delay after a failed accept, for example when file descriptors are
/// exhausted.
static constexpr Milliseconds kAcceptRetryDelay{ 100 };

/// The most requests without a cluster key that are answered at the same time.
/// Many balancers that start at once must not exhaust the memory of one that
/// serves requests.
static constexpr int kMaxConcurrentKeylessRequests = 4;

struct PeerHub::IncomingLink
{
  explicit IncomingLink(asio::io_context& aContext)
    : messageRead(aContext)
  {
  }

  ConditionVariable messageRead;
  std::uint64_t count = 0;
  Clock::time_point lastRead = Clock::now();
  bool closed = false;
};

/// Closes aLink unless aDone is set within kConnectTimeout.
auto PeerHub::CloseUnlessDone(std::shared_ptr<SecureLink> aLink,
                              std::shared_ptr<bool> aDone) -> awaitable<void>
{
  co_await Sleep(kConnectTimeout);
  if (!*aDone) {
    aLink->Close();
  }
}

auto PeerHub::AcceptLoop() -> awaitable<void>
{
  for (;;) {
    boost::system::error_code failure;
    auto socket = co_await m_acceptor.async_accept(RedirectError(failure));
    if (failure == asio::error::operation_aborted) {
      co_return;
    }
    if (failure) {
      LogWarning("peer-accept-failed", { { "why", failure.message() } });
      co_await Sleep(kAcceptRetryDelay);
      continue;
    }
    Spawn(m_context, "peer-incoming", ServeIncoming(std::move(socket)));
  }
}

auto PeerHub::ServeIncoming(Tcp::socket aSocket) -> awaitable<void>
{
  auto link = std::make_shared<SecureLink>(std::move(aSocket));
  auto done = std::make_shared<bool>(false);
  Spawn(m_context, "peer-handshake-guard", CloseUnlessDone(link, done));
  std::error_code error;
  co_await link->Handshake(m_key, false, error);
  *done = true;
  if (error == LinkError::KeylessRequest) {
    co_await AnswerKeylessRequest(link);
    co_return;
  }
  if (error) {
    m_metrics.Add(Counter::PeerAuthFailed);
    LogWarning("peer-rejected", { { "why", error.message() } });
    co_return;
  }
  auto incoming = std::make_shared<IncomingLink>(m_context);
  m_links.insert(link);
  Spawn(m_context, "peer-acknowledge", AcknowledgeLoop(link, incoming));
  co_await ReadIncoming(link, incoming, error);
  if (error == LinkError::Malformed || error == LinkError::Oversized) {
    m_metrics.Add(Counter::PeerFrameMalformed);
  }
  if (error == LinkError::Authentication) {
    m_metrics.Add(Counter::PeerAuthFailed);
  }
  RetireLink(link);
  link->Close();
  incoming->closed = true;
  incoming->messageRead.NotifyAll();
}

auto PeerHub::ReadIncoming(std::shared_ptr<SecureLink> aLink,
                           std::shared_ptr<IncomingLink> aIncoming,
                           std::error_code& aError) -> awaitable<void>
{
  wire::Hello sender;
  for (;;) {
    const auto message = co_await aLink->Read(aError);
    if (aError) {
      co_return;
    }
    ++aIncoming->count;
    aIncoming->lastRead = Clock::now();
    aIncoming->messageRead.NotifyAll();
    if (message.type == wire::MessageType::Hello) {
      auto hello = wire::UnpackBody<wire::Hello>(message.body);
      if (!hello) {
        aError = LinkError::Malformed;
        co_return;
      }
      sender = *hello;
      continue;
    }
    if (sender.vm.empty()) {
      aError = LinkError::Malformed;
      co_return;
    }
    const auto handler = m_handlers.find(message.type);
    if (handler == m_handlers.end()) {
      // A newer version may send message types that this one does not know. The
      // other messages on the link are still valid.
      m_metrics.Add(Counter::PeerTypeUnknown);
      continue;
    }
    handler->second(sender, message.body);
  }
}

/// Acknowledges messages while they arrive, and closes a link that is idle for
/// kIncomingIdleTimeout.
auto PeerHub::AcknowledgeLoop(std::shared_ptr<SecureLink> aLink,
                              std::shared_ptr<IncomingLink> aIncoming)
  -> awaitable<void>
{
  std::uint64_t sent = 0;
  std::error_code error;
  while (!error && !aIncoming->closed) {
    if (aIncoming->count == sent) {
      const auto limit = aIncoming->lastRead + kIncomingIdleTimeout;
      if (Clock::now() >= limit) {
        aLink->Close();
        co_return;
      }
      co_await aIncoming->messageRead.WaitUntil(limit);
      continue;
    }
    co_await Sleep(kAcknowledgementDelay);
    sent = aIncoming->count;
    const std::vector<Envelope> messages{
      { wire::MessageType::Acknowledgement,
        wire::PackBody(wire::Acknowledgement{ sent }) }
    };
    co_await aLink->Write(messages, error);
  }
}

auto PeerHub::OnKeylessRequest(KeylessRequestHandler aHandler) -> void
{
  m_onKeylessRequest = std::move(aHandler);
}

/// Answers a request without a cluster key. If it is refused the link is closed
/// without an answer, which tells the other end to ask another balancer.
auto PeerHub::AnswerKeylessRequest(std::shared_ptr<SecureLink> aLink)
  -> awaitable<void>
{
  const auto request = aLink->TakeKeylessRequest();
  std::string answer;
  if (m_onKeylessRequest &&
      m_keylessRequestsInProgress < kMaxConcurrentKeylessRequests) {
    answer = m_onKeylessRequest(request);
  }
  if (answer.empty()) {
    m_metrics.Add(Counter::PeerQuestionRefused);
    aLink->Close();
    co_return;
  }
  ++m_keylessRequestsInProgress;
  auto done = std::make_shared<bool>(false);
  Spawn(m_context, "peer-question-guard", CloseUnlessDone(aLink, done));
  std::error_code error;
  co_await aLink->AnswerKeylessRequest(answer, error);
  *done = true;
  --m_keylessRequestsInProgress;
  m_bytesSent += aLink->BytesSent();
  aLink->Close();
  m_metrics.Add(error ? Counter::PeerQuestionRefused
                      : Counter::PeerQuestionAnswered);
  if (error) {
    LogWarning("peer-question-failed", { { "why", error.message() } });
  }
}

} // namespace bramleylock::peer
