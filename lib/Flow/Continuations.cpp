// Records of stopped owners, and how they spread.
//
// The stopping owner tells every peer itself and waits for their answers. A
// balancer that started in that moment, or was cut off, asks one peer after
// the other; a peer answers only when its records differ.

#include "bramleylock/Flow/Continuations.h"

#include "bramleylock/Peer/Receive.h"
#include "bramleylock/Support/Log.h"
#include "bramleylock/Support/Random.h"

#include <algorithm>
#include <functional>

namespace bramleylock::flow {

static constexpr std::size_t kRecordLimit = 512;
static constexpr int kChainLimit = 16;
static constexpr Milliseconds kRepeatAnnouncement{ 200 };

/// How often a new balancer asks, and one that has settled.
static constexpr Milliseconds kAskSoon{ 500 };
static constexpr Milliseconds kAskLater{ 15000 };
static constexpr int kSoonCount = 10;

auto OwnerOf(const wire::FlowToken& aToken) -> wire::Owner
{
  return { aToken.owner, aToken.ownerIncarnation };
}

auto OwnerOf(const wire::Hello& aSelf) -> wire::Owner
{
  return { aSelf.address, aSelf.incarnation };
}

Continuations::Continuations(Environment& aEnvironment,
                             std::chrono::seconds aKeep)
  : m_environment(aEnvironment)
  , m_keep(aKeep)
  , m_nextPeer(SecretNumber())
{
}

auto Continuations::Start() -> void
{
  Listen();
  Spawn(m_environment.context, "ask-continuations", AskLoop());
}

auto Continuations::Listen() -> void
{
  auto& hub = m_environment.hub;
  peer::SetMessageHandler<wire::ContinuationRecords>(
    hub, wire::MessageType::ContinuationRecords, m_environment.metrics,
    [this](const wire::Hello& aSender,
           const wire::ContinuationRecords& aMessage) {
      wire::ContinuationReply reply;
      wire::ContinuationRecords added;
      for (const auto& record : aMessage.records) {
        if (Add(record)) {
          added.records.push_back(record);
        }
        reply.owners.push_back(record.from);
      }
      SpreadFrom(aSender.failureDomain, added);
      m_environment.hub.SendMessage(
        aSender.address, wire::MessageType::ContinuationReply, reply);
    });
  hub.On(wire::MessageType::ContinuationReply,
         [this](const wire::Hello& aSender, const std::string& aBody) {
           const auto reply = wire::UnpackBody<wire::ContinuationReply>(aBody);
           const auto self = OwnerOf(m_environment.members.Self());
           if (reply && std::find(reply->owners.begin(), reply->owners.end(),
                                  self) != reply->owners.end()) {
             m_informed.insert(aSender.address);
           }
         });
  hub.On(wire::MessageType::ContinuationRequest,
         [this](const wire::Hello& aSender, const std::string& aBody) {
           const auto request =
             wire::UnpackBody<wire::ContinuationRequest>(aBody);
           if (request && request->digest != Digest()) {
             SendAll(aSender.address);
           }
         });
}

/// An owner knows only a few members of other failure domains; those tell the
/// rest of theirs.
auto Continuations::SpreadFrom(const std::string& aFailureDomain,
                               const wire::ContinuationRecords& aAdded) -> void
{
  auto& members = m_environment.members;
  if (aAdded.records.empty() ||
      aFailureDomain == members.Self().failureDomain) {
    return;
  }
  for (const auto& member : members.AliveMembersInDomain()) {
    m_environment.hub.SendMessage(
      member.address, wire::MessageType::ContinuationRecords, aAdded);
  }
}

auto Continuations::Add(const wire::Continuation& aContinuation) -> bool
{
  const auto keep =
    std::min(m_keep, std::chrono::seconds(aContinuation.keepSeconds));
  // The word of an owner is final: a record is never replaced.
  const auto [position, added] = m_records.try_emplace(
    aContinuation.from, Record{ aContinuation.to, Clock::now() + keep });
  if (!added) {
    return false;
  }
  LogInfo("owner-continues", { { "from", aContinuation.from.address },
                               { "to", aContinuation.to.address } });
  if (m_records.size() > kRecordLimit) {
    const auto oldest = std::min_element(
      m_records.begin(), m_records.end(),
      [](const auto& aLeft, const auto& aRight) {
        return aLeft.second.keepUntil < aRight.second.keepUntil;
      });
    m_records.erase(oldest);
    m_environment.metrics.Add(Counter::ContinuationsDropped);
  }
  return true;
}

auto Continuations::Resolve(const wire::Owner& aOwner) const -> wire::Owner
{
  auto owner = aOwner;
  for (int i = 0; i < kChainLimit; ++i) {
    const auto record = m_records.find(owner);
    if (record == m_records.end()) {
      break;
    }
    owner = record->second.to;
  }
  return owner;
}

auto Continuations::Announce(wire::Owner aSuccessor, Clock::time_point aLimit)
  -> awaitable<void>
{
  const auto self = OwnerOf(m_environment.members.Self());
  const wire::Continuation record{ self, aSuccessor,
                                   static_cast<std::uint32_t>(m_keep.count()) };
  Add(record);
  const auto body = wire::PackBody(wire::ContinuationRecords{ { record } });
  while (Clock::now() < aLimit) {
    bool all = true;
    for (const auto& member : m_environment.members.AliveMembers()) {
      if (!m_informed.contains(member.address)) {
        all = false;
        m_environment.hub.Send(member.address,
                               wire::MessageType::ContinuationRecords, body);
      }
    }
    if (all) {
      co_return;
    }
    co_await Sleep(kRepeatAnnouncement);
  }
}

auto Continuations::SendAll(const std::string& aAddress) -> void
{
  wire::ContinuationRecords message;
  const auto now = Clock::now();
  for (const auto& [from, record] : m_records) {
    const auto left =
      std::chrono::duration_cast<std::chrono::seconds>(record.keepUntil - now);
    message.records.push_back(
      { from, record.to,
        static_cast<std::uint32_t>(std::max<std::int64_t>(0, left.count())) });
  }
  m_environment.hub.SendMessage(
    aAddress, wire::MessageType::ContinuationRecords, message);
}

auto Continuations::AskLoop() -> awaitable<void>
{
  for (int asked = 0;;) {
    co_await Sleep(asked < kSoonCount ? kAskSoon : kAskLater);
    Expire();
    const auto peers = m_environment.members.AliveMembers();
    if (peers.empty()) {
      continue;
    }
    ++asked;
    const auto& peer = peers[m_nextPeer++ % peers.size()];
    m_environment.hub.SendMessage(peer.address,
                                  wire::MessageType::ContinuationRequest,
                                  wire::ContinuationRequest{ Digest() });
  }
}

auto Continuations::Expire() -> void
{
  const auto now = Clock::now();
  std::erase_if(m_records, [now](const auto& aEntry) {
    return aEntry.second.keepUntil < now;
  });
}

/// Order does not matter, so that the same records give the same digest.
auto Continuations::Digest() const -> std::uint64_t
{
  std::uint64_t digest = m_records.size();
  for (const auto& [from, record] : m_records) {
    digest ^= std::hash<std::string>{}(from.address) ^
              (from.incarnation * 0x9e3779b97f4a7c15U);
  }
  return digest;
}

auto Continuations::Size() const -> std::size_t
{
  return m_records.size();
}

} // namespace bramleylock::flow
