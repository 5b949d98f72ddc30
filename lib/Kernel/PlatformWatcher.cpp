// Watches of the platform while elected, and notices to the others about them.

#include "bramleylock/Kernel/PlatformWatcher.h"

#include "bramleylock/Support/Log.h"
#include "bramleylock/Support/Rendezvous.h"

namespace bramleylock::kernel {

using lists::StoreError;

static constexpr Milliseconds kWatchWait{ 10000 };
static constexpr Milliseconds kRetryStore{ 500 };
static constexpr Milliseconds kPollVms{ 1000 };
static constexpr Milliseconds kElectEvery{ 200 };
static constexpr Milliseconds kNoticeEvery{ 500 };

/// Every how many notices the watchers of other failure domains get one.
static constexpr std::uint64_t kAbroadEvery = 2;

/// The store counts as answering this long after its last answer.
static constexpr Milliseconds kAnswerFresh{ 5000 };

/// Longest time that a writer of newer lists waits, so that one of many goes
/// first and the others find its work done.
static constexpr Milliseconds kWriteBackJitter{ 500 };

PlatformWatcher::PlatformWatcher(PlatformView aView)
  : m_view(aView)
  , m_spread(aView.context, aView.lists, aView.hub, aView.members,
             aView.metrics)
  , m_vms(aView.hub, aView.members, aView.targets, aView.metrics)
  , m_fanOut(aView.hub, aView.members)
  , m_election(aView.members.Self().address)
  , m_elected(aView.context)
  , m_random(SecretNumber())
{
}

auto PlatformWatcher::Start() -> void
{
  m_spread.Start();
  m_vms.Start();
  m_view.hub.On(wire::MessageType::WatcherNotice,
                [this](const wire::Hello& aSender, const std::string& aBody) {
                  ReceiveNotice(aSender, aBody);
                });
  Spawn(m_view.context, "elect-watchers", ElectLoop());
  Spawn(m_view.context, "watcher-notices", NoticeLoop());
  Spawn(m_view.context, "watch-lists", WatchLists());
  Spawn(m_view.context, "watch-vms", WatchVms());
}

auto PlatformWatcher::OnTargets(std::function<void()> aListener) -> void
{
  m_vms.OnChange(std::move(aListener));
}

auto PlatformWatcher::Watching() const -> bool
{
  return m_watching;
}

auto PlatformWatcher::StoreAnswers() const -> bool
{
  return Clock::now() - std::max(m_answered, m_heardAnswered) <= kAnswerFresh;
}

auto PlatformWatcher::Answered() -> void
{
  m_answered = Clock::now();
  m_election.Answered(m_answered);
}

auto PlatformWatcher::OnHeartbeat(const peer::Member& aMember) -> void
{
  m_spread.Compare(aMember.address, aMember.latestHeartbeat.listsRevision,
                   aMember.latestHeartbeat.listsDigest);
  m_vms.AskIfEmpty(aMember.address);
}

auto PlatformWatcher::ElectLoop() -> awaitable<void>
{
  for (;;) {
    std::vector<std::string> others;
    for (const auto& member : m_view.members.AliveMembersInDomain()) {
      others.push_back(member.address);
    }
    const bool watching = m_election.ShouldWatch(others, Clock::now());
    if (watching && !m_watching) {
      if (!m_election.IsRegular()) {
        m_view.metrics.Add(Counter::WatchTakeover);
      }
      LogInfo("watch-started", {});
      m_elected.Notify();
    }
    m_watching = watching;
    co_await Sleep(kElectEvery);
  }
}

auto PlatformWatcher::UntilWatching() -> awaitable<void>
{
  while (!m_watching) {
    co_await m_elected.Wait();
  }
}

auto PlatformWatcher::PauseAfter(bool aFailed, Milliseconds aUsual)
  -> awaitable<void>
{
  // Spread over as much time again, so that balancers which failed together
  // do not come back together.
  const auto pause = aFailed ? kRetryStore : aUsual;
  auto jitter =
    std::uniform_int_distribution<Milliseconds::rep>(0, pause.count());
  co_await Sleep(aFailed ? pause + Milliseconds(jitter(m_random)) : pause);
}

auto PlatformWatcher::NoticeLoop() -> awaitable<void>
{
  for (;;) {
    co_await Sleep(kNoticeEvery);
    if (m_watching) {
      SendNotice();
    }
  }
}

auto PlatformWatcher::SendNotice() -> void
{
  const auto& self = m_view.members.Self();
  const wire::WatcherNotice notice{ self.address,
                                    self.incarnation,
                                    ++m_sequence,
                                    Clock::now() - m_answered <= kAnswerFresh,
                                    m_view.lists.Revision(),
                                    m_view.lists.Digest(),
                                    m_vms.Digest() };
  const auto body = wire::PackBody(notice);
  m_fanOut.SendToChildren(peer::TreeRootedAt(self.address),
                          wire::MessageType::WatcherNotice, body);
  if (m_election.IsRegular() && m_sequence % kAbroadEvery == 0) {
    SendNoticeAbroad(body);
  }
}

auto PlatformWatcher::SendNoticeAbroad(const std::string& aBody) -> void
{
  std::map<std::string, std::vector<std::string>> domains;
  for (const auto& member : m_view.members.AliveMembers()) {
    if (member.failureDomain != m_view.members.Self().failureDomain) {
      domains[member.failureDomain].push_back(member.address);
    }
  }
  for (auto& [domain, addresses] : domains) {
    const auto turn = m_sequence / kAbroadEvery;
    const auto order = RendezvousOrder("relay", std::move(addresses));
    const auto& relay = order[turn % std::min(order.size(), lists::kWatchers)];
    m_view.hub.Send(relay, wire::MessageType::WatcherNotice, aBody);
  }
}

auto PlatformWatcher::ReceiveNotice(const wire::Hello& aSender,
                                    const std::string& aBody) -> void
{
  const auto notice = wire::UnpackBody<wire::WatcherNotice>(aBody);
  if (!notice || !m_seen.RecordIfNew(notice->origin, notice->incarnation,
                                     notice->sequence)) {
    return;
  }
  m_spread.Compare(aSender.address, notice->listsRevision, notice->listsDigest);
  if (notice->storeAnswers) {
    m_heardAnswered = Clock::now();
  }
  if (aSender.failureDomain != m_view.members.Self().failureDomain) {
    return;
  }
  if (notice->storeAnswers) {
    m_election.Heard(notice->origin, Clock::now());
  }
  m_vms.Compare(aSender.address, notice->vmsDigest);
  m_fanOut.SendToChildren(peer::TreeRootedAt(notice->origin),
                          wire::MessageType::WatcherNotice, aBody);
}

auto PlatformWatcher::WatchLists() -> awaitable<void>
{
  for (;;) {
    co_await UntilWatching();
    std::error_code error;
    auto stored = co_await m_view.store.Watch(lists::kListsKey, m_storeRevision,
                                              kWatchWait, error);
    if (error && error != StoreError::NotFound) {
      co_await PauseAfter(true, kRetryStore);
      continue;
    }
    Answered();
    const bool settled = co_await TakeStored(std::move(stored.value));
    if (!settled) {
      m_storeRevision = 0;
      co_await PauseAfter(true, kRetryStore);
      continue;
    }
    m_storeRevision = stored.revision;
  }
}

/// Installs what the store holds; when that is behind the lists in force, the
/// store gets those. False when the store has to be read again.
auto PlatformWatcher::TakeStored(std::string aDocument) -> awaitable<bool>
{
  if (!aDocument.empty()) {
    m_view.lists.Install(aDocument);
  }
  if (m_view.lists.Revision() == 0) {
    co_return false;
  }
  if (m_view.editor.Holds(aDocument)) {
    co_return true;
  }
  m_view.metrics.Add(Counter::ListsStoreOlder);
  LogError("store-older",
           { { "in_force", std::to_string(m_view.lists.Revision()) } });
  std::uniform_int_distribution<Milliseconds::rep> jitter(
    0, kWriteBackJitter.count());
  co_await Sleep(Milliseconds(jitter(m_random)));
  co_await m_view.editor.WriteBack();
  co_return false;
}

auto PlatformWatcher::WatchVms() -> awaitable<void>
{
  for (;;) {
    co_await UntilWatching();
    std::error_code error;
    const auto vms = co_await m_view.store.ListVms(error);
    if (!error) {
      Answered();
      m_vms.TakePolled(vms);
    }
    co_await PauseAfter(static_cast<bool>(error), kPollVms);
  }
}

} // namespace bramleylock::kernel
