// Membership and failure detection between balancers.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "bramleylock/Peer/DomainTable.h"
#include "bramleylock/Peer/MemberTable.h"
#include "bramleylock/Peer/PeerLinks.h"
#include "bramleylock/Support/Asio.h"
#include "bramleylock/Support/Random.h"

namespace bramleylock::peer {

/// Address of a possible member, from the platform's VM list or the configured
/// seeds.
struct MemberCandidate
{
  std::string vm;
  std::string failureDomain;
  std::string address;
};

/// Parses seed addresses, "ip:port" separated by spaces. They are contacted
/// until the platform's VM list is available.
auto CandidatesFromSeeds(const std::string& aSeeds)
  -> std::vector<MemberCandidate>;

/// Tracks all members of this balancer's failure domain by random probing, and
/// a summary and a few members of each other domain. The traffic that a
/// balancer sends per second does not grow with the size of the fleet.
class Membership
{
public:
  Membership(asio::io_context& aContext, PeerLinks& aLinks, wire::Hello aSelf,
             Metrics& aMetrics);

  /// Starts probing. aFill is called to add local state to each heartbeat.
  auto Start(std::function<void(wire::Heartbeat&)> aFill) -> void;

  /// Sets the addresses of possible members. For each other failure domain only
  /// a few of them are kept.
  auto SetCandidates(const std::vector<MemberCandidate>& aCandidates) -> void;

  /// Sets the listener that is called for every accepted message with a
  /// heartbeat, after the member has been updated.
  auto OnHeartbeat(std::function<void(const Member&)> aListener) -> void;

  /// Whether the flow owner named in a token can be reached. An unknown owner
  /// counts as alive until connecting to it has failed repeatedly.
  auto IsAlive(const std::string& aAddress, std::uint64_t aIncarnation) const
    -> bool;

  /// Reachable members without this balancer: all those of its failure domain,
  /// and those of other domains that are named in the domains' summaries.
  auto AliveMembers() const -> std::vector<Member>;

  /// Reachable members of this balancer's failure domain, without itself.
  auto AliveMembersInDomain() const -> std::vector<Member>;

  /// Addresses of the reachable members of this balancer's failure domain,
  /// without itself.
  auto AliveAddressesInDomain() const -> std::vector<std::string>;

  /// Capacity classes of the reachable members of this balancer's failure
  /// domain, without itself, by address.
  auto CapacityClassesInDomain() const -> std::map<std::string, std::uint8_t>;

  /// Addresses at which to contact another failure domain: its relays that are
  /// known to be reachable, or if there are none, all known members that have
  /// not left.
  auto ContactAddressesOf(const std::string& aFailureDomain) const
    -> std::vector<std::string>;

  /// Number of live balancers in the fleet including this one, according to the
  /// summaries of the domains.
  auto AliveCount() const -> std::size_t;

  /// Number of live balancers by failure domain, without lost domains.
  auto AliveByDomain() const -> std::map<std::string, std::size_t>;

  /// For each failure domain that is not lost, the lowest id among the newest
  /// token keys of its balancers. The value for this balancer's own domain is
  /// computed from the members' heartbeats, the others come from the summaries.
  auto LowestKeyIdByDomain() const -> std::map<std::string, std::uint32_t>;

  /// The same for the token keys with which the balancers sign.
  auto LowestSigningKeyIdByDomain() const
    -> std::map<std::string, std::uint32_t>;

  auto AllMembers() const -> std::vector<Member>;

  auto Self() const -> const wire::Hello&;

  /// Failure domains whose summaries have not been renewed within the time
  /// limit.
  auto LostDomains() const -> std::vector<std::string>;

  /// Immediately sends a heartbeat to a bounded number of random members.
  auto SendHeartbeats() -> void;

  /// Allows this balancer to adopt a new incarnation when other members have a
  /// higher one for its address, which happens if the clock of its machine was
  /// set back before it started. Must not be used for a balancer whose
  /// incarnation is named in flow tokens.
  auto AllowIncarnationRenewal() -> void;

  /// Tells other members that this balancer is about to stop.
  auto Leave() -> void;

private:
  /// The fields of a heartbeat and of a domain's summary that hold the id of a
  /// token key.
  using KeyIdField = std::uint32_t wire::Heartbeat::*;
  using KeyIdSummaryField = std::uint32_t wire::DomainSummary::*;

