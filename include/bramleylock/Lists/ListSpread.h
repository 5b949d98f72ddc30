// Spreading of the lists between balancers, and its repair.
#pragma once

#include <set>
#include <string>
#include <utility>

#include "bramleylock/Lists/ListKeeper.h"
#include "bramleylock/Peer/FanOut.h"
#include "bramleylock/Peer/PeerHub.h"
#include "bramleylock/Support/Random.h"

namespace bramleylock::lists {

/// Passes new lists on at once, and compares revisions and digests with peers
/// so that whoever missed them asks for them.
class ListSpread
{
public:
  ListSpread(asio::io_context& aContext, ListKeeper& aLists,
             peer::PeerHub& aHub, peer::Membership& aMembers,
             Metrics& aMetrics);

  /// Starts handling messages and following installations.
  auto Start() -> void;

  /// Compares what a peer says it holds with what is in force here, and asks
  /// for what is missing.
  auto Compare(const std::string& aAddress, std::uint64_t aRevision,
               std::uint64_t aDigest) -> void;

private:
  auto PassOnInstalled() -> void;
  auto Receive(const wire::Hello& aSender, const std::string& aBody) -> void;
  auto Answer(const std::string& aAddress, const wire::ListsRequest& aRequest)
    -> void;
  auto Ask(const std::string& aAddress) -> void;
  auto Lacks(std::uint64_t aRevision, std::uint64_t aDigest) const -> bool;
  auto AskLater(std::string aAddress, std::uint64_t aRevision,
                std::uint64_t aDigest) -> awaitable<void>;

  asio::io_context& m_context;
  ListKeeper& m_lists;
  peer::PeerHub& m_hub;
  peer::Membership& m_members;
  Metrics& m_metrics;
  peer::FanOut m_fanOut;
  peer::ByteRateLimiter m_budget;
  /// Revision and digest of what this balancer held before the last
  /// installation.
  std::uint64_t m_previousRevision = 0;
  /// What was passed on lately, by origin, revision and digest.
  std::set<std::string> m_passed;
  /// Set while an installation came in a message that is passed on as it is.
  bool m_relaying = false;
  Random m_random;
  /// Set while a repair waits for the push to come by itself.
  bool m_repairing = false;
};

} // namespace bramleylock::lists
