// Keeps the lists and the VM list current.
#pragma once

#include <functional>

#include "bramleylock/Kernel/VmSpread.h"
#include "bramleylock/Lists/ListEditor.h"
#include "bramleylock/Lists/ListReplicator.h"
#include "bramleylock/Lists/PlatformStore.h"
#include "bramleylock/Lists/WatcherElection.h"
#include "bramleylock/Support/Random.h"

namespace bramleylock::kernel {

/// What the watcher works with; the balancer outlives it.
struct PlatformView
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

/// Follows the platform when it is this balancer's turn, and hears from peers
/// what others of the failure domain read there.
class PlatformWatcher
{
public:
  explicit PlatformWatcher(PlatformView aView);

  auto Start() -> void;

  /// Compares what a peer said it has with what is here.
  auto OnHeartbeat(const peer::Member& aMember) -> void;

  /// Calls aListener after the targets were read from the VM list.
  auto OnTargets(std::function<void()> aListener) -> void;

  /// Whether this balancer holds the platform's watches now.
  auto Watching() const -> bool;

  /// Whether the store answered this balancer, or a watcher that it heard,
  /// lately.
  auto StoreAnswers() const -> bool;

private:
  auto ElectLoop() -> awaitable<void>;
  auto NoticeLoop() -> awaitable<void>;
  auto SendNotice() -> void;
  auto SendNoticeAbroad(const std::string& aBody) -> void;
  auto ReceiveNotice(const wire::Hello& aSender, const std::string& aBody)
    -> void;
  auto WatchLists() -> awaitable<void>;
  auto TakeStored(std::string aDocument) -> awaitable<bool>;
  auto WatchVms() -> awaitable<void>;
  auto UntilWatching() -> awaitable<void>;
  auto PauseAfter(bool aFailed, Milliseconds aUsual) -> awaitable<void>;
  auto Answered() -> void;

  PlatformView m_view;
  lists::ListReplicator m_spread;
  VmSpread m_vms;
  peer::FanOut m_fanOut;
  peer::SeenMessages m_seen;
  lists::WatcherElection m_election;
  ConditionVariable m_elected;
  Random m_random;
  bool m_watching = true;
  std::uint64_t m_sequence = 0;
  std::uint64_t m_storeRevision = 0;
  Clock::time_point m_answered{};
  Clock::time_point m_heardAnswered{};
};

} // namespace bramleylock::kernel
