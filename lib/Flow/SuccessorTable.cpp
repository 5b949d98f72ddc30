// Successor records of stopped owners and their distribution.
//
// The stopping owner sends its record to every peer that it knows and waits for
// their acknowledgements. Balancers that miss it, because they were just
// starting or were partitioned, recover it by periodically sending a digest of
// their records to one peer at a time; a peer replies only if its own digest
// differs.

#include "bramleylock/Flow/SuccessorTable.h"

#include "bramleylock/Peer/Receive.h"
#include "bramleylock/Support/Log.h"
#include "bramleylock/Support/Random.h"

#include <algorithm>
#include <functional>

namespace bramleylock::flow {

static constexpr std::size_t kMaxRecords = 512;
static constexpr int kMaxChainLength = 16;
static constexpr Milliseconds kAnnounceRetryInterval{ 200 };

/// The interval between digest requests for the first kInitialSyncCount
/// requests after the start, and for later ones.
static constexpr Milliseconds kInitialSyncInterval{ 500 };
static constexpr Milliseconds kSyncInterval{ 15000 };
static constexpr int kInitialSyncCount = 10;

auto OwnerOf(const wire::FlowToken& aToken) -> wire::Owner
{
  return { aToken.owner, aToken.ownerIncarnation };
}

auto OwnerOf(const wire::Hello& aSelf) -> wire::Owner
{
  return { aSelf.address, aSelf.incarnation };
}

SuccessorTable::SuccessorTable(Environment& aEnvironment,
                               std::chrono::seconds aRetention)
  : m_environment(aEnvironment)
  , m_retention(aRetention)
  , m_nextPeer(SecureRandomNumber())
{
}

auto SuccessorTable::Start() -> void
{
  RegisterHandlers();
  Spawn(m_environment.context, "ask-continuations", SyncLoop());
}

auto SuccessorTable::RegisterHandlers() -> void
{
  auto& hub = m_environment.hub;
  peer::SetMessageHandler<wire::SuccessorRecords>(
    hub, wire::MessageType::SuccessorRecords, m_environment.metrics,
    [this](const wire::Hello& aSender, const wire::SuccessorRecords& aMessage) {
      wire::SuccessorRecordsReply reply;
      wire::SuccessorRecords added;
      for (const auto& record : aMessage.records) {
        if (Add(record)) {
          added.records.push_back(record);
        }
        reply.owners.push_back(record.from);
      }
      RelayToDomain(aSender.failureDomain, added);
      m_environment.hub.SendMessage(
        aSender.address, wire::MessageType::SuccessorRecordsReply, reply);
    });
  hub.On(wire::MessageType::SuccessorRecordsReply,
         [this](const wire::Hello& aSender, const std::string& aBody) {
           const auto reply =
             wire::UnpackBody<wire::SuccessorRecordsReply>(aBody);
           const auto self = OwnerOf(m_environment.members.Self());
           if (reply && std::find(reply->owners.begin(), reply->owners.end(),
                                  self) != reply->owners.end()) {
             m_acknowledgedBy.insert(aSender.address);
           }
         });
  hub.On(wire::MessageType::SuccessorRecordsRequest,
         [this](const wire::Hello& aSender, const std::string& aBody) {
           const auto request =
             wire::UnpackBody<wire::SuccessorRecordsRequest>(aBody);
           if (request && request->digest != Digest()) {
             SendRecords(aSender.address);
           }
         });
}

/// Relays new records from another failure domain to all members of this one:
/// an owner knows, and so informs, only a few members of other domains.
auto SuccessorTable::RelayToDomain(const std::string& aFailureDomain,
                                   const wire::SuccessorRecords& aAddedRecords)
  -> void
{
  auto& members = m_environment.members;
  if (aAddedRecords.records.empty() ||
      aFailureDomain == members.Self().failureDomain) {
    return;
  }
  for (const auto& member : members.AliveMembersInDomain()) {
    m_environment.hub.SendMessage(
      member.address, wire::MessageType::SuccessorRecords, aAddedRecords);
  }
}

auto SuccessorTable::Add(const wire::SuccessorRecord& aRecord) -> bool
{
  const auto retention =
    std::min(m_retention, std::chrono::seconds(aRecord.keepSeconds));
  // An owner announces its successor only once, so a record is never replaced.
  const auto [position, added] = m_records.try_emplace(
    aRecord.from, Record{ aRecord.to, Clock::now() + retention });
  if (!added) {
    return false;
  }
  LogInfo("owner-continues",
          { { "from", aRecord.from.address }, { "to", aRecord.to.address } });
  if (m_records.size() > kMaxRecords) {
    const auto oldest = std::min_element(
      m_records.begin(), m_records.end(),
      [](const auto& aLeft, const auto& aRight) {
        return aLeft.second.expiresAt < aRight.second.expiresAt;
      });
    m_records.erase(oldest);
    m_environment.metrics.Add(Counter::ContinuationsDropped);
  }
  return true;
}

auto SuccessorTable::Resolve(const wire::Owner& aOwner) const -> wire::Owner
{
  auto owner = aOwner;
  for (int i = 0; i < kMaxChainLength; ++i) {
    const auto record = m_records.find(owner);
    if (record == m_records.end()) {
      break;
    }
    owner = record->second.successor;
  }
  return owner;
}

auto SuccessorTable::Announce(wire::Owner aSuccessor,
                              Clock::time_point aDeadline) -> awaitable<void>
{
  const auto self = OwnerOf(m_environment.members.Self());
  const wire::SuccessorRecord record{
    self, aSuccessor, static_cast<std::uint32_t>(m_retention.count())
  };
  Add(record);
  const auto body = wire::PackBody(wire::SuccessorRecords{ { record } });
  while (Clock::now() < aDeadline) {
    bool allAcknowledged = true;
    for (const auto& member : m_environment.members.AliveMembers()) {
      if (!m_acknowledgedBy.contains(member.address)) {
        allAcknowledged = false;
        m_environment.hub.Send(member.address,
                               wire::MessageType::SuccessorRecords, body);
      }
    }
    if (allAcknowledged) {
      co_return;
    }
    co_await Sleep(kAnnounceRetryInterval);
  }
}

auto SuccessorTable::SendRecords(const std::string& aAddress) -> void
{
  wire::SuccessorRecords message;
  const auto now = Clock::now();
  for (const auto& [from, record] : m_records) {
    const auto remaining =
      std::chrono::duration_cast<std::chrono::seconds>(record.expiresAt - now);
    message.records.push_back(
      { from, record.successor,
        static_cast<std::uint32_t>(
          std::max<std::int64_t>(0, remaining.count())) });
  }
  m_environment.hub.SendMessage(aAddress, wire::MessageType::SuccessorRecords,
                                message);
}

auto SuccessorTable::SyncLoop() -> awaitable<void>
{
  for (int requestsSent = 0;;) {
    co_await Sleep(requestsSent < kInitialSyncCount ? kInitialSyncInterval
                                                    : kSyncInterval);
    Expire();
    const auto peers = m_environment.members.AliveMembers();
    if (peers.empty()) {
      continue;
    }
    ++requestsSent;
    const auto& peer = peers[m_nextPeer++ % peers.size()];
    m_environment.hub.SendMessage(peer.address,
                                  wire::MessageType::SuccessorRecordsRequest,
                                  wire::SuccessorRecordsRequest{ Digest() });
  }
}

auto SuccessorTable::Expire() -> void
{
  const auto now = Clock::now();
  std::erase_if(m_records, [now](const auto& aEntry) {
    return aEntry.second.expiresAt < now;
  });
}

/// A digest of the owners that have records. It does not depend on their order.
auto SuccessorTable::Digest() const -> std::uint64_t
{
  std::uint64_t digest = m_records.size();
  for (const auto& [from, record] : m_records) {
    digest ^= std::hash<std::string>{}(from.address) ^
              (from.incarnation * 0x9e3779b97f4a7c15U);
  }
  return digest;
}

auto SuccessorTable::Size() const -> std::size_t
{
  return m_records.size();
}

} // namespace bramleylock::flow
