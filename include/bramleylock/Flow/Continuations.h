// Which owners' flows continue at another owner.
#pragma once

#include <map>
#include <optional>
#include <set>

#include "bramleylock/Flow/Environment.h"

namespace bramleylock::flow {

/// The owner that a token names.
auto OwnerOf(const wire::FlowToken& aToken) -> wire::Owner;

/// This balancer as an owner.
auto OwnerOf(const wire::Hello& aSelf) -> wire::Owner;

/// Keeps the records "A continues at B" that stopped owners left, bounded in
/// count and in time. Every balancer keeps them, because any packet may reach
/// any balancer.
class Continuations
{
public:
  Continuations(Environment& aEnvironment, std::chrono::seconds aKeep);

  /// Takes peers' records and asks peers for those that it missed.
  auto Start() -> void;

  /// The owner at which the flows of aOwner are now: aOwner itself when it has
  /// not handed them over.
  auto Resolve(const wire::Owner& aOwner) const -> wire::Owner;

  /// Records that this balancer's flows continue at aSuccessor, and tells every
  /// live peer that it knows until all of them have answered or aLimit has
  /// come.
  auto Announce(wire::Owner aSuccessor, Clock::time_point aLimit)
    -> awaitable<void>;

  auto Size() const -> std::size_t;

private:
  struct Record
  {
    wire::Owner to;
    Clock::time_point keepUntil{};
  };

  auto Add(const wire::Continuation& aContinuation) -> bool;
  auto SpreadFrom(const std::string& aFailureDomain,
                  const wire::ContinuationRecords& aAdded) -> void;
  auto Listen() -> void;
  auto SendAll(const std::string& aAddress) -> void;
  auto AskLoop() -> awaitable<void>;
  auto Expire() -> void;
  auto Digest() const -> std::uint64_t;

  Environment& m_environment;
  std::chrono::seconds m_keep;
  std::map<wire::Owner, Record> m_records;
  /// Peers that have answered the record of this balancer.
  std::set<std::string> m_informed;
  std::size_t m_nextPeer = 0;
};

} // namespace bramleylock::flow
