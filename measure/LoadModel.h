// Discrete-event simulation of clients and targets around real forwarders,
// which measures the service that callers get under load. Targets execute a
// few requests concurrently and queue some more. Clients retransmit packets and
// retry as the platform's clients do, with a flow per request or with
// persistent flows.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "bramleylock/Forward/TargetDirectory.h"
#include "bramleylock/Support/Asio.h"
#include "bramleylock/Support/Random.h"

namespace bramleylock::forward {

/// Address of the only service of the model.
inline constexpr Address kModelService{ 0xc6120001, 443 };

struct LoadOptions
{
  std::string choice = "least-wait";
  std::size_t balancers = 8;
  std::size_t targets = 14;
  double requestsPerSecond = 390;
  double meanWorkMs = 32;
  /// Requests that are answered within this time are on time.
  Milliseconds onTimeLimit{ 150 };
  Milliseconds deadline{ 1500 };
  Milliseconds length{ 10000 };
  /// One-way delay to the nearest and to the farthest client; the delays of the
  /// others are spread evenly between them.
  Milliseconds minClientDelay{ 3 };
  Milliseconds maxClientDelay{ 3 };
  /// Requests that a target executes concurrently, and that it queues.
  std::uint32_t slots = 2;
  std::size_t queueCapacity = 8;
  /// Fraction of the requests that take longRequestFactor times as long.
  double longRequestShare = 0;
  double longRequestFactor = 1;
  /// From 3 s to 9 s after the start, requestsPerSecond is multiplied by this.
  double burstFactor = 1;
  /// Balancers that do not run between 4 s and 7 s after the start. Their
  /// packets wait and are processed at the end.
  std::size_t frozenBalancers = 0;
  /// Targets that take slowFactor times as long from 4 s to 8 s after the
  /// start.
  std::size_t slowTargets = 0;
  double slowFactor = 1;
  /// Fraction of the packets of clients that are lost.
  double lossShare = 0;
  /// Users with one persistent flow each, who pause between their requests.
  /// Their requests are in addition to requestsPerSecond, which use a flow per
  /// request.
  std::size_t users = 0;
  /// The period over which the users send their first requests.
  Milliseconds usersStartPeriod{ 1000 };
  Milliseconds meanThinkTime{ 1000 };
  /// Targets that are replaced, one every 700 ms, beginning 3 s after the
  /// start. When the new target starts, the old one drains: it closes each flow
  /// after its next answer and departs 3.5 s later.
  std::size_t replacedTargets = 0;
  /// Whether the balancers are restarted one after the other, beginning 3 s
  /// after the start.
  bool rollingRestart = false;
  /// Targets that do not respond between 4 s and 6 s after the start.
  std::size_t silentTargets = 0;
  /// Targets that answer every first packet lateOpeningDelay later than others.
  std::size_t lateTargets = 0;
  Milliseconds lateOpeningDelay{ 0 };
  /// Share of the first packets that balancers may also send to a second
  /// target.
  std::uint32_t hedgePercent = 0;
  /// How long all balancers are down, beginning 3 s after the start. They lose
  /// their state, restart at random times within restartSpread after the
  /// outage, and return to the rotation up to 0.5 s later, after the platform's
  /// next health check.
  Milliseconds outage{ 0 };
  Milliseconds restartSpread{ 350 };
  /// Whether balancers resend unanswered first packets before the client does.
  bool resendsUnanswered = true;
  std::uint64_t seed = 1;
};

struct LoadResult
{
  /// Requests that clients sent.
  std::size_t requests = 0;
  /// Requests that were answered within LoadOptions::onTimeLimit.
  std::size_t onTime = 0;
  /// Requests that were answered later.
  std::size_t late = 0;
  std::size_t failed = 0;
  /// Times that a target refused a request because its queue was full.
  std::size_t shed = 0;
  /// Times that a balancer took a responding target for silent.
  std::size_t falseSilences = 0;
  /// First packets that balancers sent to targets, with those sent again.
  std::size_t firstPackets = 0;
  /// Flows that balancers opened, and those that they hedged, in runs without
  /// restarts of balancers.
  std::size_t flowsOpened = 0;
  std::size_t flowsHedged = 0;
  /// How long each answered request took.
  std::vector<std::chrono::nanoseconds> answerTimes{};
  /// Answers by target.
  std::map<std::string, std::size_t> answersByTarget{};
  /// For each request, when it was sent, from the start of the load, and
  /// whether it was answered on time.
  std::vector<std::pair<Milliseconds, bool>> outcomes{};

  /// Adds the counts of requests, refusals and verdicts of aOther.
  auto AddCounts(const LoadResult& aOther) -> void;

  /// The time within which aFraction of the answers arrived.
  auto AnswerTimeQuantile(double aFraction) const -> std::chrono::nanoseconds;

  /// Answers of the busiest target divided by the mean over all targets.
  auto Imbalance() const -> double;

  /// The fraction of the requests that were answered on time.
  auto OnTimeFraction() const -> double
  {
    return static_cast<double>(onTime) / static_cast<double>(requests);
  }

  /// The fraction on time of the requests sent between aFrom and aTo.
  auto OnTimeFractionBetween(Milliseconds aFrom, Milliseconds aTo) const
    -> double
  {
    std::size_t sentCount = 0;
    std::size_t onTimeCount = 0;
    for (const auto& [at, wasOnTime] : outcomes) {
      const bool isInInterval = at >= aFrom && at < aTo;
      sentCount += isInInterval ? 1 : 0;
      onTimeCount += isInInterval && wasOnTime ? 1 : 0;
    }
    return static_cast<double>(onTimeCount) / static_cast<double>(sentCount);
  }
};

/// Simulates one load.
class LoadModel
{
public:
  explicit LoadModel(LoadOptions aOptions);
  ~LoadModel();
  auto Run() -> LoadResult;

private:
  static constexpr std::size_t kClients = 32;
  static constexpr Milliseconds kMembershipDelay{ 2000 };
  static constexpr Milliseconds kMemberCountInterval{ 250 };
  static constexpr int kRetries = 2;

