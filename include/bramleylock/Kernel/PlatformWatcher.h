// Keeps the lists and the VM list up to date with the platform's store.
#pragma once

#include <functional>

#include "bramleylock/Kernel/VmSpread.h"
#include "bramleylock/Lists/ListEditor.h"
#include "bramleylock/Lists/ListSpread.h"
#include "bramleylock/Lists/PlatformStore.h"
#include "bramleylock/Lists/WatcherElection.h"
#include "bramleylock/Support/Random.h"

namespace bramleylock::kernel {

/// Components that the watcher uses; they must outlive it.
struct PlatformView
{
  asio::io_context& context;
  Metrics& metrics;
  lists::PlatformStore& store;
  lists::ListKeeper& lists;
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
  explicit PlatformWatcher(PlatformView aView);

  auto Start() -> void;

  /// Compares the lists revision and digest that a peer reports with the local
  /// ones, and requests the VM list from it when none is known here.
  auto OnHeartbeat(const peer::Member& aMember) -> void;

  /// Sets a listener that is called after the targets were updated from the VM
  /// list.
  auto OnTargets(std::function<void()> aListener) -> void;

  /// Whether this balancer watches the platform's store now.
  auto Watching() const -> bool;

  /// Whether the store recently answered this balancer, or a watcher whose
  /// notice it received.
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
  lists::ListSpread m_spread;
  VmSpread m_vms;
  peer::FanOut m_fanOut;
  peer::SeenMessages m_seen;
  lists::WatcherElection m_election;
  Signal m_elected;
  Random m_random;
  bool m_watching = true;
  std::uint64_t m_sequence = 0;
  std::uint64_t m_storeRevision = 0;
  Clock::time_point m_answered{};
  Clock::time_point m_heardAnswered{};
};

} // namespace bramleylock::kernel
