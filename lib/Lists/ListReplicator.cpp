// Pushes changes along a tree; whole lists go only to peers without the base.

#include "bramleylock/Lists/ListReplicator.h"

#include "bramleylock/Lists/ListMerge.h"
#include "bramleylock/Support/Log.h"

#include <fmt/format.h>

namespace bramleylock::lists {

/// Limits on the bytes of lists that one balancer sends: the sustained rate per
/// second, and the burst.
static constexpr double kBytesPerSecond = 8000;
static constexpr double kBurstBytes = 262144;

/// Delay before the lists are requested from a peer, as the push may still be
/// in transit. A random delay of up to the same length is added, so that
/// balancers do not all request at once.
static constexpr Milliseconds kRepairDelay{ 100 };

/// Maximum number of forwarded messages that are remembered to detect
/// duplicates.
static constexpr std::size_t kMaxForwarded = 256;

ListReplicator::ListReplicator(asio::io_context& aContext, ListReplica& aLists,
                               peer::PeerHub& aHub, peer::Membership& aMembers,
                               Metrics& aMetrics)
  : m_context(aContext)
  , m_lists(aLists)
  , m_hub(aHub)
  , m_members(aMembers)
  , m_metrics(aMetrics)
  , m_fanOut(aHub, aMembers)
  , m_rateLimiter(kBytesPerSecond, kBurstBytes)
  , m_random(SecureRandomNumber())
{
}

auto ListReplicator::Start() -> void
{
  m_hub.On(wire::MessageType::Lists,
           [this](const wire::Hello& aSender, const std::string& aBody) {
             HandleLists(aSender, aBody);
           });
  m_hub.On(wire::MessageType::ListsRequest,
           [this](const wire::Hello& aSender, const std::string& aBody) {
             const auto request = wire::UnpackBody<wire::ListsRequest>(aBody);
             if (request) {
               HandleListsRequest(aSender.address, *request);
             }
           });
  m_lists.OnInstall([this] { PushInstalled(); });
}

auto ListReplicator::PushInstalled() -> void
{
  const auto base = std::exchange(m_previousRevision, m_lists.Revision());
  if (m_skipPush || base == 0) {
    return;
  }
  const auto& self = m_members.Self().address;
  const auto changes = FormatLists(ChangesSince(*m_lists.Merged(), base));
  if (!m_rateLimiter.TryConsume(changes.size() * peer::kFanOut, Clock::now())) {
    // The peers see the higher revision in the next heartbeat and request the
    // lists.
    m_metrics.Add(Counter::ListsSendDeferred);
    return;
  }
  const wire::ListsMessage message{ base, m_lists.Revision(), m_lists.Digest(),
                                    self, changes };
  m_fanOut.SendToChildren(peer::TreeRootedAt(self), wire::MessageType::Lists,
                          wire::PackBody(message));
}

auto ListReplicator::HandleLists(const wire::Hello& aSender,
                                 const std::string& aBody) -> void
{
  const auto message = wire::UnpackBody<wire::ListsMessage>(aBody);
  if (!message) {
    return;
  }
  if (m_lists.Revision() < message->baseRevision) {
    RequestLists(aSender.address);
    return;
  }
  const auto key = fmt::format("{}/{}/{}", message->origin, message->revision,
                               message->digest);
  if (!message->origin.empty() && m_forwarded.insert(key).second) {
    if (m_forwarded.size() > kMaxForwarded) {
      m_forwarded.clear();
      m_forwarded.insert(key);
    }
    if (m_rateLimiter.TryConsume(aBody.size() * peer::kFanOut, Clock::now())) {
      m_fanOut.SendToChildren(peer::TreeRootedAt(message->origin),
                              wire::MessageType::Lists, aBody);
    }
  }
  // A pushed message has an origin and is forwarded above. A reply from this
  // failure domain needs no push, but a reply from another failure domain is
  // new to this one, so its installation starts a push.
  m_skipPush = !message->origin.empty() ||
               aSender.failureDomain == m_members.Self().failureDomain;
  m_lists.Install(message->document);
  m_skipPush = false;
  if (message->revision == m_lists.Revision() &&
      message->digest != m_lists.Digest()) {
    // The revisions are equal, but one of the two balancers holds entries that
    // the other has never received.
    RequestLists(aSender.address);
  }
}

auto ListReplicator::HandleListsRequest(const std::string& aAddress,
                                        const wire::ListsRequest& aRequest)
  -> void
{
  if (m_lists.Revision() == 0 || aRequest.haveDigest == m_lists.Digest()) {
    return;
  }
  const bool hasBase =
    aRequest.haveRevision > 0 && aRequest.haveRevision < m_lists.Revision();
  const wire::ListsMessage message{
    hasBase ? aRequest.haveRevision : 0,
    m_lists.Revision(),
    m_lists.Digest(),
    {},
    hasBase
      ? FormatLists(ChangesSince(*m_lists.Merged(), aRequest.haveRevision))
      : m_lists.Document()
  };
  if (!m_rateLimiter.TryConsume(message.document.size(), Clock::now())) {
    m_metrics.Add(Counter::ListsSendDeferred);
    return;
  }
  m_hub.SendMessage(aAddress, wire::MessageType::Lists, message);
}

auto ListReplicator::RequestLists(const std::string& aAddress) -> void
{
  m_metrics.Add(Counter::ListsFetched);
  m_hub.SendMessage(aAddress, wire::MessageType::ListsRequest,
                    wire::ListsRequest{ m_lists.Revision(), m_lists.Digest() });
}

auto ListReplicator::IsBehind(std::uint64_t aRevision,
                              std::uint64_t aDigest) const -> bool
{
  const auto ownRevision = m_lists.Revision();
  return aRevision > ownRevision ||
         (aRevision == ownRevision && aRevision > 0 &&
          aDigest != m_lists.Digest());
}

auto ListReplicator::CompareWithPeer(const std::string& aAddress,
                                     std::uint64_t aRevision,
                                     std::uint64_t aDigest) -> void
{
  if (m_repairPending || !IsBehind(aRevision, aDigest)) {
    return;
  }
  m_repairPending = true;
  Spawn(m_context, "lists-repair",
        RequestListsAfterDelay(aAddress, aRevision, aDigest));
}

auto ListReplicator::RequestListsAfterDelay(std::string aAddress,
                                            std::uint64_t aRevision,
                                            std::uint64_t aDigest)
  -> awaitable<void>
{
  std::uniform_int_distribution<Milliseconds::rep> jitter(0,
                                                          kRepairDelay.count());
  co_await Sleep(kRepairDelay + Milliseconds(jitter(m_random)));
  m_repairPending = false;
  if (IsBehind(aRevision, aDigest)) {
    RequestLists(aAddress);
  }
}

} // namespace bramleylock::lists
