// Keeps the lists and the VM list up to date with the platform's store.
#pragma once

#include <functional>

#include "bramleylock/Kernel/VmListDistributor.h"
#include "bramleylock/Lists/ListEditor.h"
#include "bramleylock/Lists/ListReplicator.h"
#include "bramleylock/Lists/PlatformStore.h"
#include "bramleylock/Lists/WatcherElection.h"
#include "bramleylock/Support/Random.h"

namespace bramleylock::kernel {

/// Components that the watcher uses; they must outlive it.
struct PlatformWatcherComponents
{
  asio::io_context& context;
  Metrics& metrics;
  lists::PlatformStore& store;
  lists::ListReplica& lists;
  lists::ListEditor& editor;
  peer::PeerHub& hub;
  peer::Membership& members;
  target::TargetTable& targets;
};

/// Watches the platform's store while this balancer is elected as a watcher,
/// and otherwise receives from peers what the watchers of its failure domain
/// read.
class PlatformWatcher
{
public:
  explicit PlatformWatcher(PlatformWatcherComponents aComponents);

  auto Start() -> void;

  /// Compares the lists revision and digest that a peer reports with the local
  /// ones, and requests the VM list from it when none is known here.
  auto OnHeartbeat(const peer::Member& aMember) -> void;

  /// Sets a listener that is called after the targets were updated from the VM
  /// list.
  auto OnTargetsChanged(std::function<void()> aListener) -> void;

  /// Whether this balancer watches the platform's store now.
  auto IsWatching() const -> bool;

  /// Whether the store recently answered this balancer, or a watcher whose
  /// notice it received.
  auto IsStoreAnswering() const -> bool;

private:
  auto ElectionLoop() -> awaitable<void>;
  auto NoticeLoop() -> awaitable<void>;
  auto SendNotice() -> void;
  auto SendNoticeToOtherDomains(const std::string& aBody) -> void;
  auto ReceiveNotice(const wire::Hello& aSender, const std::string& aBody)
    -> void;
  auto WatchLists() -> awaitable<void>;
  auto InstallOrWriteBack(std::string aDocument) -> awaitable<bool>;
  auto PollVmList() -> awaitable<void>;
  auto WaitUntilWatching() -> awaitable<void>;
  auto PauseAfterCall(bool aFailed, Milliseconds aInterval) -> awaitable<void>;
  auto RecordStoreAnswer() -> void;

  PlatformWatcherComponents m_components;
  lists::ListReplicator m_listReplicator;
  VmListDistributor m_vmListDistributor;
  peer::FanOut m_fanOut;
  peer::SeenMessages m_seenNotices;
  lists::WatcherElection m_election;
  ConditionVariable m_watchingStarted;
  Random m_random;
  bool m_watching = true;
  std::uint64_t m_noticeSequence = 0;
  std::uint64_t m_storeRevision = 0;
  Clock::time_point m_storeAnsweredAt{};
  Clock::time_point m_storeAnswerNoticedAt{};
};

} // namespace bramleylock::kernel
