// Changes go down a tree; whole lists only to who lacks the base.

#include "bramleylock/Lists/ListSpread.h"

#include "bramleylock/Lists/ListMerge.h"
#include "bramleylock/Support/Log.h"

#include <fmt/format.h>

namespace bramleylock::lists {

/// Bytes of lists that one balancer sends in a second over a longer time.
static constexpr double kBytesPerSecond = 8000;
static constexpr double kBurstBytes = 262144;

/// How long a push may still be on its way before a peer is asked; up to as
/// long again is added, so that not all ask at once.
static constexpr Milliseconds kAskAfter{ 100 };

/// Messages whose repetition is remembered.
static constexpr std::size_t kPassedKept = 256;

ListSpread::ListSpread(asio::io_context& aContext, ListKeeper& aLists,
                       peer::PeerHub& aHub, peer::Membership& aMembers,
                       Metrics& aMetrics)
  : m_context(aContext)
  , m_lists(aLists)
  , m_hub(aHub)
  , m_members(aMembers)
  , m_metrics(aMetrics)
  , m_fanOut(aHub, aMembers)
  , m_budget(kBytesPerSecond, kBurstBytes)
  , m_random(SecretNumber())
{
}

auto ListSpread::Start() -> void
{
  m_hub.On(wire::MessageType::Lists,
           [this](const wire::Hello& aSender, const std::string& aBody) {
             Receive(aSender, aBody);
           });
  m_hub.On(wire::MessageType::ListsRequest,
           [this](const wire::Hello& aSender, const std::string& aBody) {
             const auto request = wire::UnpackBody<wire::ListsRequest>(aBody);
             if (request) {
               Answer(aSender.address, *request);
             }
           });
  m_lists.OnInstall([this] { PassOnInstalled(); });
}

auto ListSpread::PassOnInstalled() -> void
{
  const auto base = std::exchange(m_previousRevision, m_lists.Revision());
  if (m_relaying || base == 0) {
    return;
  }
  const auto& self = m_members.Self().address;
  const auto changes = FormatLists(ChangesSince(*m_lists.Merged(), base));
  if (!m_budget.TryConsume(changes.size() * peer::kFanOut, Clock::now())) {
    // The peers see the higher revision in the next heartbeat and ask.
    m_metrics.Add(Counter::ListsSendDeferred);
    return;
  }
  const wire::ListsMessage message{ base, m_lists.Revision(), m_lists.Digest(),
                                    self, changes };
  m_fanOut.SendToChildren(peer::TreeRootedAt(self), wire::MessageType::Lists,
                          wire::PackBody(message));
}

auto ListSpread::Receive(const wire::Hello& aSender, const std::string& aBody)
  -> void
{
  const auto message = wire::UnpackBody<wire::ListsMessage>(aBody);
  if (!message) {
    return;
  }
  if (m_lists.Revision() < message->baseRevision) {
    Ask(aSender.address);
    return;
  }
  const auto key = fmt::format("{}/{}/{}", message->origin, message->revision,
                               message->digest);
  if (!message->origin.empty() && m_passed.insert(key).second) {
    if (m_passed.size() > kPassedKept) {
      m_passed.clear();
      m_passed.insert(key);
    }
    if (m_budget.TryConsume(aBody.size() * peer::kFanOut, Clock::now())) {
      m_fanOut.SendToChildren(peer::TreeRootedAt(message->origin),
                              wire::MessageType::Lists, aBody);
    }
  }
  // An answer from another failure domain is news to this one.
  m_relaying = !message->origin.empty() ||
               aSender.failureDomain == m_members.Self().failureDomain;
  m_lists.Install(message->document);
  m_relaying = false;
  if (message->revision == m_lists.Revision() &&
      message->digest != m_lists.Digest()) {
    // One of the two holds entries that the other has never seen.
    Ask(aSender.address);
  }
}

auto ListSpread::Answer(const std::string& aAddress,
                        const wire::ListsRequest& aRequest) -> void
{
  if (m_lists.Revision() == 0 || aRequest.haveDigest == m_lists.Digest()) {
    return;
  }
  const bool newer =
    aRequest.haveRevision > 0 && aRequest.haveRevision < m_lists.Revision();
  const wire::ListsMessage message{
    newer ? aRequest.haveRevision : 0,
    m_lists.Revision(),
    m_lists.Digest(),
    {},
    newer ? FormatLists(ChangesSince(*m_lists.Merged(), aRequest.haveRevision))
          : m_lists.Document()
  };
  if (!m_budget.TryConsume(message.document.size(), Clock::now())) {
    m_metrics.Add(Counter::ListsSendDeferred);
    return;
  }
  m_hub.SendMessage(aAddress, wire::MessageType::Lists, message);
}

auto ListSpread::Ask(const std::string& aAddress) -> void
{
  m_metrics.Add(Counter::ListsFetched);
  m_hub.SendMessage(aAddress, wire::MessageType::ListsRequest,
                    wire::ListsRequest{ m_lists.Revision(), m_lists.Digest() });
}

auto ListSpread::Lacks(std::uint64_t aRevision, std::uint64_t aDigest) const
  -> bool
{
  const auto mine = m_lists.Revision();
  return aRevision > mine ||
         (aRevision == mine && aRevision > 0 && aDigest != m_lists.Digest());
}

auto ListSpread::Compare(const std::string& aAddress, std::uint64_t aRevision,
                         std::uint64_t aDigest) -> void
{
  if (m_repairing || !Lacks(aRevision, aDigest)) {
    return;
  }
  m_repairing = true;
  Spawn(m_context, "lists-repair", AskLater(aAddress, aRevision, aDigest));
}

auto ListSpread::AskLater(std::string aAddress, std::uint64_t aRevision,
                          std::uint64_t aDigest) -> awaitable<void>
{
  std::uniform_int_distribution<Milliseconds::rep> jitter(0, kAskAfter.count());
  co_await Sleep(kAskAfter + Milliseconds(jitter(m_random)));
  m_repairing = false;
  if (Lacks(aRevision, aDigest)) {
    Ask(aAddress);
  }
}

} // namespace bramleylock::lists
