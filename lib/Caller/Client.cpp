// Sending and resending of requests, and reassembly of answers.

#include "bramleylock/Caller/Client.h"

#include "bramleylock/Support/Log.h"

#include <algorithm>

namespace bramleylock::caller {

using wire::PacketType;
using wire::Reason;

static constexpr Milliseconds kInitialResendInterval{ 100 };
static constexpr Milliseconds kMaxResendInterval{ 500 };

/// Interval at which a request is resent after the owner has accepted it. The
/// resent request detects a failed owner.
static constexpr Milliseconds kAcceptedResendInterval{ 500 };

/// Number of received parts after which an acknowledgement is sent.
static constexpr std::uint32_t kPartsPerAcknowledgement = 8;

/// Time without a new part of an incomplete answer after which the missing
/// parts are requested.
static constexpr Milliseconds kMissingPartTimeout{ 100 };

/// Time without a new part of an incomplete answer after which the request
/// itself is resent, so that another balancer can continue it. A different
/// owner is accepted only after this time without a packet from the current
/// one.
static constexpr Milliseconds kOwnerSilenceTimeout{ 600 };

/// Time without a packet from the owner after which the owner may have failed.
/// A new request is then sent without a token, because it reaches a live owner,
/// while a request with the token of a failed owner is lost.
static constexpr Milliseconds kTokenReuseLimit{ 1000 };

/// Minimum interval between cancellations sent in response to stray answers.
static constexpr Milliseconds kMinCancelInterval{ 20 };

static constexpr std::size_t kMaxMissingPerAcknowledgement = 60;

/// Maximum number of parts of an answer, about 1 GB.
static constexpr std::uint32_t kMaxParts = 1000000;
static constexpr int kSocketBufferBytes = 8 << 20;

struct Flow::PendingCall
{
  explicit PendingCall(asio::io_context& aContext)
    : stateChanged(aContext)
  {
  }

