// The accepting side of peer links, with one task for each link, and questions
// of balancers that have no cluster key yet.

#include "bramleylock/Peer/PeerHub.h"

#include "bramleylock/Support/Log.h"

namespace bramleylock::peer {

/// How often the accepting end acknowledges.
static constexpr Milliseconds kAcknowledgeEvery{ 200 };

/// An incoming link without messages for this long is closed: its other end is
/// gone, or it would have closed it.
static constexpr Milliseconds kIncomingIdle{ 60000 };

/// Pause after a failed accept, as when descriptors have run out.
static constexpr Milliseconds kAcceptRetry{ 100 };

/// Questions that are answered at the same time: a herd of balancers that start
/// must not take the memory of one that serves.
static constexpr int kQuestionsAtOnce = 4;

struct PeerHub::Incoming
{
  explicit Incoming(asio::io_context& aContext)
    : read(aContext)
  {
  }

  ConditionVariable read;
  std::uint64_t count = 0;
  Clock::time_point lastRead = Clock::now();
  bool closed = false;
};

/// Closes aLink unless aDone is set within kConnectTimeout.
auto PeerHub::GuardHandshake(std::shared_ptr<SecureLink> aLink,
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
      co_await Sleep(kAcceptRetry);
      continue;
    }
    Spawn(m_context, "peer-incoming", ServeIncoming(std::move(socket)));
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
  if (error == LinkError::Question) {
    co_await AnswerQuestion(link);
    co_return;
  }
  if (error) {
    m_metrics.Add(Counter::PeerAuthFailed);
    LogWarning("peer-rejected", { { "why", error.message() } });
    co_return;
  }
  auto incoming = std::make_shared<Incoming>(m_context);
  m_links.insert(link);
  Spawn(m_context, "peer-acknowledge", AcknowledgeLoop(link, incoming));
  co_await ReadIncoming(link, incoming, error);
  if (error == LinkError::Malformed || error == LinkError::Oversized) {
    m_metrics.Add(Counter::PeerFrameMalformed);
  }
  if (error == LinkError::Authentication) {
    m_metrics.Add(Counter::PeerAuthFailed);
  }
  Count(link);
  link->Close();
  incoming->closed = true;
  incoming->read.NotifyAll();
}

auto PeerHub::ReadIncoming(std::shared_ptr<SecureLink> aLink,
                           std::shared_ptr<Incoming> aIncoming,
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
    aIncoming->read.NotifyAll();
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
      // A newer version has messages that this one does not know; the others on
      // the link are as good as before.
      m_metrics.Add(Counter::PeerTypeUnknown);
      continue;
    }
    handler->second(sender, message.body);
  }
}

/// Acknowledges while messages come, and closes a link on which none do.
auto PeerHub::AcknowledgeLoop(std::shared_ptr<SecureLink> aLink,
                              std::shared_ptr<Incoming> aIncoming)
  -> awaitable<void>
{
  std::uint64_t sent = 0;
  std::error_code error;
  while (!error && !aIncoming->closed) {
    if (aIncoming->count == sent) {
      const auto limit = aIncoming->lastRead + kIncomingIdle;
      if (Clock::now() >= limit) {
        aLink->Close();
        co_return;
      }
      co_await aIncoming->read.WaitUntil(limit);
      continue;
    }
    co_await Sleep(kAcknowledgeEvery);
    sent = aIncoming->count;
    const std::vector<Envelope> messages{
      { wire::MessageType::Received, wire::PackBody(wire::Received{ sent }) }
    };
    co_await aLink->Write(messages, error);
  }
}

auto PeerHub::OnQuestion(QuestionHandler aHandler) -> void
{
  m_onQuestion = std::move(aHandler);
}

/// Closing without an answer tells the other end to ask somebody else.
auto PeerHub::AnswerQuestion(std::shared_ptr<SecureLink> aLink)
  -> awaitable<void>
{
  const auto question = aLink->TakeQuestion();
  std::string answer;
  if (m_onQuestion && m_questionsNow < kQuestionsAtOnce) {
    answer = m_onQuestion(question);
  }
  if (answer.empty()) {
    m_metrics.Add(Counter::PeerQuestionRefused);
    aLink->Close();
    co_return;
  }
  ++m_questionsNow;
  auto done = std::make_shared<bool>(false);
  Spawn(m_context, "peer-question-guard", GuardHandshake(aLink, done));
  std::error_code error;
  co_await aLink->AnswerQuestion(answer, error);
  *done = true;
  --m_questionsNow;
  m_bytesSent += aLink->BytesSent();
  aLink->Close();
  m_metrics.Add(error ? Counter::PeerQuestionRefused
                      : Counter::PeerQuestionAnswered);
  if (error) {
    LogWarning("peer-question-failed", { { "why", error.message() } });
  }
}

} // namespace bramleylock::peer
