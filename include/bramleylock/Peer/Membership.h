// Which balancers are alive, and where.
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

/// A hint of the platform's VM list about one balancer.
struct MemberHint
{
  std::string vm;
  std::string failureDomain;
  std::string address;
};

/// Hints from "ip:port" of peers, separated by spaces: addresses to try before
/// the platform has told more.
auto HintsFromSeeds(const std::string& aSeeds) -> std::vector<MemberHint>;

/// Keeps every member of the own failure domain by random probes, and of each
/// other domain a summary and a few members. What a balancer sends a second
/// does not grow with the fleet.
class Membership
{
public:
  Membership(asio::io_context& aContext, PeerLinks& aLinks, wire::Hello aSelf,
             Metrics& aMetrics);

  /// Starts probing; aFill completes each heartbeat with local state.
  auto Start(std::function<void(wire::Heartbeat&)> aFill) -> void;

  /// Takes the balancers that the platform lists as addresses to try; of the
  /// other failure domains only a few are kept.
  auto SetHints(const std::vector<MemberHint>& aHints) -> void;

  /// Told of every heartbeat after the member is updated.
  auto OnHeartbeat(std::function<void(const Member&)> aListener) -> void;

  /// Whether the owner that a token names can be reached. An owner that was
  /// never heard of counts as alive until connecting to it has failed.
  auto IsAlive(const std::string& aAddress, std::uint64_t aIncarnation) const
    -> bool;

  /// Reachable members, without this balancer: all of the own failure domain,
  /// and those of the others that their summaries name.
  auto Alive() const -> std::vector<Member>;

  /// Reachable members of this balancer's failure domain, without itself.
  auto AliveInDomain() const -> std::vector<Member>;

  /// Their addresses.
  auto InDomain() const -> std::vector<std::string>;

  /// Addresses of reachable members of another failure domain that are known
  /// here.
  auto ContactsOf(const std::string& aFailureDomain) const
    -> std::vector<std::string>;

  /// Balancers alive in the fleet, with this one, by the domains' summaries.
  auto AliveCount() const -> std::size_t;

  /// The same by failure domain, without the domains that are lost.
  auto AliveByDomain() const -> std::map<std::string, std::size_t>;

  /// The lowest of the newest token keys that the balancers of each failure
  /// domain have, without the domains that are lost. Of the own domain it goes
  /// by what was heard of each member, of the others by their summaries.
  auto LowestKeys() const -> std::map<std::string, std::uint32_t>;

  auto All() const -> std::vector<Member>;

  auto Self() const -> const wire::Hello&;

  /// Failure domains other than the own one that cannot be heard.
  auto LostDomains() const -> std::vector<std::string>;

  /// Sends a heartbeat now to a bounded number of members.
  auto Announce() -> void;

  /// Lets this balancer take a new incarnation when the others hold a higher
  /// one for its address: its machine's clock was set back before it started.
  /// Not for a balancer whose incarnation stands in flow tokens.
  auto AllowRenewal() -> void;

  /// Says that this balancer is about to stop.
  auto Leave() -> void;

private:
  struct Waiting;
  struct Failure
  {
    Clock::time_point at{};
    int count = 0;
  };

  auto Listen() -> void;
  auto PeriodLoop() -> awaitable<void>;
  auto AnswerProbe(const wire::Hello& aSender, const wire::Probe& aProbe)
    -> void;
  auto TakeProbeAnswer(const wire::Hello& aSender,
                       const wire::ProbeAnswer& aAnswer) -> void;
  auto ProbeOne(std::string aAddress, bool aDirect) -> awaitable<void>;
  auto AnswerFor(std::string aAsker, std::uint64_t aSequence,
                 std::string aAddress) -> awaitable<void>;
  auto SendProbe(const std::string& aAddress) -> std::shared_ptr<Waiting>;
  auto WaitFor(std::shared_ptr<Waiting> aWaiting, Milliseconds aLimit)
    -> awaitable<bool>;
  auto OnUnreachable(const std::string& aAddress) -> void;

  auto TakeGossip(const wire::Hello& aSender, const wire::Gossip& aGossip)
    -> void;
  auto TakeRecords(const std::vector<wire::MemberRecord>& aRecords) -> bool;
  auto TakeSync(const wire::Hello& aSender, const wire::MemberSync& aSync)
    -> void;
  auto TakeDomains(const std::vector<wire::DomainSummary>& aDomains) -> void;
  auto TellOfItsDomain(const wire::Hello& aSender) -> void;
  auto TryMembersOf(const wire::DomainSummary& aSummary) -> void;
  auto TakeMembersOf(const wire::DomainSummary& aSummary, bool aChanged)
    -> void;
  auto MakeGossip(const std::string& aReceiver, std::size_t aDomains,
                  bool aWhole) -> wire::Gossip;
  auto SendHeartbeat(const std::string& aAddress, std::size_t aDomains) -> void;
  auto SendSync(const std::string& aAddress, bool aWantAnswer) -> void;
  auto SyncIfApart(const wire::Hello& aSender, std::uint64_t aDigest) -> void;

  auto Spread() -> void;
  auto SpeakToOtherDomains() -> void;
  auto ExpireDomains() -> void;
  auto RaiseSummary() -> void;
  auto MakeSummary() -> wire::DomainSummary;
  auto LowestKeyHere() const -> std::uint32_t;
  auto DropUnheard(const std::vector<std::string>& aDomains) -> void;
  auto ForgetStale() -> void;
  auto NextProbed() -> std::string;
  auto Knock() -> void;
  auto OtherDomains() const -> std::vector<std::string>;
  auto Choose(std::vector<std::string> aFrom, std::size_t aCount)
    -> std::vector<std::string>;

  asio::io_context& m_context;
  PeerLinks& m_links;
  Metrics& m_metrics;
  MemberTable m_table;
  DomainTable m_domains;
  Random m_random;
  std::function<void(wire::Heartbeat&)> m_fill;
  std::function<void(const Member&)> m_listener;
  std::map<std::uint64_t, std::shared_ptr<Waiting>> m_waiting;
  std::uint64_t m_nextSequence = 1;
  std::vector<std::string> m_probeOrder;
  std::set<std::string> m_probing;
  std::map<std::string, Failure> m_failures;
  /// The own domain's members, this balancer too, relays first.
  std::vector<std::string> m_order;
  std::size_t m_nextDomain = 0;
  Clock::time_point m_apartSince{};
  Clock::time_point m_lastSync{};
  Clock::time_point m_lastRefuted{};
};

} // namespace bramleylock::peer
