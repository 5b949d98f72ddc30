// Transfer of flows to a peer at a planned stop.
//
// Batches are sent one at a time. Each is retransmitted until the receiver
// replies, and the receiver installs it only once. A batch may be sent to
// another peer only if the receiver has refused its first batch, because only
// then is it certain that the receiver holds none of the flows.

#include "bramleylock/Flow/HandOver.h"

#include "bramleylock/Flow/FlowRecord.h"

#include <algorithm>

namespace bramleylock::flow {

/// How long the hand-over waits for short work to finish here. After that, new
/// requests are held, and only at-most-once work in progress delays a flow.
static constexpr Milliseconds kHoldRequestsDelay{ 500 };
static constexpr Milliseconds kPollInterval{ 20 };
static constexpr Milliseconds kRetransmitInterval{ 300 };

/// If the receiver does not reply for this long, the result of the batch is in
/// doubt. The timeout is shorter than the deadlines of short work, because
/// these deadlines continue to run while the batch is pending.
static constexpr Milliseconds kReplyTimeout{ 2000 };
static constexpr Milliseconds kAnnounceTimeout{ 5000 };

/// A sender that has sent no batch for this long has finished or failed.
static constexpr Milliseconds kIncomingTimeout{ 1500 };

static constexpr std::size_t kMaxBatchFlows = 512;
static constexpr std::size_t kMaxBatchBytes = 256U << 10;

static constexpr std::size_t kMaxHeldPackets = 8192;

HandOver::HandOver(Environment& aEnvironment, FlowTable& aFlows,
                   SuccessorTable& aSuccessorTable,
                   ResumeRequest aResumeRequest)
  : m_environment(aEnvironment)
  , m_flows(aFlows)
  , m_successorTable(aSuccessorTable)
  , m_resumeRequest(std::move(aResumeRequest))
  , m_replySignal(aEnvironment.context)
{
}

auto HandOver::Start() -> void
{
  m_environment.hub.On(
    wire::MessageType::HandOver,
    [this](const wire::Hello& aSender, const std::string& aBody) {
      HandleBatch(aSender, aBody);
    });
  m_environment.hub.On(wire::MessageType::HandOverReply,
                       [this](const wire::Hello&, const std::string& aBody) {
                         m_reply = wire::UnpackBody<wire::HandOverReply>(aBody);
                         m_replySignal.NotifyAll();
                       });
}

auto HandOver::IsInTransfer(std::uint64_t aFlow) const -> bool
{
  return m_flowsInTransfer.contains(aFlow);
}

auto HandOver::HoldPacket(std::uint64_t aFlow, wire::ForwardedDatagram aPacket)
  -> void
{
  if (m_heldPacketCount >= kMaxHeldPackets) {
    m_environment.metrics.Add(Counter::PacketsHeldDropped);
    return;
  }
  ++m_heldPacketCount;
  m_environment.metrics.Add(Counter::PacketsHeld);
  m_heldPackets[aFlow].push_back(std::move(aPacket));
}

auto HandOver::Successor() const -> std::optional<wire::Owner>
{
  if (!m_successor || !m_successorReady) {
    return std::nullopt;
  }
  return m_successorTable.Resolve(*m_successor);
}

auto HandOver::IsReceivingFrom(const wire::Owner& aOwner) const -> bool
{
  return m_incomingTransfers.contains(aOwner);
}

auto HandOver::ChooseSuccessor() -> bool
{
  auto peers = m_environment.members.AliveMembersInDomain();
  const auto ineligible = [this](const peer::Member& aMember) {
    // Only members of this failure domain send heartbeats that show whether
    // they have token keys. A member of another one without keys refuses the
    // first batch.
    const bool withoutKeys =
      aMember.latestHeartbeat.newestKeyId == 0 &&
      aMember.failureDomain == m_environment.members.Self().failureDomain;
    return aMember.latestHeartbeat.draining || withoutKeys ||
           m_excludedPeers.contains(aMember.address);
  };
  std::erase_if(peers, ineligible);
  if (peers.empty()) {
    // Moving the flows to another failure domain is better than losing them.
    peers = m_environment.members.AliveMembers();
    std::erase_if(peers, ineligible);
  }
  if (peers.empty()) {
    m_excludedPeers.clear();
    return false;
  }
  // The incarnation spreads balancers that stop at the same time over different
  // successors.
  const auto choice = m_environment.members.Self().incarnation % peers.size();
  m_successor = wire::Owner{ peers[choice].address, peers[choice].incarnation };
  m_successorReady = false;
  m_batchNumber = 0;
  return true;
}

auto HandOver::SelectReadyFlows(bool aHoldRequests) -> Batch
{
  Batch batch;
  std::size_t bytes = 0;
  for (const auto& [id, flow] : m_flows.All()) {
    if (batch.size() >= kMaxBatchFlows || bytes >= kMaxBatchBytes) {
      break;
    }
    if (HasBlockingRequests(*flow, aHoldRequests)) {
      flow->holdsRequests |= aHoldRequests;
      continue;
    }
    bytes += EstimateRecordBytes(*flow);
    batch.push_back(flow);
  }
  return batch;
}

auto HandOver::Run(Clock::time_point aDeadline) -> awaitable<void>
{
  m_running = true;
  m_deadline = aDeadline;
  const auto holdRequestsAt = Clock::now() + kHoldRequestsDelay;
  while (Clock::now() < aDeadline &&
         (m_flows.Size() > 0 || HasIncomingTransfer())) {
    const bool chosen = m_successor || ChooseSuccessor();
    if (chosen && m_flows.Size() > 0) {
      const bool progress =
        co_await HandOverBatch(Clock::now() >= holdRequestsAt);
      if (progress) {
        continue;
      }
    }
    co_await Sleep(kPollInterval);
  }
  if (m_successor && m_successorReady) {
    const auto successor = *m_successor;
    const auto deadline = std::min(aDeadline, Clock::now() + kAnnounceTimeout);
    co_await m_successorTable.Announce(successor, deadline);
  }
}

/// Hands one batch of flows over; returns false if no flow is ready.
auto HandOver::HandOverBatch(bool aHoldRequests) -> awaitable<bool>
{
  const auto batch = SelectReadyFlows(aHoldRequests);
  if (batch.empty()) {
    co_return false;
  }
  const auto result = co_await TransferBatch(batch);
  if (result == TransferResult::Accepted) {
    m_successorReady = true;
    m_environment.metrics.Add(Counter::FlowsHandedOver, batch.size());
  } else {
    m_environment.metrics.Add(Counter::HandOverInDoubt, batch.size());
    // Another peer has no record of these flows, but it can open them anew for
    // repeatable work and report the outcome of at-most-once work as unknown.
    m_excludedPeers.insert(m_successor->address);
    m_successor.reset();
    m_successorReady = ChooseSuccessor();
  }
  ForwardHeldPackets(batch);
  co_return true;
}

auto HandOver::TransferBatch(const Batch& aBatch) -> awaitable<TransferResult>
{
  const auto self = OwnerOf(m_environment.members.Self());
  wire::HandOver message;
  for (const auto& flow : aBatch) {
    message.flows.push_back(StopFlowForHandOver(*flow, self));
    m_flowsInTransfer.emplace(flow->id, flow);
    m_flows.Remove(flow->id);
  }
  for (;;) {
    message.receiverIncarnation = m_successor->incarnation;
    message.batch = ++m_batchNumber;
    m_reply.reset();
    const auto body = wire::PackBody(message);
    const auto result = co_await SendUntilReply(body);
    if (result != TransferResult::Refused) {
      co_return result;
    }
    // The receiver holds no flows of this owner, so the batch may be sent to
    // another one.
    m_environment.metrics.Add(Counter::HandOverRefused);
    m_excludedPeers.insert(m_successor->address);
    while (!ChooseSuccessor()) {
      if (Clock::now() >= m_deadline) {
        co_return TransferResult::InDoubt;
      }
      co_await Sleep(kRetransmitInterval);
    }
  }
}

auto HandOver::SendUntilReply(const std::string& aBody)
  -> awaitable<TransferResult>
{
  const auto successor = *m_successor;
  const auto deadline = Clock::now() + kReplyTimeout;
  while (Clock::now() < deadline) {
    const bool alive =
      m_environment.members.IsAlive(successor.address, successor.incarnation);
    if (!alive) {
      co_return TransferResult::InDoubt;
    }
    m_environment.hub.Send(successor.address, wire::MessageType::HandOver,
                           aBody);
    const auto resendAt = Clock::now() + kRetransmitInterval;
    while (Clock::now() < resendAt) {
      co_await m_replySignal.WaitUntil(resendAt);
      const bool matches =
        m_reply && m_reply->batch == m_batchNumber &&
        m_reply->receiverIncarnation == successor.incarnation;
      if (matches) {
        const bool firstBatch = m_batchNumber == 1;
        co_return m_reply->accepted ? TransferResult::Accepted
        : firstBatch                ? TransferResult::Refused
                                    : TransferResult::InDoubt;
      }
    }
  }
  co_return TransferResult::InDoubt;
}

/// Forwards the packets held for the flows of aBatch to the successor, if there
/// is one.
auto HandOver::ForwardHeldPackets(const Batch& aBatch) -> void
{
  const auto successor = Successor();
  for (const auto& flow : aBatch) {
    m_flowsInTransfer.erase(flow->id);
    const auto held = m_heldPackets.find(flow->id);
    if (held == m_heldPackets.end()) {
      continue;
    }
    m_heldPacketCount -= held->second.size();
    for (const auto& packet : held->second) {
      if (successor) {
        m_environment.hub.SendMessage(
          successor->address, wire::MessageType::ForwardedDatagram, packet);
      }
    }
    m_heldPackets.erase(held);
  }
}

/// Whether a peer is still handing its flows over to this balancer.
auto HandOver::HasIncomingTransfer() const -> bool
{
  const auto now = Clock::now();
  return std::any_of(m_incomingTransfers.begin(), m_incomingTransfers.end(),
                     [&](const auto& aEntry) {
                       return now - aEntry.second.lastReceived <
                              kIncomingTimeout;
                     });
}

auto HandOver::HandleBatch(const wire::Hello& aSender, const std::string& aBody)
  -> void
{
  const auto message = wire::UnpackBody<wire::HandOver>(aBody);
  if (!message) {
    m_environment.metrics.Add(Counter::HandOverUnread);
    return;
  }
  const auto self = OwnerOf(m_environment.members.Self());
  wire::HandOverReply reply{ self.incarnation, message->batch, true };
  const auto sender = OwnerOf(aSender);
  const auto known = m_incomingTransfers.find(sender);
  if (message->receiverIncarnation != self.incarnation) {
    // The batch was sent to an earlier incarnation at this address, and only
    // that one could tell whether it had installed the batch.
    return;
  }
  const bool ineligible = m_running || m_environment.keys.Empty();
  if (known == m_incomingTransfers.end() && ineligible) {
    reply.accepted = false;
  } else {
    auto& incoming = m_incomingTransfers[sender];
    incoming.lastReceived = Clock::now();
    if (message->batch > incoming.lastBatchNumber) {
      incoming.lastBatchNumber = message->batch;
      for (const auto& flow : message->flows) {
        InstallFlow(flow);
      }
    }
  }
  m_environment.hub.SendMessage(aSender.address,
                                wire::MessageType::HandOverReply, reply);
}

auto HandOver::InstallFlow(const wire::TransferredFlow& aRecord) -> void
{
  auto flow = m_flows.Find(aRecord.id);
  if (!flow) {
    flow = MakeFlow(m_environment, aRecord.id, aRecord.plan, aRecord.service);
    m_flows.Add(flow);
  }
  MergeRecord(*flow, aRecord);
  for (const auto& request : aRecord.requests) {
    const auto exchange = RestoreRequest(request);
    if (exchange &&
        !flow->activeRequests.contains(exchange->request.sequence)) {
      m_resumeRequest(flow, exchange);
    }
  }
  m_environment.metrics.Add(Counter::FlowsInherited);
}

} // namespace bramleylock::flow
