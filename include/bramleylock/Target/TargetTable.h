// The targets of every service, their connections and their condition.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "bramleylock/Support/Counters.h"
#include "bramleylock/Target/Spill.h"
#include "bramleylock/Target/Target.h"
#include "bramleylock/Target/TargetChoice.h"

namespace bramleylock::target {

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

  /// Work that arrives in each failure domain, for each service, as this
  /// balancer and its peers count it.
  auto SetDemand(std::map<std::string, DomainShares> aDemand) -> void;

  /// Splits every target's connections over aBalancers, of which aSelf is one.
  auto SetBalancers(std::size_t aBalancers, const std::string& aSelf) -> void;

  /// Takes what a probe of aAddress found.
  auto TakeHealth(const std::string& aAddress, bool aHealthy, bool aDraining)
    -> void;

  /// The target itself says in an answer that it is leaving.
  auto NoteDraining(const std::shared_ptr<Target>& aTarget) -> void;

  /// Targets that are leaving by their own answers or this balancer's probes.
  auto Draining() const -> std::vector<std::string>;

  /// Takes the word of peers on which targets are leaving.
  auto TakePeersDraining(const std::vector<std::string>& aAddresses) -> void;

  /// Whether one more request may be sent a second time because the first
  /// shows no sign of life; takes it from the budget.
  auto TakeHedge() -> bool;

  /// Requests a second that this balancer lately chose targets for, by
  /// service.
  auto Rates() const -> std::map<std::string, double>;

  /// The slots that this balancer may count as its own, by target address.
  auto SetOwnSlots(const std::map<std::string, std::uint32_t>& aCounts) -> void;

  /// A target for new work, or null. Ejected targets come last; aTried lists
  /// addresses that this request has failed at.
  auto Choose(const std::string& aService, const std::set<std::string>& aTried)
    -> std::shared_ptr<Target>;

  /// A connection to aTarget: an idle one that worked within aProvenWithin or
  /// answers a probe now, or a fresh one.
  auto Connect(std::shared_ptr<Target> aTarget, Milliseconds aProvenWithin,
               std::error_code& aError)
    -> awaitable<std::shared_ptr<TargetConnection>>;

  /// Takes back a connection after an exchange.
  auto Return(const std::shared_ptr<Target>& aTarget,
              std::shared_ptr<TargetConnection> aConnection) -> void;

  /// Records how a request ended.
  auto Report(const std::shared_ptr<Target>& aTarget, TargetOutcome aOutcome)
    -> void;

  auto All() const -> const std::map<std::string, std::shared_ptr<Target>>&;

  /// Slots of aService over its targets that take new work.
  auto SlotsOf(const std::string& aService) const -> std::uint32_t;

private:
  auto Usable(const Target& aTarget, const std::set<std::string>& aTried) const
    -> bool;
  auto OfService(const std::string& aService) const
    -> const std::vector<std::shared_ptr<Target>>&;
  auto Pick(const std::string& aService,
            const std::vector<std::shared_ptr<Target>>& aTargets)
    -> std::shared_ptr<Target>;
  auto MakeCandidates(const std::string& aService,
                      const std::vector<std::shared_ptr<Target>>& aTargets)
    -> std::vector<Candidate>;
  auto CountChoice(const std::string& aService) -> void;
  auto MayEject(const Target& aTarget, Clock::time_point aNow) const -> bool;

  /// A rate that decays exponentially.
  struct Rate
  {
    double perSecond = 0;
    Clock::time_point at{};
  };

  std::string m_failureDomain;
  std::unique_ptr<TargetTransport> m_transport;
  std::unique_ptr<TargetChoice> m_choice;
  Metrics& m_metrics;
  Random m_random;
  std::map<std::string, std::shared_ptr<Target>> m_targets;
  /// The same targets by service, so that a choice looks only at its own.
  std::map<std::string, std::vector<std::shared_ptr<Target>>> m_byService;
  std::map<std::string, std::uint32_t> m_slots;
  std::map<std::string, DomainShares> m_demand;
  std::map<std::string, Rate> m_rates;
  std::size_t m_balancers = 1;
  std::string m_self;
  double m_hedges;
};

} // namespace bramleylock::target
