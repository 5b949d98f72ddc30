// Keeps the lists and the VM list current.
#pragma once

#include <functional>

#include "bramleylock/Lists/ListKeeper.h"
#include "bramleylock/Lists/PlatformStore.h"
#include "bramleylock/Peer/Membership.h"
#include "bramleylock/Peer/PeerHub.h"
#include "bramleylock/Target/TargetTable.h"

namespace bramleylock::kernel {

/// Follows the platform's store, and hears from peers what it cannot get
/// there.
class PlatformWatcher
{
public:
  PlatformWatcher(asio::io_context& aContext, lists::PlatformStore& aStore,
                  lists::ListKeeper& aLists, peer::PeerHub& aHub,
                  peer::Membership& aMembers, target::TargetTable& aTargets);

  auto Start() -> void;

  /// Compares what a peer said it has with what is here.
  auto OnHeartbeat(const peer::Member& aMember) -> void;

  /// Calls aListener after the targets were read from the VM list.
  auto OnTargets(std::function<void()> aListener) -> void;

private:
  auto WatchLists() -> awaitable<void>;
  auto WatchVms() -> awaitable<void>;
  auto SendLists(const std::string& aAddress) -> void;
  auto ListenToPeers() -> void;

  asio::io_context& m_context;
  lists::PlatformStore& m_store;
  lists::ListKeeper& m_lists;
  peer::PeerHub& m_hub;
  peer::Membership& m_members;
  target::TargetTable& m_targets;
  std::function<void()> m_onTargets;
};

} // namespace bramleylock::kernel
