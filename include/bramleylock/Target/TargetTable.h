// The targets of every service, their connections and their condition.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "bramleylock/Support/Counters.h"
#include "bramleylock/Target/TargetChoice.h"
#include "bramleylock/Target/TargetTransport.h"

namespace bramleylock::target {

/// One target host as this balancer sees it.
struct Target
{
  std::string address;
  std::string service;
  std::string failureDomain;
  bool leaving = false;
  std::uint32_t slots = 1;
  std::uint32_t ownSlots = 0;
  std::uint32_t inFlight = 0;
  std::uint32_t peersInFlight = 0;
  std::uint32_t failuresInRow = 0;
  Clock::time_point ejectedUntil{};
  std::vector<std::unique_ptr<TargetConnection>> idle;
};

/// A row of the target list.
struct TargetHint
{
  std::string address;
  std::string service;
  std::string failureDomain;
  bool leaving = false;
};

/// How a request at a target ended.
enum class TargetOutcome
{
  Answered,
  Shed,
  ConnectFailed,
  Lost
};

/// Chooses targets and keeps idle connections to them.
class TargetTable
{
public:
  TargetTable(std::string aFailureDomain,
              std::unique_ptr<TargetTransport> aTransport,
              std::unique_ptr<TargetChoice> aChoice, Metrics& aMetrics,
              std::uint64_t aSeed);

  /// Takes the platform's list; targets that it no longer names get no new
  /// work.
  auto SetTargets(const std::vector<TargetHint>& aHints) -> void;

  /// Slots of each host of aService.
  auto SetSlots(const std::string& aService, std::uint32_t aSlots) -> void;

  /// Requests in flight by target address, as peers last told them.
  auto SetPeersInFlight(const std::map<std::string, std::uint32_t>& aCounts)
    -> void;

  /// The slots that this balancer may count as its own, by target address.
  auto SetOwnSlots(const std::map<std::string, std::uint32_t>& aCounts) -> void;

  /// A target for new work, or null. Targets of the own failure domain go
  /// first; aTried lists addresses that this request has failed at.
  auto Choose(const std::string& aService, const std::set<std::string>& aTried)
    -> std::shared_ptr<Target>;

  /// A connection to aTarget: an idle one, proven alive within aProvenWithin,
  /// or a fresh one.
  auto Connect(std::shared_ptr<Target> aTarget, Milliseconds aProvenWithin,
               std::error_code& aError)
    -> awaitable<std::unique_ptr<TargetConnection>>;

  /// Takes back a connection after an exchange.
  auto Return(const std::shared_ptr<Target>& aTarget,
              std::unique_ptr<TargetConnection> aConnection) -> void;

  /// Records how a request ended.
  auto Report(const std::shared_ptr<Target>& aTarget, TargetOutcome aOutcome)
    -> void;

  auto All() const -> const std::map<std::string, std::shared_ptr<Target>>&;

  /// Slots of aService over its targets that take new work.
  auto SlotsOf(const std::string& aService) const -> std::uint32_t;

private:
  auto Usable(const Target& aTarget, const std::string& aService,
              const std::set<std::string>& aTried) const -> bool;
  auto Pick(const std::vector<std::shared_ptr<Target>>& aTargets)
    -> std::shared_ptr<Target>;

  std::string m_failureDomain;
  std::unique_ptr<TargetTransport> m_transport;
  std::unique_ptr<TargetChoice> m_choice;
  Metrics& m_metrics;
  Random m_random;
  std::map<std::string, std::shared_ptr<Target>> m_targets;
  std::map<std::string, std::uint32_t> m_slots;
};

} // namespace bramleylock::target