  CallOptions options;
  std::uint32_t sequence = 0;
  Clock::time_point deadline{};
  ConditionVariable stateChanged;
  CallResult result;
  bool done = false;
  bool acceptedReceived = false;
  bool openedReceived = false;
  /// Token that identifies the owner of this request; empty until it is known.
  std::string token;
  /// Whether a copy was sent with a token. The owner may have run that copy.
  bool sentWithToken = false;
  Clock::time_point lastOwnerPacketAt{};
  std::uint64_t answerTag = 0;
  /// Whether the part with this index has been received.
  std::vector<bool> isPartReceived;
  std::uint32_t receivedCount = 0;
  std::uint32_t firstMissing = 0;
  std::uint32_t receivedEnd = 0;
  std::uint32_t totalParts = 0;
  std::uint32_t partsSinceAcknowledgement = 0;
  Clock::time_point lastPartAt{};
  Clock::time_point nextResendAt{};
  Milliseconds resendInterval = kInitialResendInterval;
};

Flow::Flow(Client& aClient, std::string aService, std::string aCredential)
  : m_client(aClient)
  , m_service(std::move(aService))
  , m_credential(std::move(aCredential))
  , m_id(SecureRandomNumber())
{
  m_client.m_flows[m_id] = this;
}

Flow::~Flow()
{
  if (!m_token.empty()) {
    m_client.Send(MakePacket(PacketType::Close, 0, m_token));
  }
  m_client.m_flows.erase(m_id);
}

auto Flow::Id() const -> std::uint64_t
{
  return m_id;
}

auto Flow::MakePacket(PacketType aType, std::uint32_t aSequence,
                      const std::string& aToken) const -> wire::Packet
{
  wire::Packet packet;
  packet.type = aType;
  packet.service = m_service;
  packet.flow = m_id;
  packet.sequence = aSequence;
  packet.token = aToken;
  return packet;
}

auto Flow::SendRequest(PendingCall& aCall) -> void
{
  const auto remaining =
    std::chrono::duration_cast<Milliseconds>(aCall.deadline - Clock::now());
  auto packet = MakePacket(PacketType::Request, aCall.sequence, aCall.token);
  packet.credential = m_credential;
  packet.work = aCall.options.work;
  packet.payload = aCall.options.payload;
  packet.part = aCall.firstMissing;
  packet.answerTag = aCall.answerTag;
  packet.deadlineMs =
    static_cast<std::uint32_t>(std::max<std::int64_t>(1, remaining.count()));
  aCall.sentWithToken |= !aCall.token.empty();
  ++aCall.result.sends;
  m_client.Send(packet);
}

auto Flow::SendAcknowledgement(PendingCall& aCall) -> void
{
  auto packet =
    MakePacket(PacketType::Acknowledge, aCall.sequence, aCall.token);
  packet.part = aCall.firstMissing;
  for (auto part = aCall.firstMissing;
       part < aCall.receivedEnd &&
       packet.missing.size() < kMaxMissingPerAcknowledgement;
       ++part) {
    if (!aCall.isPartReceived[part]) {
      packet.missing.push_back(part);
    }
  }
  aCall.partsSinceAcknowledgement = 0;
  m_client.Send(packet);
}

auto Flow::Call(CallOptions aOptions) -> awaitable<CallResult>
{
  auto call = std::make_shared<PendingCall>(m_client.m_context);
  const auto startedAt = Clock::now();
  call->options = std::move(aOptions);
  call->sequence = m_nextSequence++;
  call->deadline = startedAt + call->options.deadline;
  if (startedAt - m_lastOwnerPacketAt < kTokenReuseLimit) {
    call->token = m_token;
  }
  m_pendingCalls[call->sequence] = call;
  SendRequest(*call);
  call->nextResendAt = startedAt + kInitialResendInterval;
  while (!call->done) {
    const auto now = Clock::now();
    if (now >= call->deadline) {
      // No final result was received; the request may have run.
      call->result.outcome = CallOutcome::Unknown;
      call->result.reason = Reason::Deadline;
      m_client.Send(
        MakePacket(PacketType::Cancel, call->sequence, call->token));
      break;
    }
    if (call->openedReceived) {
      call->openedReceived = false;
      SendRequest(*call);
    } else if (call->receivedCount > 0 &&
               now - call->lastPartAt > kMissingPartTimeout) {
      if (now - call->lastPartAt > kOwnerSilenceTimeout &&
          now >= call->nextResendAt) {
        call->nextResendAt = now + kOwnerSilenceTimeout;
        SendRequest(*call);
      } else {
        SendAcknowledgement(*call);
      }
    } else if (call->receivedCount == 0 && now >= call->nextResendAt) {
      SendRequest(*call);
      call->resendInterval =
        std::min(call->resendInterval * 2, kMaxResendInterval);
      call->nextResendAt =
        now + (call->acceptedReceived ? kAcceptedResendInterval
                                      : call->resendInterval);
    }
    const auto nextWakeAt =
      call->receivedCount > 0 ? now + kMissingPartTimeout : call->nextResendAt;
    co_await call->stateChanged.WaitUntil(std::min(nextWakeAt, call->deadline));
  }
  m_pendingCalls.erase(call->sequence);
  call->result.token = call->token;
  call->result.latency = Clock::now() - startedAt;
  co_return std::move(call->result);
}

auto Flow::Cancel() -> void
{
  for (auto& [sequence, call] : m_pendingCalls) {
    m_client.Send(MakePacket(PacketType::Cancel, sequence, call->token));
    call->result.outcome = CallOutcome::Unknown;
    call->result.reason = Reason::Cancelled;
    call->done = true;
    call->stateChanged.NotifyAll();
  }
}

auto Flow::Receive(wire::Packet& aPacket) -> void
{
  if (aPacket.type == PacketType::Moved) {
    // Requests in progress keep the token with which they were sent.
    m_token = aPacket.token;
    return;
  }
  const auto found = m_pendingCalls.find(aPacket.sequence);
  if (found == m_pendingCalls.end() || found->second->done) {
    m_client.HandleStrayPacket(aPacket);
    return;
  }
  auto& call = *found->second;
  if (!AcceptOwner(call, aPacket)) {
    return;
  }
  switch (aPacket.type) {
    case PacketType::Answer:
      ReceivePart(call, aPacket);
      return;
    case PacketType::Opened:
      call.openedReceived = true;
      break;
    case PacketType::Accepted:
      call.acceptedReceived = true;
      break;
    case PacketType::NotRun:
    case PacketType::Refused:
    case PacketType::Unknown:
      ReceiveFailure(call, aPacket);
      break;
    default:
      ++m_client.m_strayPackets;
      return;
  }
  call.stateChanged.NotifyAll();
}

auto Flow::ReceiveFailure(PendingCall& aCall, const wire::Packet& aPacket)
  -> void
{
  if (aPacket.type != PacketType::Unknown && aPacket.token.empty() &&
      aCall.sentWithToken) {
    // The refusal concerns a copy that was sent without a token. The owner has
    // another copy, whose result the refusing balancer does not know.
    ++m_client.m_strayPackets;
    return;
  }
  static constexpr std::array<std::pair<PacketType, CallOutcome>, 3> kOutcomes{
    { { PacketType::NotRun, CallOutcome::NotRun },
      { PacketType::Refused, CallOutcome::Refused },
      { PacketType::Unknown, CallOutcome::Unknown } }
  };
  for (const auto& [type, outcome] : kOutcomes) {
    if (type == aPacket.type) {
      aCall.result.outcome = outcome;
    }
  }
  aCall.result.reason = static_cast<Reason>(aPacket.code);
  aCall.result.retryAfterMs = aPacket.retryAfterMs;
  aCall.done = true;
  if (aPacket.type == PacketType::Unknown && m_token == aCall.token) {
    // The owner has failed or dropped the state of the flow. The next request
    // opens the flow again, with an unused sequence number.
    m_token.clear();
  }
}

/// Checks whether aPacket comes from the owner of the request, and adopts the
/// token of a new owner. Two copies of the first packet of a flow can reach two
/// balancers, so that both become owners. The client keeps the owner it hears
/// first while that owner responds, and cancels the request at the other. An
/// at-most-once request never changes its owner: "opened" is accepted only for
/// a request without an owner.
auto Flow::AcceptOwner(PendingCall& aCall, const wire::Packet& aPacket) -> bool
{
  if (aPacket.token.empty()) {
    return true;
  }
  const auto now = Clock::now();
  if (aPacket.token == aCall.token) {
    aCall.lastOwnerPacketAt = now;
    m_lastOwnerPacketAt = now;
    return true;
  }
  const bool isOtherOwner = !aCall.token.empty();
  if (isOtherOwner && aPacket.type == PacketType::Opened) {
    ++m_client.m_strayPackets;
    return false;
  }
  if (isOtherOwner && aPacket.type != PacketType::Answer &&
      aPacket.code == static_cast<std::uint32_t>(Reason::Cancelled)) {
    // The response of an owner whose request was cancelled. The current owner
    // is still processing the request.
    ++m_client.m_strayPackets;
    return false;
  }
  if (isOtherOwner && now - aCall.lastOwnerPacketAt < kOwnerSilenceTimeout) {
    ++m_client.m_strayPackets;
    m_client.Send(
      MakePacket(PacketType::Cancel, aPacket.sequence, aPacket.token));
    return false;
  }
  aCall.token = aPacket.token;
  aCall.lastOwnerPacketAt = now;
  m_token = aPacket.token;
  m_lastOwnerPacketAt = now;
  return true;
}

auto Flow::ReceivePart(PendingCall& aCall, wire::Packet& aPacket) -> void
{
  if (aPacket.part >= kMaxParts || aPacket.parts > kMaxParts) {
    ++m_client.m_strayPackets;
    return;
  }
  if (aCall.receivedCount > 0 && aPacket.answerTag != aCall.answerTag) {
    // The answer of another execution of the request, with different content.
    // Parts of different answers are never mixed.
    aCall.isPartReceived.clear();
    aCall.receivedCount = 0;
    aCall.firstMissing = 0;
    aCall.receivedEnd = 0;
    aCall.totalParts = 0;
    aCall.result.body.clear();
  }
  aCall.answerTag = aPacket.answerTag;
  const auto index = aPacket.part;
  if (aPacket.parts > 0) {
    aCall.totalParts = aPacket.parts;
  }
  if (index >= aCall.isPartReceived.size()) {
    aCall.isPartReceived.resize(index + 1);
  }
  aCall.lastPartAt = Clock::now();
  if (aCall.isPartReceived[index]) {
    ++aCall.partsSinceAcknowledgement;
  } else {
    aCall.isPartReceived[index] = true;
    ++aCall.receivedCount;
    ++aCall.partsSinceAcknowledgement;
    const auto begin = std::size_t{ index } * wire::kPartPayloadBytes;
    auto& body = aCall.result.body;
    if (body.size() < begin + aPacket.payload.size()) {
      body.resize(begin + aPacket.payload.size());
    }
    std::copy(aPacket.payload.begin(), aPacket.payload.end(),
              body.begin() + static_cast<std::ptrdiff_t>(begin));
  }
  aCall.receivedEnd = std::max(aCall.receivedEnd, index + 1);
  while (aCall.firstMissing < aCall.isPartReceived.size() &&
         aCall.isPartReceived[aCall.firstMissing]) {
    ++aCall.firstMissing;
  }
  const bool complete =
    aCall.totalParts > 0 && aCall.firstMissing >= aCall.totalParts;
  if (complete) {
    aCall.result.outcome = CallOutcome::Answered;
    aCall.result.status = aPacket.code;
    aCall.done = true;
    if (aCall.totalParts > 1) {
      SendAcknowledgement(aCall);
    }
    aCall.stateChanged.NotifyAll();
    return;
  }
  if (aCall.partsSinceAcknowledgement >= kPartsPerAcknowledgement) {
    SendAcknowledgement(aCall);
  }
}

Client::Client(asio::io_context& aContext, const Udp::endpoint& aServer)
  : m_context(aContext)
  , m_socket(aContext,
             Udp::endpoint(aServer.address().is_v4()
                             ? asio::ip::address(asio::ip::address_v4::any())
                             : asio::ip::address(asio::ip::address_v6::any()),
                           0))
  , m_server(aServer)
{
  boost::system::error_code ignored;
  m_socket.set_option(
    asio::socket_base::receive_buffer_size(kSocketBufferBytes), ignored);
  m_socket.set_option(asio::socket_base::send_buffer_size(kSocketBufferBytes),
                      ignored);
  m_socket.non_blocking(true, ignored);
  Spawn(m_context, "caller-receive", ReceiveLoop());
}

auto Client::Close() -> void
{
  boost::system::error_code ignored;
  m_socket.close(ignored);
}

auto Client::StrayPackets() const -> std::uint64_t
{
  return m_strayPackets;
}

auto Client::Send(const wire::Packet& aPacket) -> void
{
  boost::system::error_code ignored;
  // If the socket buffer is full, the packet is lost, as it can be in the
  // network; resending covers both.
  m_socket.send_to(asio::buffer(wire::Encode(aPacket)), m_server, 0, ignored);
}

/// Counts a packet that no call waits for. Unless it is an answer of a single
/// part, an answer means that the owner has not received the packet that
/// cancelled or ended the request, so that a cancellation is sent.
auto Client::HandleStrayPacket(const wire::Packet& aPacket) -> void
{
  ++m_strayPackets;
  const auto now = Clock::now();
  if (aPacket.type != PacketType::Answer || aPacket.parts == 1 ||
      now - m_lastStrayCancelAt < kMinCancelInterval) {
    return;
  }
  m_lastStrayCancelAt = now;
  wire::Packet packet;
  packet.type = PacketType::Cancel;
  packet.flow = aPacket.flow;
  packet.sequence = aPacket.sequence;
  packet.token = aPacket.token;
  Send(packet);
}

auto Client::ReceiveLoop() -> awaitable<void>
{
  std::array<char, wire::kMaxPacketBytes + 1> buffer{};
  while (m_socket.is_open()) {
    Udp::endpoint from;
    boost::system::error_code failure;
    const auto size = co_await m_socket.async_receive_from(
      asio::buffer(buffer), from, RedirectError(failure));
    if (failure == asio::error::operation_aborted) {
      co_return;
    }
    if (failure) {
      continue;
    }
    std::error_code error;
    auto packet = wire::Decode(buffer.data(), size, error);
    const auto flow = m_flows.find(packet.flow);
    if (error) {
      ++m_strayPackets;
      continue;
    }
    if (flow == m_flows.end()) {
      HandleStrayPacket(packet);
      continue;
    }
    flow->second->Receive(packet);
  }
}

} // namespace bramleylock::caller
