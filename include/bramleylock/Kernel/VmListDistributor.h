// Distribution of the platform's VM list from watchers to other balancers.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "bramleylock/Lists/PlatformStore.h"
#include "bramleylock/Peer/FanOut.h"
#include "bramleylock/Peer/PeerHub.h"
#include "bramleylock/Target/TargetTable.h"

namespace bramleylock::kernel {

/// Holds the rows of the VM list, and passes them to the membership and the
/// target table.
class VmListDistributor
{
public:
  VmListDistributor(peer::PeerHub& aHub, peer::Membership& aMembers,
                    target::TargetTable& aTargets, Metrics& aMetrics);

  auto Start() -> void;

  /// Takes a VM list just read from the platform, and sends the differences
  /// from this balancer's previous read to the peers.
  auto UpdateFromPoll(const std::vector<lists::PlatformVm>& aVms) -> void;

  /// Compares a peer's digest with the local one, and requests the whole list
  /// from the peer when the digests keep differing.
  auto CompareWithPeer(const std::string& aAddress, std::uint64_t aDigest)
    -> void;

  /// Requests the whole list from a peer when no rows are known here.
  auto RequestIfEmpty(const std::string& aAddress) -> void;

  /// Digest of the rows; 0 while there are none.
  auto Digest() const -> std::uint64_t;

  /// Sets a listener that is called after the rows have changed.
  auto OnChange(std::function<void()> aListener) -> void;

private:
  using Rows = std::map<std::string, wire::VmEntry>;

  auto ReceiveRows(const wire::Hello& aSender, const std::string& aBody)
    -> void;
  auto SendWholeList(const std::string& aAddress) -> void;
  auto RequestWholeList(const std::string& aAddress) -> void;
  auto ApplyRows() -> void;

  peer::PeerHub& m_hub;
  peer::Membership& m_members;
  target::TargetTable& m_targets;
  Metrics& m_metrics;
  peer::FanOut m_fanOut;
  peer::SeenMessages m_seenChanges;
  peer::ByteRateLimiter m_answerRateLimiter;
  Rows m_rows;
  Rows m_lastPolled;
  std::uint64_t m_sequence = 0;
  std::uint64_t m_digest = 0;
  Clock::time_point m_requestedAt{};
  /// Time since which the digests differ; the epoch while they agree.
  Clock::time_point m_differingSince{};
  std::function<void()> m_onChange;
};

} // namespace bramleylock::kernel
