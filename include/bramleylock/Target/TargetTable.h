// The targets of every service with their state and connections.
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

/// A target in the platform's VM list.
struct TargetListEntry
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

/// Chooses targets for requests and pools idle connections to them.
class TargetTable
{
public:
  TargetTable(std::string aFailureDomain,
              std::unique_ptr<TargetTransport> aTransport,
              std::unique_ptr<TargetChoice> aChoice, Metrics& aMetrics,
              std::uint64_t aSeed);

  /// Applies the targets of the platform's VM list. Targets that are no longer
  /// listed get no new work.
  auto SetTargets(const std::vector<TargetListEntry>& aEntries) -> void;

  /// Sets the number of slots of each target of aService.
  auto SetSlots(const std::string& aService, std::uint32_t aSlots) -> void;

  /// Sets the peers' requests in flight, as last reported by them, by target
  /// address.
  auto SetPeersInFlight(const std::map<std::string, std::uint32_t>& aCounts)
    -> void;

  /// Sets the rate of requests that arrive in each failure domain, by service,
  /// as measured by this balancer and its peers.
  auto SetDemand(std::map<std::string, DomainShares> aDemand) -> void;

  /// Divides every target's connections among aBalancerCount balancers, one of
  /// which is this one, aSelf.
  auto SetBalancerCount(std::size_t aBalancerCount, const std::string& aSelf)
    -> void;

  /// Records the result of a health probe of aAddress.
  auto RecordProbe(const std::string& aAddress, bool aHealthy, bool aDraining)
    -> void;

  /// Records that the target has announced in an answer that it is draining.
  auto RecordDraining(const std::shared_ptr<Target>& aTarget) -> void;

  /// Addresses of the targets that are draining according to their own answers
  /// or to this balancer's probes.
  auto DrainingTargets() const -> std::vector<std::string>;

  /// Records that peers have reported aAddresses as draining.
  auto RecordPeersDraining(const std::vector<std::string>& aAddresses) -> void;

  /// Takes one hedge, a second copy of a request to whose first copy the target
  /// has sent no bytes, from the hedging budget. Returns false if the budget is
  /// exhausted.
  auto TakeHedge() -> bool;

  /// The recent rate of target choices on this balancer, per second and by
  /// service.
  auto RequestRates() const -> std::map<std::string, double>;

  /// Sets the slots that are reserved for this balancer, by target address.
  auto SetOwnSlots(const std::map<std::string, std::uint32_t>& aCounts) -> void;

  /// Chooses a target for new work; null if there is none. Targets that are
  /// ejected, or draining according to probes or peers, are used only if there
  /// is no other. aTried lists the addresses that this request has already
  /// tried.
  auto Choose(const std::string& aService, const std::set<std::string>& aTried)
    -> std::shared_ptr<Target>;

  /// Returns a connection to aTarget: an idle one that has worked within
  /// aMaxSinceSuccess or that answers a probe, or a new one.
  auto Connect(std::shared_ptr<Target> aTarget, Milliseconds aMaxSinceSuccess,
               std::error_code& aError)
    -> awaitable<std::shared_ptr<TargetConnection>>;

  /// Returns a connection to the pool after a completed call.
  auto Return(const std::shared_ptr<Target>& aTarget,
              std::shared_ptr<TargetConnection> aConnection) -> void;

  /// Records the outcome of a request at aTarget.
  auto Report(const std::shared_ptr<Target>& aTarget, TargetOutcome aOutcome)
    -> void;

  auto All() const -> const std::map<std::string, std::shared_ptr<Target>>&;

  /// The total number of slots of aService's targets that are not leaving.
  auto SlotsOf(const std::string& aService) const -> std::uint32_t;

private:
  auto IsUsable(const Target& aTarget,
                const std::set<std::string>& aTried) const -> bool;
  auto TargetsOf(const std::string& aService) const
    -> const std::vector<std::shared_ptr<Target>>&;
  auto Pick(const std::string& aService,
            const std::vector<std::shared_ptr<Target>>& aTargets)
    -> std::shared_ptr<Target>;
  auto MakeCandidates(const std::string& aService,
                      const std::vector<std::shared_ptr<Target>>& aTargets)
    -> std::vector<Candidate>;
  auto CountChoice(const std::string& aService) -> void;
  auto MayEject(const Target& aTarget, Clock::time_point aNow) const -> bool;

  /// An exponentially decaying rate.
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
  /// The targets of m_targets by service, so that a choice visits only those of
  /// its service.
  std::map<std::string, std::vector<std::shared_ptr<Target>>> m_byService;
  std::map<std::string, std::uint32_t> m_slots;
  std::map<std::string, DomainShares> m_demand;
  std::map<std::string, Rate> m_rates;
  std::size_t m_balancerCount = 1;
  std::string m_self;
  double m_hedgeTokens;
};

} // namespace bramleylock::target