  struct PendingProbe;
  struct ConnectFailures
  {
    Clock::time_point at{};
    int count = 0;
  };

  auto RegisterHandlers() -> void;
  auto ProtocolLoop() -> awaitable<void>;
  auto HandleProbe(const wire::Hello& aSender, const wire::Probe& aProbe)
    -> void;
  auto HandleProbeAnswer(const wire::Hello& aSender,
                         const wire::ProbeAnswer& aAnswer) -> void;
  auto ProbeMember(std::string aAddress, bool aDirect) -> awaitable<void>;
  auto ProbeOnBehalf(std::string aRequester, std::uint64_t aSequence,
                     std::string aAddress) -> awaitable<void>;
  auto SendProbe(const std::string& aAddress) -> std::shared_ptr<PendingProbe>;
  auto WaitForAnswer(std::shared_ptr<PendingProbe> aPending,
                     Milliseconds aTimeout) -> awaitable<bool>;
  auto HandleUnreachable(const std::string& aAddress) -> void;

  auto HandleGossip(const wire::Hello& aSender, const wire::Gossip& aGossip)
    -> void;
  auto ApplyRecords(const std::vector<wire::MemberRecord>& aRecords) -> bool;
  auto HandleSync(const wire::Hello& aSender, const wire::MemberSync& aSync)
    -> void;
  auto ApplySummaries(const std::vector<wire::DomainSummary>& aSummaries)
    -> void;
  auto SendDomainSummaryBack(const wire::Hello& aSender) -> void;
  auto AddCandidatesFrom(const wire::DomainSummary& aSummary) -> void;
  auto ApplySummaryMembers(const wire::DomainSummary& aSummary, bool aChanged)
    -> void;
  auto MakeGossip(const std::string& aReceiver, std::size_t aMaxSummaries,
                  bool aWithInFlight) -> wire::Gossip;
  auto SendHeartbeat(const std::string& aAddress, std::size_t aMaxSummaries)
    -> void;
  auto SendSync(const std::string& aAddress, bool aAnswerRequested) -> void;
  auto SyncIfDigestsDiffer(const wire::Hello& aSender, std::uint64_t aDigest)
    -> void;

  auto SendPeriodicHeartbeats() -> void;
  auto SendSummaryToOtherDomain() -> void;
  auto ExpireDomains() -> void;
  auto UpdateOwnSummary() -> void;
  auto MakeSummary() -> wire::DomainSummary;
  auto LowestInOwnDomain(KeyIdField aField) const -> std::uint32_t;
  auto LowestByDomain(KeyIdField aField, KeyIdSummaryField aSummaryField) const
    -> std::map<std::string, std::uint32_t>;
  auto DemoteMembersOf(const std::vector<std::string>& aDomains) -> void;
  auto DropStaleData() -> void;
  auto NextMemberToProbe() -> std::string;
  auto ContactUnreachableMember() -> void;
  auto OtherDomains() const -> std::vector<std::string>;
  auto RandomSample(std::vector<std::string> aFrom, std::size_t aCount)
    -> std::vector<std::string>;

  asio::io_context& m_context;
  PeerLinks& m_links;
  Metrics& m_metrics;
  MemberTable m_table;
  DomainTable m_domains;
  Random m_random;
  std::function<void(wire::Heartbeat&)> m_fillHeartbeat;
  std::function<void(const Member&)> m_heartbeatListener;
  std::map<std::uint64_t, std::shared_ptr<PendingProbe>> m_pendingProbes;
  std::uint64_t m_nextSequence = 1;
  std::vector<std::string> m_probeOrder;
  std::set<std::string> m_addressesBeingProbed;
  std::map<std::string, ConnectFailures> m_connectFailures;
  /// Addresses of the reachable members of this balancer's failure domain and
  /// of the balancer itself, in rendezvous order. The first kRelayCount are the
  /// relays.
  std::vector<std::string> m_rankedAddresses;
  std::size_t m_nextDomain = 0;
  Clock::time_point m_digestsDifferSince{};
  Clock::time_point m_lastSync{};
  Clock::time_point m_lastRefutationAnnouncement{};
};

} // namespace bramleylock::peer
