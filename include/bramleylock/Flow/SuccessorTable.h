// Records of owners whose flows were handed over to a successor.
#pragma once

#include <map>
#include <optional>
#include <set>

#include "bramleylock/Flow/Environment.h"

namespace bramleylock::flow {

/// The owner named in aToken.
auto OwnerOf(const wire::FlowToken& aToken) -> wire::Owner;

/// The owner that aSelf, a balancer's identity, denotes.
auto OwnerOf(const wire::Hello& aSelf) -> wire::Owner;

/// Maps each stopped owner to the successor that took over its flows. The
/// number of records and their lifetime are bounded. Every balancer keeps the
/// records of all owners, because any packet may reach any balancer.
class SuccessorTable
{
public:
  SuccessorTable(Environment& aEnvironment, std::chrono::seconds aRetention);

  /// Starts receiving peers' records and periodically requests missing ones.
  auto Start() -> void;

  /// The owner that holds the flows of aOwner now: aOwner itself unless a
  /// record says that it has handed them over.
  auto Resolve(const wire::Owner& aOwner) const -> wire::Owner;

  /// Records aSuccessor as the successor of this balancer and sends the record
  /// to every known live peer until all of them have acknowledged it or
  /// aDeadline has passed.
  auto Announce(wire::Owner aSuccessor, Clock::time_point aDeadline)
    -> awaitable<void>;

  auto Size() const -> std::size_t;

private:
  struct Record
  {
    wire::Owner successor;
    Clock::time_point expiresAt{};
  };

  auto Add(const wire::SuccessorRecord& aRecord) -> bool;
  auto RelayToDomain(const std::string& aFailureDomain,
                     const wire::SuccessorRecords& aAddedRecords) -> void;
  auto RegisterHandlers() -> void;
  auto SendRecords(const std::string& aAddress) -> void;
  auto SyncLoop() -> awaitable<void>;
  auto Expire() -> void;
  auto Digest() const -> std::uint64_t;

  Environment& m_environment;
  std::chrono::seconds m_retention;
  std::map<wire::Owner, Record> m_records;
  /// Addresses of peers that have acknowledged this balancer's own record.
  std::set<std::string> m_acknowledgedBy;
  std::size_t m_nextPeer = 0;
};

} // namespace bramleylock::flow