  static constexpr std::size_t kNoUser = ~std::size_t{ 0 };

  struct Balancer;
  struct Request
  {
    Clock::time_point sentAt;
    /// The user that sends it, or kNoUser for a request with its own flow.
    std::size_t user = kNoUser;
    int attempts = 0;
    std::uint16_t port = 0;
    /// Whether the request was answered, failed or abandoned.
    bool ended = false;
    bool onTime = false;
  };
  /// The client's state of a flow.
  struct Flow
  {
    /// The most recent request in the flow.
    std::size_t request = 0;
    bool open = false;
    /// The tags that the client and the target received last.
    TargetTag tag = 0;
    TargetTag targetTag = 0;
    std::uint32_t sequence = 1000;
    std::uint32_t acknowledged = 500;
    /// The highest sequence number that the target received.
    std::uint32_t received = 0;
  };
  struct Target
  {
    std::string id;
    /// Additional time for the answer to a first packet.
    Milliseconds openingDelay{ 0 };
    bool silent = false;
    bool slow = false;
    bool draining = false;
    bool gone = false;
    /// Requests in execution.
    std::size_t executing = 0;
    /// Client ports of the flows whose requests wait.
    std::deque<std::uint16_t> queue{};
  };
  struct Event
  {
    Clock::time_point at;
    std::uint64_t order;
    std::function<void()> run;
    auto operator<(const Event& aOther) const -> bool
    {
      return at != aOther.at ? at > aOther.at : order > aOther.order;
    }
  };

  auto ScheduleAfter(std::chrono::nanoseconds aDelay,
                     std::function<void()> aRun) -> void
  {
    m_events.push({ m_now + aDelay, m_order++, std::move(aRun) });
  }
  auto ClientOf(std::uint16_t aPort) const -> std::size_t;
  auto ClientDelay(std::uint16_t aPort) const -> std::chrono::nanoseconds;
  auto OpeningOf(std::uint16_t aPort) const -> Packet;
  auto StartBalancer(std::size_t aIndex) -> void;
  auto ScheduleFaults() -> void;
  auto Thaw() -> void;
  auto IsBetween(Milliseconds aFrom, Milliseconds aTo) const -> bool;
  auto WorkTime(const Target& aTarget) -> std::chrono::nanoseconds;
  auto ProcessPacket(Balancer& aBalancer, const Packet& aPacket) -> void;
  auto StartOutage() -> void;
  auto CollectCounters() -> void;
  auto SetAssumedBalancers(std::size_t aIndex, Milliseconds aSinceStart)
    -> void;
  static auto StateOf(const Target& aTarget) -> TargetState;
  auto SelectBalancer(const FlowId& aFlow) const -> std::size_t;
  auto RestartSequentially() -> void;
  auto ReplaceTargets(std::size_t aRemaining) -> void;
  auto OnFoundSilent(const DirectoryEntry& aTarget) -> void;
  auto OnHealthChecked(const std::string& aId) -> void;
  auto ForEachBalancer(const std::function<void(Balancer&)>& aAction) -> void;
  auto SendToBalancer(Packet aPacket) -> void;
  auto DeliverToTarget(const std::string& aId, const Packet& aPacket) -> void;
  auto Execute(Target& aTarget, std::uint16_t aPort) -> void;
  auto OnExecuted(Target& aTarget, std::uint16_t aPort) -> void;
  auto Tick() -> void;

  // Actions of clients, in LoadClients.cpp.
  auto SendNextRequest() -> void;
  auto SendNextUserRequest(std::size_t aUser) -> void;
  auto RandomDelay(double aMeanMs) -> std::chrono::nanoseconds;
  auto StartAttempt(std::size_t aRequest) -> void;
  auto SendOpening(std::uint16_t aPort, int aCopy) -> void;
  auto OnOpened(std::uint16_t aPort, TargetTag aTag) -> void;
  auto SendRequest(std::uint16_t aPort, Milliseconds aResendDelay) -> void;
  auto OnAnswered(std::uint16_t aPort, const std::string& aTarget, bool aCloses)
    -> void;
  auto OnAttemptFailed(std::uint16_t aPort) -> void;
  auto EndRequest(std::size_t aRequest) -> void;

  LoadOptions m_options;
  Random m_random;
  Clock::time_point m_start{ std::chrono::hours(1) };
  Clock::time_point m_now = m_start;
  std::priority_queue<Event> m_events;
  std::uint64_t m_order = 0;
  /// Null while the balancer is down.
  std::vector<std::unique_ptr<Balancer>> m_balancers;
  std::vector<bool> m_inRotation;
  /// The first balancers, as many as are frozen, and the packets that wait for
  /// them.
  std::size_t m_frozen = 0;
  std::deque<Packet> m_packetsOfFrozen;
  /// A deque, because references must stay valid when targets are added.
  std::deque<Target> m_targets;
  std::uint64_t m_revision = 5;
  std::vector<Request> m_requests;
  std::uint16_t m_port = 0;
  /// By client port.
  std::vector<Flow> m_flows = std::vector<Flow>(65536);
  /// The port of each user's open flow; 0 when there is none.
  std::vector<std::uint16_t> m_userPorts;
  LoadResult m_result;
};

} // namespace bramleylock::forward
