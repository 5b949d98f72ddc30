// The platform's VM list as watchers read it and others hear it.
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

/// Keeps the rows of the VM list, and hands them to the members and targets.
class VmSpread
{
public:
  VmSpread(peer::PeerHub& aHub, peer::Membership& aMembers,
           target::TargetTable& aTargets, Metrics& aMetrics);

  auto Start() -> void;

  /// Takes a list that the platform has just answered, and passes on what
  /// differs from its last answer to this balancer.
  auto TakePolled(const std::vector<lists::PlatformVm>& aVms) -> void;

  /// Compares a peer's digest with the rows here, and asks for the whole list
  /// when they go on differing.
  auto Compare(const std::string& aAddress, std::uint64_t aDigest) -> void;

  /// Asks for the whole list when there is none here.
  auto AskIfEmpty(const std::string& aAddress) -> void;

  /// 0 while there are no rows.
  auto Digest() const -> std::uint64_t;

  /// Calls aListener after the rows changed.
  auto OnChange(std::function<void()> aListener) -> void;

private:
  using Rows = std::map<std::string, wire::VmEntry>;

  auto Receive(const wire::Hello& aSender, const std::string& aBody) -> void;
  auto Answer(const std::string& aAddress) -> void;
  auto Ask(const std::string& aAddress) -> void;
  auto Apply() -> void;

  peer::PeerHub& m_hub;
  peer::Membership& m_members;
  target::TargetTable& m_targets;
  Metrics& m_metrics;
  peer::FanOut m_fanOut;
  peer::SeenMessages m_seen;
  peer::ByteRateLimiter m_budget;
  Rows m_rows;
  Rows m_polled;
  std::uint64_t m_sequence = 0;
  std::uint64_t m_digest = 0;
  Clock::time_point m_asked{};
  /// Since when digests differ; the epoch while they agree.
  Clock::time_point m_differing{};
  std::function<void()> m_onChange;
};

} // namespace bramleylock::kernel
