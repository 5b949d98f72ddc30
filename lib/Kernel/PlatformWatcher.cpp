// Watches of the platform, and repair from peers.

#include "bramleylock/Kernel/PlatformWatcher.h"

#include "bramleylock/Support/Log.h"

namespace bramleylock::kernel {

static constexpr Milliseconds kWatchWait{ 10000 };
static constexpr Milliseconds kRetryStore{ 500 };
static constexpr Milliseconds kPollVms{ 1000 };

PlatformWatcher::PlatformWatcher(asio::io_context& aContext,
                                 lists::PlatformStore& aStore,
                                 lists::ListKeeper& aLists, peer::PeerHub& aHub,
                                 peer::Membership& aMembers,
                                 target::TargetTable& aTargets)
  : m_context(aContext)
  , m_store(aStore)
  , m_lists(aLists)
  , m_hub(aHub)
  , m_members(aMembers)
  , m_targets(aTargets)
{
}

auto PlatformWatcher::Start() -> void
{
  ListenToPeers();
  Spawn(m_context, "watch-lists", WatchLists());
  Spawn(m_context, "watch-vms", WatchVms());
}

auto PlatformWatcher::ListenToPeers() -> void
{
  m_hub.On(wire::MessageType::Lists,
           [this](const wire::Hello&, const std::string& aBody) {
             if (auto message = wire::UnpackBody<wire::ListsMessage>(aBody)) {
               m_lists.Install(message->revision, message->document);
             }
           });
  m_hub.On(wire::MessageType::ListsRequest,
           [this](const wire::Hello& aSender, const std::string& aBody) {
             const auto request = wire::UnpackBody<wire::ListsRequest>(aBody);
             if (request && request->haveRevision < m_lists.Revision()) {
               SendLists(aSender.address);
             }
           });
}

auto PlatformWatcher::SendLists(const std::string& aAddress) -> void
{
  m_hub.SendMessage(
    aAddress, wire::MessageType::Lists,
    wire::ListsMessage{ m_lists.Revision(), m_lists.Document() });
}

auto PlatformWatcher::OnHeartbeat(const peer::Member& aMember) -> void
{
  const auto theirs = aMember.latest.listsRevision;
  if (theirs < m_lists.Revision()) {
    SendLists(aMember.address);
  }
  if (theirs > m_lists.Revision()) {
    m_hub.SendMessage(aMember.address, wire::MessageType::ListsRequest,
                      wire::ListsRequest{ m_lists.Revision() });
  }
}

auto PlatformWatcher::OnTargets(std::function<void()> aListener) -> void
{
  m_onTargets = std::move(aListener);
}

auto PlatformWatcher::WatchLists() -> awaitable<void>
{
  for (;;) {
    std::error_code error;
    const auto stored = co_await m_store.Watch(
      lists::kListsKey, m_lists.Revision(), kWatchWait, error);
    if (error) {
      co_await Sleep(kRetryStore);
      continue;
    }
    if (stored.revision < m_lists.Revision()) {
      // Counted and logged by the keeper; do not spin on a restored store.
      m_lists.Install(stored.revision, stored.value);
      co_await Sleep(kRetryStore);
      continue;
    }
    m_lists.Install(stored.revision, stored.value);
  }
}

auto PlatformWatcher::WatchVms() -> awaitable<void>
{
  for (;;) {
    std::error_code error;
    const auto vms = co_await m_store.ListVms(error);
    if (!error) {
      std::vector<peer::MemberHint> members;
      std::vector<target::TargetHint> targets;
      for (const auto& vm : vms) {
        if (vm.role == lists::VmRole::Balancer) {
          members.push_back({ vm.name, vm.failureDomain, vm.address });
          continue;
        }
        targets.push_back(
          { vm.address, vm.service, vm.failureDomain, vm.leaving });
      }
      m_members.SetHints(members);
      m_targets.SetTargets(targets);
      if (m_onTargets) {
        m_onTargets();
      }
    }
    co_await Sleep(kPollVms);
  }
}

} // namespace bramleylock::kernel
