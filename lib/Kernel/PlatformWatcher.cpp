// Watches of the platform's store, and notices to peers about their results.

#include "bramleylock/Kernel/PlatformWatcher.h"

#include "bramleylock/Support/Log.h"
#include "bramleylock/Support/Rendezvous.h"

namespace bramleylock::kernel {

using lists::StoreError;

static constexpr Milliseconds kWatchTimeout{ 10000 };
static constexpr Milliseconds kStoreRetryInterval{ 500 };
static constexpr Milliseconds kVmPollInterval{ 1000 };
static constexpr Milliseconds kElectionInterval{ 200 };
static constexpr Milliseconds kNoticeInterval{ 500 };

/// One of this many notices is also sent to the other failure domains.
static constexpr std::uint64_t kNoticesPerRemoteNotice = 2;

/// The store is considered available for this long after its last answer.
static constexpr Milliseconds kStoreAnswerLifetime{ 5000 };

/// Maximum random delay before newer lists are written back to the store. Due
/// to it, one of several watchers writes first and the others find the lists
/// written.
static constexpr Milliseconds kMaxWriteBackDelay{ 500 };

PlatformWatcher::PlatformWatcher(PlatformWatcherComponents aComponents)
  : m_components(aComponents)
  , m_listReplicator(aComponents.context, aComponents.lists, aComponents.hub,
                     aComponents.members, aComponents.metrics)
  , m_vmListDistributor(aComponents.hub, aComponents.members,
                        aComponents.targets, aComponents.metrics)
  , m_fanOut(aComponents.hub, aComponents.members)
  , m_election(aComponents.members.Self().address)
  , m_watchingStarted(aComponents.context)
  , m_random(SecureRandomNumber())
{
}

auto PlatformWatcher::Start() -> void
{
  m_listReplicator.Start();
  m_vmListDistributor.Start();
  m_components.hub.On(
    wire::MessageType::WatcherNotice,
    [this](const wire::Hello& aSender, const std::string& aBody) {
      ReceiveNotice(aSender, aBody);
    });
  Spawn(m_components.context, "elect-watchers", ElectionLoop());
  Spawn(m_components.context, "watcher-notices", NoticeLoop());
  Spawn(m_components.context, "watch-lists", WatchLists());
  Spawn(m_components.context, "watch-vms", PollVmList());
}

auto PlatformWatcher::OnTargetsChanged(std::function<void()> aListener) -> void
{
  m_vmListDistributor.OnChange(std::move(aListener));
}

auto PlatformWatcher::IsWatching() const -> bool
{
  return m_watching;
}

auto PlatformWatcher::IsStoreAnswering() const -> bool
{
  return Clock::now() - std::max(m_storeAnsweredAt, m_storeAnswerNoticedAt) <=
         kStoreAnswerLifetime;
}

auto PlatformWatcher::RecordStoreAnswer() -> void
{
  m_storeAnsweredAt = Clock::now();
  m_election.RecordStoreAnswer(m_storeAnsweredAt);
}

auto PlatformWatcher::OnHeartbeat(const peer::Member& aMember) -> void
{
  m_listReplicator.CompareWithPeer(aMember.address,
                                   aMember.latestHeartbeat.listsRevision,
                                   aMember.latestHeartbeat.listsDigest);
  m_vmListDistributor.RequestIfEmpty(aMember.address);
}

auto PlatformWatcher::ElectionLoop() -> awaitable<void>
{
  for (;;) {
    std::vector<std::string> others;
    for (const auto& member : m_components.members.AliveMembersInDomain()) {
      others.push_back(member.address);
    }
    const bool watching = m_election.ShouldWatch(others, Clock::now());
    if (watching && !m_watching) {
      if (!m_election.IsPrimary()) {
        m_components.metrics.Add(Counter::WatchTakeover);
      }
      LogInfo("watch-started", {});
      m_watchingStarted.NotifyAll();
    }
    m_watching = watching;
    co_await Sleep(kElectionInterval);
  }
}

auto PlatformWatcher::WaitUntilWatching() -> awaitable<void>
{
  while (!m_watching) {
    co_await m_watchingStarted.Wait();
  }
}

auto PlatformWatcher::PauseAfterCall(bool aFailed, Milliseconds aInterval)
  -> awaitable<void>
{
  // A random delay of up to the same length is added, so that balancers whose
  // calls failed at the same time do not retry at the same time.
  const auto pause = aFailed ? kStoreRetryInterval : aInterval;
  auto jitter =
    std::uniform_int_distribution<Milliseconds::rep>(0, pause.count());
  co_await Sleep(aFailed ? pause + Milliseconds(jitter(m_random)) : pause);
}

auto PlatformWatcher::NoticeLoop() -> awaitable<void>
{
  for (;;) {
    co_await Sleep(kNoticeInterval);
    if (m_watching) {
      SendNotice();
    }
  }
}

auto PlatformWatcher::SendNotice() -> void
{
  const auto& self = m_components.members.Self();
  const wire::WatcherNotice notice{ self.address,
                                    self.incarnation,
                                    ++m_noticeSequence,
                                    Clock::now() - m_storeAnsweredAt <=
                                      kStoreAnswerLifetime,
                                    m_components.lists.Revision(),
                                    m_components.lists.Digest(),
                                    m_vmListDistributor.Digest() };
  const auto body = wire::PackBody(notice);
  m_fanOut.SendToChildren(peer::TreeRootedAt(self.address),
                          wire::MessageType::WatcherNotice, body);
  if (m_election.IsPrimary() &&
      m_noticeSequence % kNoticesPerRemoteNotice == 0) {
    SendNoticeToOtherDomains(body);
  }
}

auto PlatformWatcher::SendNoticeToOtherDomains(const std::string& aBody) -> void
{
  std::map<std::string, std::vector<std::string>> domains;
  for (const auto& member : m_components.members.AliveMembers()) {
    if (member.failureDomain != m_components.members.Self().failureDomain) {
      domains[member.failureDomain].push_back(member.address);
    }
  }
  for (auto& [domain, addresses] : domains) {
    const auto relayTurn = m_noticeSequence / kNoticesPerRemoteNotice;
    const auto relayOrder = RendezvousOrder("relay", std::move(addresses));
    const auto& relay =
      relayOrder[relayTurn %
                 std::min(relayOrder.size(), lists::kWatchersPerDomain)];
    m_components.hub.Send(relay, wire::MessageType::WatcherNotice, aBody);
  }
}

auto PlatformWatcher::ReceiveNotice(const wire::Hello& aSender,
                                    const std::string& aBody) -> void
{
  const auto notice = wire::UnpackBody<wire::WatcherNotice>(aBody);
  if (!notice || !m_seenNotices.RecordIfNew(notice->origin, notice->incarnation,
                                            notice->sequence)) {
    return;
  }
  m_listReplicator.CompareWithPeer(aSender.address, notice->listsRevision,
                                   notice->listsDigest);
  if (notice->storeAnswers) {
    m_storeAnswerNoticedAt = Clock::now();
  }
  if (aSender.failureDomain != m_components.members.Self().failureDomain) {
    return;
  }
  if (notice->storeAnswers) {
    m_election.RecordWatcherReport(notice->origin, Clock::now());
  }
  m_vmListDistributor.CompareWithPeer(aSender.address, notice->vmsDigest);
  m_fanOut.SendToChildren(peer::TreeRootedAt(notice->origin),
                          wire::MessageType::WatcherNotice, aBody);
}

auto PlatformWatcher::WatchLists() -> awaitable<void>
{
  for (;;) {
    co_await WaitUntilWatching();
    std::error_code error;
    auto stored = co_await m_components.store.Watch(
      lists::kListsKey, m_storeRevision, kWatchTimeout, error);
    if (error && error != StoreError::NotFound) {
      co_await PauseAfterCall(true, kStoreRetryInterval);
      continue;
    }
    RecordStoreAnswer();
    const bool upToDate = co_await InstallOrWriteBack(std::move(stored.value));
    if (!upToDate) {
      m_storeRevision = 0;
      co_await PauseAfterCall(true, kStoreRetryInterval);
      continue;
    }
    m_storeRevision = stored.revision;
  }
}

/// Installs the lists read from the store. If they are older than the lists in
/// force, writes the lists in force back to the store. Returns false when the
/// store has to be read again.
auto PlatformWatcher::InstallOrWriteBack(std::string aDocument)
  -> awaitable<bool>
{
  if (!aDocument.empty()) {
    m_components.lists.Install(aDocument);
  }
  if (m_components.lists.Revision() == 0) {
    co_return false;
  }
  if (m_components.editor.MatchesMergedLists(aDocument)) {
    co_return true;
  }
  m_components.metrics.Add(Counter::ListsStoreOlder);
  LogError("store-older",
           { { "in_force", std::to_string(m_components.lists.Revision()) } });
  std::uniform_int_distribution<Milliseconds::rep> jitter(
    0, kMaxWriteBackDelay.count());
  co_await Sleep(Milliseconds(jitter(m_random)));
  co_await m_components.editor.WriteBack();
  co_return false;
}

auto PlatformWatcher::PollVmList() -> awaitable<void>
{
  for (;;) {
    co_await WaitUntilWatching();
    std::error_code error;
    const auto vms = co_await m_components.store.ListVms(error);
    if (!error) {
      RecordStoreAnswer();
      m_vmListDistributor.UpdateFromPoll(vms);
    }
    co_await PauseAfterCall(static_cast<bool>(error), kVmPollInterval);
  }
}

} // namespace bramleylock::kernel
