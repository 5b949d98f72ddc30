// The transfer of flows at a planned stop.
//
// Batches go one after the other, each sent again until the receiver answers,
// and the receiver takes each once. Only a refusal of the first batch lets the
// flows go to another peer: it says that the receiver has nothing.

#include "bramleylock/Flow/HandOver.h"

#include "bramleylock/Flow/FlowRecord.h"

#include <algorithm>

namespace bramleylock::flow {

/// How long short work may still finish here before new requests wait.
static constexpr Milliseconds kFinishShort{ 500 };
static constexpr Milliseconds kPollFlows{ 20 };
static constexpr Milliseconds kRepeatBatch{ 300 };

/// A receiver that has not answered for this long leaves the batch in doubt.
/// Callers' deadlines run meanwhile, so it is less than short work's.
static constexpr Milliseconds kAnswerLimit{ 2000 };
static constexpr Milliseconds kAnnounceLimit{ 5000 };

/// A sender that was not heard for this long has finished or died.
static constexpr Milliseconds kIncomingSilence{ 1500 };

static constexpr std::size_t kBatchFlows = 512;
static constexpr std::size_t kBatchBytes = 256U << 10;

static constexpr std::size_t kHeldLimit = 8192;

HandOver::HandOver(Environment& aEnvironment, FlowTable& aFlows,
                   Continuations& aContinuations, Resume aResume)
  : m_environment(aEnvironment)
  , m_flows(aFlows)
  , m_continuations(aContinuations)
  , m_resume(std::move(aResume))
  , m_replied(aEnvironment.context)
{
}

auto HandOver::Start() -> void
{
  m_environment.hub.On(
    wire::MessageType::HandOver,
    [this](const wire::Hello& aSender, const std::string& aBody) {
      Receive(aSender, aBody);
    });
  m_environment.hub.On(wire::MessageType::HandOverReply,
                       [this](const wire::Hello&, const std::string& aBody) {
                         m_reply = wire::UnpackBody<wire::HandOverReply>(aBody);
                         m_replied.Notify();
                       });
}

auto HandOver::Moving(std::uint64_t aFlow) const -> bool
{
  return m_moving.contains(aFlow);
}

auto HandOver::Hold(std::uint64_t aFlow, wire::ForwardedDatagram aPacket)
  -> void
{
  if (m_heldCount >= kHeldLimit) {
    m_environment.metrics.Add(Counter::PacketsHeldDropped);
    return;
  }
  ++m_heldCount;
  m_environment.metrics.Add(Counter::PacketsHeld);
  m_held[aFlow].push_back(std::move(aPacket));
}

auto HandOver::Successor() const -> std::optional<wire::Owner>
{
  if (!m_successor || !m_begun) {
    return std::nullopt;
  }
  return m_continuations.Resolve(*m_successor);
}

auto HandOver::Inherits(const wire::Owner& aOwner) const -> bool
{
  return m_incoming.contains(aOwner);
}

auto HandOver::ChooseSuccessor() -> bool
{
  auto peers = m_environment.members.AliveMembersInDomain();
  const auto unfit = [this](const peer::Member& aMember) {
    // Of other failure domains no heartbeat tells whether a member has keys;
    // one without them refuses.
    const bool keyless =
      aMember.latestHeartbeat.newestKeyId == 0 &&
      aMember.failureDomain == m_environment.members.Self().failureDomain;
    return aMember.latestHeartbeat.draining || keyless ||
           m_refusedBy.contains(aMember.address);
  };
  std::erase_if(peers, unfit);
  if (peers.empty()) {
    // Another failure domain is better than cutting the flows.
    peers = m_environment.members.AliveMembers();
    std::erase_if(peers, unfit);
  }
  if (peers.empty()) {
    m_refusedBy.clear();
    return false;
  }
  // Balancers that stop together must not all choose the same peer.
  const auto choice = m_environment.members.Self().incarnation % peers.size();
  m_successor = wire::Owner{ peers[choice].address, peers[choice].incarnation };
  m_begun = false;
  m_batch = 0;
  return true;
}

auto HandOver::TakeReady(bool aFreeze) -> Batch
{
  Batch batch;
  std::size_t bytes = 0;
  for (const auto& [id, flow] : m_flows.All()) {
    if (batch.size() >= kBatchFlows || bytes >= kBatchBytes) {
      break;
    }
    if (Busy(*flow, aFreeze)) {
      flow->frozen |= aFreeze;
      continue;
    }
    bytes += RecordBytes(*flow);
    batch.push_back(flow);
  }
  return batch;
}

auto HandOver::Run(Clock::time_point aLimit) -> awaitable<void>
{
  m_running = true;
  m_limit = aLimit;
  const auto freezeAt = Clock::now() + kFinishShort;
  while (Clock::now() < aLimit && (m_flows.Size() > 0 || Incomplete())) {
    const bool chosen = m_successor || ChooseSuccessor();
    if (chosen && m_flows.Size() > 0) {
      const bool progress = co_await HandOverReady(Clock::now() >= freezeAt);
      if (progress) {
        continue;
      }
    }
    co_await Sleep(kPollFlows);
  }
  if (m_successor && m_begun) {
    const auto successor = *m_successor;
    const auto limit = std::min(aLimit, Clock::now() + kAnnounceLimit);
    co_await m_continuations.Announce(successor, limit);
  }
}

/// Sends one batch; false when no flow was ready.
auto HandOver::HandOverReady(bool aFreeze) -> awaitable<bool>
{
  const auto batch = TakeReady(aFreeze);
  if (batch.empty()) {
    co_return false;
  }
  const auto result = co_await Transfer(batch);
  if (result == Result::Accepted) {
    m_begun = true;
    m_environment.metrics.Add(Counter::FlowsHandedOver, batch.size());
  } else {
    m_environment.metrics.Add(Counter::HandOverInDoubt, batch.size());
    // Another peer has nothing of these flows, but it can open them again for
    // repeatable work and say "unknown" of the rest.
    m_refusedBy.insert(m_successor->address);
    m_successor.reset();
    m_begun = ChooseSuccessor();
  }
  Finish(batch);
  co_return true;
}

auto HandOver::Transfer(const Batch& aBatch) -> awaitable<Result>
{
  const auto self = OwnerOf(m_environment.members.Self());
  wire::HandOver message;
  for (const auto& flow : aBatch) {
    message.flows.push_back(Freeze(*flow, self));
    m_moving.emplace(flow->id, flow);
    m_flows.Remove(flow->id);
  }
  for (;;) {
    message.receiverIncarnation = m_successor->incarnation;
    message.batch = ++m_batch;
    m_reply.reset();
    const auto body = wire::PackBody(message);
    const auto result = co_await Await(body);
    if (result != Result::Refused) {
      co_return result;
    }
    // The receiver has nothing of this owner, so another one may have it.
    m_environment.metrics.Add(Counter::HandOverRefused);
    m_refusedBy.insert(m_successor->address);
    while (!ChooseSuccessor()) {
      if (Clock::now() >= m_limit) {
        co_return Result::InDoubt;
      }
      co_await Sleep(kRepeatBatch);
    }
  }
}

auto HandOver::Await(const std::string& aBody) -> awaitable<Result>
{
  const auto successor = *m_successor;
  const auto limit = Clock::now() + kAnswerLimit;
  while (Clock::now() < limit) {
    const bool alive =
      m_environment.members.IsAlive(successor.address, successor.incarnation);
    if (!alive) {
      co_return Result::InDoubt;
    }
    m_environment.hub.Send(successor.address, wire::MessageType::HandOver,
                           aBody);
    const auto repeat = Clock::now() + kRepeatBatch;
    while (Clock::now() < repeat) {
      co_await m_replied.WaitUntil(repeat);
      const bool mine = m_reply && m_reply->batch == m_batch &&
                        m_reply->receiverIncarnation == successor.incarnation;
      if (mine) {
        const bool first = m_batch == 1;
        co_return m_reply->accepted ? Result::Accepted
        : first                     ? Result::Refused
                                    : Result::InDoubt;
      }
    }
  }
  co_return Result::InDoubt;
}

/// Passes on what waited for the flows of aBatch.
auto HandOver::Finish(const Batch& aBatch) -> void
{
  const auto successor = Successor();
  for (const auto& flow : aBatch) {
    m_moving.erase(flow->id);
    const auto held = m_held.find(flow->id);
    if (held == m_held.end()) {
      continue;
    }
    m_heldCount -= held->second.size();
    for (const auto& packet : held->second) {
      if (successor) {
        m_environment.hub.SendMessage(
          successor->address, wire::MessageType::ForwardedDatagram, packet);
      }
    }
    m_held.erase(held);
  }
}

/// Whether a peer is still handing its flows to this balancer.
auto HandOver::Incomplete() const -> bool
{
  const auto now = Clock::now();
  return std::any_of(m_incoming.begin(), m_incoming.end(),
                     [&](const auto& aEntry) {
                       return now - aEntry.second.lastHeard < kIncomingSilence;
                     });
}

auto HandOver::Receive(const wire::Hello& aSender, const std::string& aBody)
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
  const auto known = m_incoming.find(sender);
  if (message->receiverIncarnation != self.incarnation) {
    // It was meant for an earlier run at this address; only that one could
    // tell whether it took it.
    return;
  }
  const bool unfit = m_running || m_environment.keys.Empty();
  if (known == m_incoming.end() && unfit) {
    reply.accepted = false;
  } else {
    auto& incoming = m_incoming[sender];
    incoming.lastHeard = Clock::now();
    if (message->batch > incoming.lastBatch) {
      incoming.lastBatch = message->batch;
      for (const auto& flow : message->flows) {
        Install(flow);
      }
    }
  }
  m_environment.hub.SendMessage(aSender.address,
                                wire::MessageType::HandOverReply, reply);
}

auto HandOver::Install(const wire::TransferredFlow& aHanded) -> void
{
  auto flow = m_flows.Find(aHanded.id);
  if (!flow) {
    flow = MakeFlow(m_environment, aHanded.id, aHanded.plan, aHanded.service);
    m_flows.Add(flow);
  }
  Merge(*flow, aHanded);
  for (const auto& request : aHanded.requests) {
    const auto exchange = Thaw(request);
    if (exchange && !flow->active.contains(exchange->request.sequence)) {
      m_resume(flow, exchange);
    }
  }
  m_environment.metrics.Add(Counter::FlowsInherited);
}

} // namespace bramleylock::flow
