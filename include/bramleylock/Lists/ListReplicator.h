// Dissemination of the lists between balancers, with repair of lost messages.
#pragma once

#include <set>
#include <string>
#include <utility>

#include "bramleylock/Lists/ListReplica.h"
#include "bramleylock/Peer/FanOut.h"
#include "bramleylock/Peer/PeerHub.h"
#include "bramleylock/Support/Random.h"

namespace bramleylock::lists {

/// Pushes changed lists to peers as soon as they are installed, and compares
/// revisions and digests with peers, so that a balancer that missed a push
/// requests the lists.
class ListReplicator
{
public:
  ListReplicator(asio::io_context& aContext, ListReplica& aLists,
                 peer::PeerHub& aHub, peer::Membership& aMembers,
                 Metrics& aMetrics);

  /// Registers the message handlers and the installation listener.
  auto Start() -> void;

  /// Compares the revision and digest that a peer reports with those of the
  /// lists in force here, and requests the lists from it if they are missing
  /// here.
  auto CompareWithPeer(const std::string& aAddress, std::uint64_t aRevision,
                       std::uint64_t aDigest) -> void;

private:
  auto PushInstalled() -> void;
  auto HandleLists(const wire::Hello& aSender, const std::string& aBody)
    -> void;
  auto HandleListsRequest(const std::string& aAddress,
                          const wire::ListsRequest& aRequest) -> void;
  auto RequestLists(const std::string& aAddress) -> void;
  auto IsBehind(std::uint64_t aRevision, std::uint64_t aDigest) const -> bool;
  auto RequestListsAfterDelay(std::string aAddress, std::uint64_t aRevision,
                              std::uint64_t aDigest) -> awaitable<void>;

  asio::io_context& m_context;
  ListReplica& m_lists;
  peer::PeerHub& m_hub;
  peer::Membership& m_members;
  Metrics& m_metrics;
  peer::FanOut m_fanOut;
  peer::ByteRateLimiter m_rateLimiter;
  /// Revision after the last installation, which is the base of the next push.
  std::uint64_t m_previousRevision = 0;
  /// Recently forwarded messages, by origin, revision and digest.
  std::set<std::string> m_forwarded;
  /// Set while lists from a message are installed that need no push of their
  /// own.
  bool m_skipPush = false;
  Random m_random;
  /// Set while a repair waits, as the push may still arrive.
  bool m_repairPending = false;
};

} // namespace bramleylock::lists
