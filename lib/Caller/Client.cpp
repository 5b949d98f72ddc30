// Sending and resending of requests, and reassembly of answers.

#include "bramleylock/Caller/Client.h"

#include "bramleylock/Support/Log.h"

#include <algorithm>

namespace bramleylock::caller {

using wire::PacketType;
using wire::Reason;

static constexpr Milliseconds kFirstResend{ 100 };
static constexpr Milliseconds kLastResend{ 500 };

/// Interval at which a request is resent after the owner has accepted it. The
/// resent request detects a failed owner.
static constexpr Milliseconds kAcceptedResend{ 500 };

/// Number of received parts after which an acknowledgement is sent.
static constexpr std::uint32_t kAcknowledgeEvery = 8;

/// Time without a new part of an incomplete answer after which the missing
/// parts are requested.
static constexpr Milliseconds kPartSilence{ 100 };

/// Time without a new part of an incomplete answer after which the request
/// itself is resent, so that another balancer can continue it.
static constexpr Milliseconds kAnswerSilence{ 600 };

/// Time without a packet from the owner after which the owner may have failed.
/// A new request is then sent without a token, because it reaches a live owner,
/// while a request with the token of a failed owner is lost.
static constexpr Milliseconds kOwnerProven{ 1000 };

/// Minimum interval between cancellations sent in response to stray answers.
static constexpr Milliseconds kCancelSpacing{ 20 };

static constexpr std::size_t kMissingLimit = 60;

/// Maximum number of parts of an answer, about 1 GB.
static constexpr std::uint32_t kPartsLimit = 1000000;
static constexpr int kSocketBufferBytes = 8 << 20;

struct Flow::Pending
{
  explicit Pending(asio::io_context& aContext)
    : changed(aContext)
  {
  }

  CallOptions options;
  std::uint32_t sequence = 0;
  Clock::time_point deadline{};
  Signal changed;
  CallResult result;
  bool done = false;
  bool accepted = false;
  bool opened = false;
  /// Token that identifies the owner of this request; empty until it is known.
  std::string token;
  /// Whether a copy was sent with a token. The owner may have run that copy.
  bool sentWithToken = false;
  Clock::time_point lastHeard{};
  std::uint64_t tag = 0;
  /// Whether the part with this index has been received.
  std::vector<bool> have;
  std::uint32_t received = 0;
  std::uint32_t firstMissing = 0;
  std::uint32_t highest = 0;
  std::uint32_t parts = 0;
  std::uint32_t sinceAcknowledge = 0;
  Clock::time_point lastPart{};
  Clock::time_point nextResend{};
  Milliseconds resendAfter = kFirstResend;
};

Flow::Flow(Client& aClient, std::string aService, std::string aCredential)
  : m_client(aClient)
  , m_service(std::move(aService))
  , m_credential(std::move(aCredential))
  , m_id(SecretNumber())
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

auto Flow::SendRequest(Pending& aPending) -> void
{
  const auto left =
    std::chrono::duration_cast<Milliseconds>(aPending.deadline - Clock::now());
  auto packet =
    MakePacket(PacketType::Request, aPending.sequence, aPending.token);
  packet.credential = m_credential;
  packet.work = aPending.options.work;
  packet.payload = aPending.options.payload;
  packet.part = aPending.firstMissing;
  packet.answerTag = aPending.tag;
  packet.deadlineMs =
    static_cast<std::uint32_t>(std::max<std::int64_t>(1, left.count()));
  aPending.sentWithToken |= !aPending.token.empty();
  ++aPending.result.sends;
  m_client.Send(packet);
}

auto Flow::Acknowledge(Pending& aPending) -> void
{
  auto packet =
    MakePacket(PacketType::Acknowledge, aPending.sequence, aPending.token);
  packet.part = aPending.firstMissing;
  for (auto part = aPending.firstMissing;
       part < aPending.highest && packet.missing.size() < kMissingLimit;
       ++part) {
    if (!aPending.have[part]) {
      packet.missing.push_back(part);
    }
  }
  aPending.sinceAcknowledge = 0;
  m_client.Send(packet);
}

auto Flow::Call(CallOptions aOptions) -> awaitable<CallResult>
{
  auto pending = std::make_shared<Pending>(m_client.m_context);
  const auto started = Clock::now();
  pending->options = std::move(aOptions);
  pending->sequence = m_nextSequence++;
  pending->deadline = started + pending->options.deadline;
  if (started - m_ownerHeard < kOwnerProven) {
    pending->token = m_token;
  }
  m_pending[pending->sequence] = pending;
  SendRequest(*pending);
  pending->nextResend = started + kFirstResend;
  while (!pending->done) {
    const auto now = Clock::now();
    if (now >= pending->deadline) {
      // No final result was received; the request may have run.
      pending->result.outcome = CallOutcome::Unknown;
      pending->result.reason = Reason::Deadline;
      m_client.Send(
        MakePacket(PacketType::Cancel, pending->sequence, pending->token));
      break;
    }
    if (pending->opened) {
      pending->opened = false;
      SendRequest(*pending);
    } else if (pending->received > 0 &&
               now - pending->lastPart > kPartSilence) {
      if (now - pending->lastPart > kAnswerSilence &&
          now >= pending->nextResend) {
        pending->nextResend = now + kAnswerSilence;
        SendRequest(*pending);
      } else {
        Acknowledge(*pending);
      }
    } else if (pending->received == 0 && now >= pending->nextResend) {
      SendRequest(*pending);
      pending->resendAfter = std::min(pending->resendAfter * 2, kLastResend);
      pending->nextResend =
        now + (pending->accepted ? kAcceptedResend : pending->resendAfter);
    }
    const auto tick =
      pending->received > 0 ? now + kPartSilence : pending->nextResend;
    co_await pending->changed.WaitUntil(std::min(tick, pending->deadline));
  }
  m_pending.erase(pending->sequence);
  pending->result.token = pending->token;
  pending->result.latency = Clock::now() - started;
  co_return std::move(pending->result);
}

auto Flow::Cancel() -> void
{
  for (auto& [sequence, pending] : m_pending) {
    m_client.Send(MakePacket(PacketType::Cancel, sequence, pending->token));
    pending->result.outcome = CallOutcome::Unknown;
    pending->result.reason = Reason::Cancelled;
    pending->done = true;
    pending->changed.Notify();
  }
}

auto Flow::Receive(wire::Packet& aPacket) -> void
{
  if (aPacket.type == PacketType::Moved) {
    // Requests in progress keep the token with which they were sent.
    m_token = aPacket.token;
    return;
  }
  const auto found = m_pending.find(aPacket.sequence);
  if (found == m_pending.end() || found->second->done) {
    m_client.DropStray(aPacket);
    return;
  }
  auto& pending = *found->second;
  if (!AdoptToken(pending, aPacket)) {
    return;
  }
  switch (aPacket.type) {
    case PacketType::Answer:
      ReceivePart(pending, aPacket);
      return;
    case PacketType::Opened:
      pending.opened = true;
      break;
    case PacketType::Accepted:
      pending.accepted = true;
      break;
    case PacketType::NotRun:
    case PacketType::Refused:
    case PacketType::Unknown:
      ReceiveRefusal(pending, aPacket);
      break;
    default:
      ++m_client.m_stray;
      return;
  }
  pending.changed.Notify();
}

auto Flow::ReceiveRefusal(Pending& aPending, const wire::Packet& aPacket)
  -> void
{
  if (aPacket.type != PacketType::Unknown && aPacket.token.empty() &&
      aPending.sentWithToken) {
    // The refusal concerns a copy that was sent without a token. The owner has
    // another copy, whose result the refusing balancer does not know.
    ++m_client.m_stray;
    return;
  }
  static constexpr std::array<std::pair<PacketType, CallOutcome>, 3> kOutcomes{
    { { PacketType::NotRun, CallOutcome::NotRun },
      { PacketType::Refused, CallOutcome::Refused },
      { PacketType::Unknown, CallOutcome::Unknown } }
  };
  for (const auto& [type, outcome] : kOutcomes) {
    if (type == aPacket.type) {
      aPending.result.outcome = outcome;
    }
  }
  aPending.result.reason = static_cast<Reason>(aPacket.code);
  aPending.result.retryAfterMs = aPacket.retryAfterMs;
  aPending.done = true;
  if (aPacket.type == PacketType::Unknown && m_token == aPending.token) {
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
auto Flow::AdoptToken(Pending& aPending, const wire::Packet& aPacket) -> bool
{
  if (aPacket.token.empty()) {
    return true;
  }
  const auto now = Clock::now();
  if (aPacket.token == aPending.token) {
    aPending.lastHeard = now;
    m_ownerHeard = now;
    return true;
  }
  const bool other = !aPending.token.empty();
  if (other && aPacket.type == PacketType::Opened) {
    ++m_client.m_stray;
    return false;
  }
  if (other && aPacket.type != PacketType::Answer &&
      aPacket.code == static_cast<std::uint32_t>(Reason::Cancelled)) {
    // The response of an owner whose request was cancelled. The current owner
    // is still processing the request.
    ++m_client.m_stray;
    return false;
  }
  if (other && now - aPending.lastHeard < kAnswerSilence) {
    ++m_client.m_stray;
    m_client.Send(
      MakePacket(PacketType::Cancel, aPacket.sequence, aPacket.token));
    return false;
  }
  aPending.token = aPacket.token;
  aPending.lastHeard = now;
  m_token = aPacket.token;
  m_ownerHeard = now;
  return true;
}

auto Flow::ReceivePart(Pending& aPending, wire::Packet& aPacket) -> void
{
  if (aPacket.part >= kPartsLimit || aPacket.parts > kPartsLimit) {
    ++m_client.m_stray;
    return;
  }
  if (aPending.received > 0 && aPacket.answerTag != aPending.tag) {
    // The answer of another execution of the request, with different content.
    // Parts of different answers are never mixed.
    aPending.have.clear();
    aPending.received = 0;
    aPending.firstMissing = 0;
    aPending.highest = 0;
    aPending.parts = 0;
    aPending.result.body.clear();
  }
  aPending.tag = aPacket.answerTag;
  const auto index = aPacket.part;
  if (aPacket.parts > 0) {
    aPending.parts = aPacket.parts;
  }
  if (index >= aPending.have.size()) {
    aPending.have.resize(index + 1);
  }
  aPending.lastPart = Clock::now();
  if (aPending.have[index]) {
    ++aPending.sinceAcknowledge;
  } else {
    aPending.have[index] = true;
    ++aPending.received;
    ++aPending.sinceAcknowledge;
    const auto begin = std::size_t{ index } * wire::kPartBytes;
    auto& body = aPending.result.body;
    if (body.size() < begin + aPacket.payload.size()) {
      body.resize(begin + aPacket.payload.size());
    }
    std::copy(aPacket.payload.begin(), aPacket.payload.end(),
              body.begin() + static_cast<std::ptrdiff_t>(begin));
  }
  aPending.highest = std::max(aPending.highest, index + 1);
  while (aPending.firstMissing < aPending.have.size() &&
         aPending.have[aPending.firstMissing]) {
    ++aPending.firstMissing;
  }
  const bool whole =
    aPending.parts > 0 && aPending.firstMissing >= aPending.parts;
  if (whole) {
    aPending.result.outcome = CallOutcome::Answered;
    aPending.result.status = aPacket.code;
    aPending.done = true;
    if (aPending.parts > 1) {
      Acknowledge(aPending);
    }
    aPending.changed.Notify();
    return;
  }
  if (aPending.sinceAcknowledge >= kAcknowledgeEvery) {
    Acknowledge(aPending);
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

auto Client::Stray() const -> std::uint64_t
{
  return m_stray;
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
auto Client::DropStray(const wire::Packet& aPacket) -> void
{
  ++m_stray;
  const auto now = Clock::now();
  if (aPacket.type != PacketType::Answer || aPacket.parts == 1 ||
      now - m_lastCancel < kCancelSpacing) {
    return;
  }
  m_lastCancel = now;
  wire::Packet packet;
  packet.type = PacketType::Cancel;
  packet.flow = aPacket.flow;
  packet.sequence = aPacket.sequence;
  packet.token = aPacket.token;
  Send(packet);
}

auto Client::ReceiveLoop() -> awaitable<void>
{
  std::array<char, wire::kPacketBytes + 1> buffer{};
  while (m_socket.is_open()) {
    Udp::endpoint from;
    boost::system::error_code failure;
    const auto size = co_await m_socket.async_receive_from(asio::buffer(buffer),
                                                           from, Into(failure));
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
      ++m_stray;
      continue;
    }
    if (flow == m_flows.end()) {
      DropStray(packet);
      continue;
    }
    flow->second->Receive(packet);
  }
}

} // namespace bramleylock::caller
