// Construction, start and planned stop of the forwarding path's components.

#include "bramleylock/Kernel/ForwardingBalancer.h"

#include "bramleylock/Flow/PauseDetector.h"
#include "bramleylock/Forward/ContestedFlowExchange.h"
#include "bramleylock/Forward/Forwarder.h"
#include "bramleylock/Forward/SeedStateFetcher.h"
#include "bramleylock/Forward/SilentTargetProber.h"
#include "bramleylock/Forward/StateReader.h"
#include "bramleylock/Http/Http.h"
#include "bramleylock/Kernel/ForwardingStatus.h"
#include "bramleylock/Kernel/PacketSocket.h"
#include "bramleylock/Peer/Broadcast.h"
#include "bramleylock/Peer/PeerHub.h"
#include "bramleylock/Support/Log.h"
#include "bramleylock/Wire/Token.h"

#include <fmt/format.h>

namespace bramleylock::kernel {

/// Delay between the start of the state reader and the first contact with
/// peers.
static constexpr Milliseconds kPeerStartDelay{ 1000 };

/// At the first start of a deployment, balancers other than the seeds wait this
/// long before they read the store, so that the seeds first write the data that
/// all balancers read. Machines start within 0.3 s of each other, and the
/// slowest take another 0.3 s to start.
static constexpr Milliseconds kNonSeedStartDelay{ 1000 };

/// Interval at which flows and targets are checked for expiry.
static constexpr Milliseconds kExpiryInterval{ 250 };

/// Interval at which unanswered first packets are checked while no packets
/// arrive. While packets arrive, the check follows each read of all pending
/// packets.
static constexpr Milliseconds kHousekeepingInterval{ 50 };

/// Pause between attempts to read the store at the start.
static constexpr Milliseconds kStoreRetryInterval{ 300 };

/// After this many "not ready" replies to its health checks, the platform is
/// assumed to send no more packets.
static constexpr int kMinNotReadyReplies = 2;

/// Time from the start of a planned stop after which the platform is assumed to
/// send no more packets even if it made no health checks. It makes one every
/// 500 ms.
static constexpr Milliseconds kMissingHealthCheckTimeout{ 1500 };

/// Once the platform is assumed to send no more packets, the planned stop ends
/// when no packet has arrived for this long. A balancer under load receives one
/// every few milliseconds.
static constexpr Milliseconds kDrainIdleTime{ 120 };

struct ForwardingBalancer::Impl
{
  Impl(asio::io_context& aContext, const Settings& aSettings);

  auto AnswerHealthCheck(const http::Request& aRequest)
    -> awaitable<http::Reply>;
  auto AnswerOperatorRequest(const http::Request& aRequest)
    -> awaitable<http::Reply>;
  auto IsReady() const -> bool;
  auto AdvertisedPeerAddress() const -> const std::string&;
  auto OtherSeeds() const -> std::vector<std::string>;
  auto IsSeed() const -> bool;
  auto ReadInitialState() -> awaitable<void>;
  auto JoinPeers() -> awaitable<void>;
  auto CreatePeerHub(const std::string& aSecret) -> bool;
  auto HousekeepingLoop() -> awaitable<void>;
  auto DrainLoop() -> awaitable<void>;
  auto UpdateBalancers(Clock::time_point aNow) -> void;

  asio::io_context& context;
  Settings settings;
  Metrics metrics;
  std::unique_ptr<forward::PacketCodec> packetCodec;
  std::unique_ptr<forward::StateSource> stateSource;
  std::unique_ptr<forward::FlowChoice> flowChoice;
  forward::RouteTable routes;
  forward::TargetDirectory targets;
  forward::RoutingState state;
  forward::SeedStateFetcher seedStateFetcher;
  PacketSocket packetSocket;
  forward::Forwarder forwarder;
  forward::SilentTargetProber silentTargetProber;
  flow::PauseDetector pauseDetector;
  std::unique_ptr<http::Server> statusServer;
  std::unique_ptr<http::Server> metricsServer;
  std::unique_ptr<peer::PeerHub> hub;
  std::unique_ptr<peer::Membership> members;
  std::unique_ptr<peer::Broadcast> broadcast;
  std::unique_ptr<forward::StateReader> stateReader;
  Clock::time_point startedAt = Clock::now();
  bool draining = false;
  bool lastReportedReady = false;
  int notReadyReplies = 0;
};

ForwardingBalancer::Impl::Impl(asio::io_context& aContext,
                               const Settings& aSettings)
  : context(aContext)
  , settings(aSettings)
  , packetCodec(
      forward::PacketCodecRegistry::Instance().Create(settings.packetCodec))
  , stateSource(forward::StateSourceRegistry::Instance().Create(
      settings.stateSource, context, settings.storeAddress, metrics))
  , flowChoice(
      forward::FlowChoiceRegistry::Instance().Create(settings.flowChoice))
  , targets(*packetCodec)
  , state(routes, targets, metrics)
  , seedStateFetcher(context, state, metrics, OtherSeeds())
  , packetSocket(context, metrics)
  , forwarder(*packetCodec, routes, targets, *flowChoice, packetSocket, metrics,
              { settings.failureDomain,
                std::chrono::seconds(settings.longestFlowSeconds),
                settings.seed != 0 ? static_cast<std::uint64_t>(settings.seed)
                                   : SecureRandomNumber(),
                { settings.warmUpExcess, settings.warmUpSlack },
                static_cast<std::uint32_t>(settings.hedgePercent) })
  , silentTargetProber(context, routes, targets, metrics)
  , pauseDetector(context, metrics)
{
}

ForwardingBalancer::ForwardingBalancer(asio::io_context& aContext,
                                       const Settings& aSettings)
  : m_impl(std::make_unique<Impl>(aContext, aSettings))
{
}

ForwardingBalancer::~ForwardingBalancer() = default;

auto ForwardingBalancer::Impl::IsReady() const -> bool
{
  return !draining && state.IsComplete();
}

auto ForwardingBalancer::Impl::UpdateBalancers(Clock::time_point aNow) -> void
{
  if (!stateReader) {
    forwarder.SetBalancers(forward::AssumedBalancerCount(
      state.RecordedBalancerCount(),
      std::chrono::duration_cast<Milliseconds>(aNow - startedAt)));
    return;
  }
  const auto count = stateReader->BalancerCount(aNow);
  const auto byDomain = members->AliveByDomain();
  forwarder.SetBalancers(count, byDomain);
  if (routes.HasWarmUpLimits()) {
    auto addresses = members->AliveAddressesInDomain();
    addresses.push_back(members->Self().address);
    const auto domains = byDomain.size() + members->LostDomains().size();
    const auto expected =
      (state.RecordedBalancerCount() + domains - 1) / domains;
    forwarder.SetDomainBalancers({ settings.failureDomain,
                                   members->Self().address,
                                   std::move(addresses), expected });
  }
}

/// Answers operators' requests for metrics and status. The replies contain no
/// secrets.
auto ForwardingBalancer::Impl::AnswerOperatorRequest(
  const http::Request& aRequest) -> awaitable<http::Reply>
{
  const ForwardingStatusSources sources{ settings.vmName,
                                         settings.failureDomain,
                                         IsReady(),
                                         draining,
                                         routes,
                                         targets,
                                         state,
                                         forwarder,
                                         metrics,
                                         members.get(),
                                         stateReader.get() };
  if (http::PathOf(aRequest.target) == "/metrics") {
    UpdateForwardingGauges(sources, metrics, Clock::now());
    http::Reply reply;
    reply.contentType = "text/plain; version=0.0.4";
    reply.body = metrics.Exposition();
    co_return reply;
  }
  co_return AnswerForwardingStatus(aRequest, sources, Clock::now());
}

/// Answers the platform's health check, which asks whether this balancer
/// accepts packets. The path of the request is ignored.
auto ForwardingBalancer::Impl::AnswerHealthCheck(const http::Request&)
  -> awaitable<http::Reply>
{
  http::Reply reply;
  const bool ready = IsReady();
  notReadyReplies += draining ? 1 : 0;
  reply.status = ready ? 200 : 503;
  reply.body = ready ? R"({"ready":true})" : R"({"ready":false})";
  if (ready != lastReportedReady) {
    lastReportedReady = ready;
    LogInfo("readiness",
            { { "ready", ready ? "true" : "false" },
              { "routes", std::to_string(routes.Current().version) },
              { "targets", std::to_string(targets.Size()) } });
  }
  co_return reply;
}

auto ForwardingBalancer::Impl::CreatePeerHub(const std::string& aSecret) -> bool
{
  peer::ClusterKey key{};
  if (!wire::KeyFromHex(aSecret, key)) {
    LogError("cluster-secret-malformed", {});
    return false;
  }
  std::error_code error;
  const auto address = ParseTcpEndpoint(settings.peerAddress, error);
  try {
    hub = std::make_unique<peer::PeerHub>(context, address, key, metrics);
  } catch (const boost::system::system_error& failure) {
    LogError("cannot-listen", { { "address", settings.peerAddress },
                                { "why", failure.what() } });
    return false;
  }
  hub->SetAdvertisedAddress(settings.peerAdvertised);
  hub->OnKeylessRequest([this](const std::string& aRequest) {
    return forward::AnswerSeedStateRequest(state, aRequest, Clock::now());
  });
  const wire::Hello self{
    settings.vmName, settings.failureDomain, hub->Address(), NewIncarnation(),
    forward::CapacityClass(settings.cpuShare, settings.linkMbps)
  };
  members = std::make_unique<peer::Membership>(context, *hub, self, metrics);
  // On the forwarding path the incarnation is used in membership records only,
  // so it may be renewed.
  members->AllowIncarnationRenewal();
  broadcast = std::make_unique<peer::Broadcast>(*hub, *members, metrics);
  stateReader = std::make_unique<forward::StateReader>(
    context, *stateSource, state, *hub, *members, *broadcast, metrics,
    forward::IntervalsFor(Milliseconds(settings.drainNoticeMs)));
  hub->Start(self);
  return true;
}

auto ForwardingBalancer::Impl::AdvertisedPeerAddress() const
  -> const std::string&
{
  return settings.peerAdvertised.empty() ? settings.peerAddress
                                         : settings.peerAdvertised;
}

auto ForwardingBalancer::Impl::OtherSeeds() const -> std::vector<std::string>
{
  std::vector<std::string> seeds;
  for (const auto& seed : peer::CandidatesFromSeeds(settings.peerSeeds)) {
    if (seed.address != AdvertisedPeerAddress()) {
      seeds.push_back(seed.address);
    }
  }
  return seeds;
}

auto ForwardingBalancer::Impl::IsSeed() const -> bool
{
  return OtherSeeds().size() <
         peer::CandidatesFromSeeds(settings.peerSeeds).size();
}

/// Reads routes and targets from the store for the first time. While the store
/// does not answer, clients are served with state fetched from a seed.
auto ForwardingBalancer::Impl::ReadInitialState() -> awaitable<void>
{
  seedStateFetcher.Start();
  for (;;) {
    const auto began = Clock::now();
    std::error_code error;
    auto reading = co_await stateSource->ReadAll(error);
    if (!error) {
      seedStateFetcher.Stop();
      // State fetched from a seed means that the store was down. Entries that
      // expired during the outage may be written again soon.
      const bool storeHadFailed = state.IsComplete();
      state.ApplyReading(std::move(reading), true, storeHadFailed, began,
                         Clock::now());
      co_return;
    }
    metrics.Add(Counter::StateReadFailed);
    LogWarning("store-unavailable", { { "why", error.message() } });
    co_await Sleep(kStoreRetryInterval);
  }
}

/// Reads the initial state and joins the peers. Peer links are authenticated by
/// a secret from the platform's store, so they open after the store has
/// answered.
auto ForwardingBalancer::Impl::JoinPeers() -> awaitable<void>
{
  if (settings.firstStart == "yes" && !IsSeed()) {
    co_await Sleep(kNonSeedStartDelay);
  }
  co_await ReadInitialState();
  for (;;) {
    std::error_code error;
    const auto secret = co_await stateSource->ClusterSecret(error);
    if (!error && CreatePeerHub(secret)) {
      break;
    }
    if (error) {
      LogWarning("cluster-secret-unavailable", { { "why", error.message() } });
    }
    co_await Sleep(kStoreRetryInterval);
  }
  stateReader->Start();
  // Serving clients comes first: opening a peer link takes more CPU time than
  // forwarding several hundred packets.
  co_await Sleep(kPeerStartDelay);
  members->SetCandidates(peer::CandidatesFromSeeds(settings.peerSeeds));
  members->Start(
    [this](wire::Heartbeat& aHeartbeat) { aHeartbeat.draining = draining; });
  silentTargetProber.SetBroadcast(*broadcast);
  forward::ExchangeContestedFlows(forwarder, *broadcast, metrics);
  forwarder.SetContestedFlowsKnownFrom(Clock::now() +
                                       forward::kMemberDiscoveryTime);
}

auto ForwardingBalancer::Impl::HousekeepingLoop() -> awaitable<void>
{
  auto lastExpiryAt = Clock::now();
  for (;;) {
    co_await Sleep(kHousekeepingInterval);
    const auto now = Clock::now();
    FlushLog();
    packetSocket.ReadPending();
    if (now - lastExpiryAt < kExpiryInterval) {
      continue;
    }
    lastExpiryAt = now;
    UpdateBalancers(now);
    forwarder.Expire(now);
    if (pauseDetector.Tick()) {
      silentTargetProber.OnPause();
      if (stateReader) {
        stateReader->ReadImmediately();
      }
    }
  }
}

auto ForwardingBalancer::Start(std::error_code& aError, std::string& aDetail)
  -> void
{
  using RequestHandler = awaitable<http::Reply> (Impl::*)(const http::Request&);
  auto& impl = *m_impl;
  const auto& settings = impl.settings;
  const auto packetAddress = ParseUdpEndpoint(settings.packetAddress, aError);
  impl.packetSocket.Start(
    packetAddress, static_cast<int>(settings.receiveBufferBytes),
    [&impl](char* aData, std::size_t aSize, Clock::duration aAge,
            Clock::time_point aNow) {
      impl.forwarder.OnDatagram(aData, aSize, aAge, aNow);
    },
    [&impl](Clock::time_point aReadUntil) {
      impl.forwarder.ResendUnanswered(aReadUntil);
    },
    [&impl](Clock::duration aPause, Clock::time_point aNow) {
      impl.forwarder.OnPause(aPause, aNow);
    },
    aError);
  if (aError) {
    aDetail = "listen.packets = " + settings.packetAddress;
    return;
  }
  const auto serve = [&](const std::string& aAddress, RequestHandler aHandler) {
    const auto address = ParseTcpEndpoint(aAddress, aError);
    auto server = std::make_unique<http::Server>(
      impl.context, address, [&impl, aHandler](const http::Request& aRequest) {
        return (impl.*aHandler)(aRequest);
      });
    server->Start();
    return server;
  };
  try {
    aDetail = "listen.status = " + settings.statusAddress;
    impl.statusServer = serve(settings.statusAddress, &Impl::AnswerHealthCheck);
    if (!settings.metricsAddress.empty()) {
      aDetail = "listen.metrics = " + settings.metricsAddress;
      impl.metricsServer =
        serve(settings.metricsAddress, &Impl::AnswerOperatorRequest);
    }
  } catch (const boost::system::system_error& failure) {
    aError = failure.code();
    return;
  }
  LogInfo("started", { { "version", BRAMLEYLOCK_VERSION },
                       { "failure_domain", settings.failureDomain },
                       { "packets", impl.packetSocket.Address() },
                       { "peers", settings.peerAddress },
                       { "store", settings.storeAddress } });
  impl.state.SetChangeListener([&impl] {
    impl.packetSocket.DetectPause();
    const auto now = Clock::now();
    impl.UpdateBalancers(now);
    impl.forwarder.RetryPendingFlows(now);
  });
  impl.targets.SetSuspicionListener(
    [&impl](const forward::DirectoryEntry& aTarget, Clock::time_point aAsOf) {
      impl.metrics.Add(Counter::TargetRestartSuspected);
      LogInfo("target-restart-suspected", { { "target", aTarget.record.id } });
      if (impl.stateReader) {
        impl.stateReader->ReadAsOf(aAsOf);
      }
    });
  // Peers report contested flows once this balancer has joined them.
  impl.forwarder.SetContestedFlowsKnownFrom(Clock::time_point::max());
  impl.forwarder.SetSilentTargetListener(
    [&impl](forward::DirectoryEntry& aTarget) {
      impl.silentTargetProber.OnTargetSilent(aTarget);
    });
  impl.forwarder.SetUnansweredRequestListener(
    [&impl](forward::DirectoryEntry& aTarget) {
      impl.silentTargetProber.OnRequestUnanswered(aTarget);
    });
  Spawn(impl.context, "join", impl.JoinPeers());
  Spawn(impl.context, "age", impl.HousekeepingLoop());
}

auto ForwardingBalancer::Drain() -> void
{
  if (m_impl->draining) {
    return;
  }
  m_impl->draining = true;
  LogInfo("drain-started",
          { { "flows", std::to_string(m_impl->forwarder.Flows().Size()) } });
  Spawn(m_impl->context, "drain", m_impl->DrainLoop());
}

auto ForwardingBalancer::Impl::DrainLoop() -> awaitable<void>
{
  const auto began = Clock::now();
  const auto stopDeadline = began + Milliseconds(settings.stopMs);
  if (members) {
    members->Leave();
  }
  while (Clock::now() < stopDeadline) {
    const auto now = Clock::now();
    const bool platformInformed = notReadyReplies >= kMinNotReadyReplies ||
                                  now - began > kMissingHealthCheckTimeout;
    if (platformInformed &&
        now - packetSocket.LastReceivedAt() > kDrainIdleTime) {
      break;
    }
    co_await Sleep(kDrainIdleTime / 4);
  }
  LogInfo("stopped",
          { { "forwarded_ms_ago",
              std::to_string(std::chrono::duration_cast<Milliseconds>(
                               Clock::now() - packetSocket.LastReceivedAt())
                               .count()) } });
  context.stop();
}

auto ForwardingBalancer::Reload(const Settings& aSettings) -> void
{
  // Listening addresses stay as they were bound; only the settings below can
  // change in a running process.
  m_impl->settings.peerSeeds = aSettings.peerSeeds;
  m_impl->settings.stopMs = aSettings.stopMs;
  if (m_impl->members) {
    m_impl->members->SetCandidates(
      peer::CandidatesFromSeeds(aSettings.peerSeeds));
  }
}

auto ForwardingBalancer::ReadyLine() const -> std::string
{
  const auto endpoint = m_impl->statusServer->Endpoint();
  return fmt::format("ready vm={} packets={} status={}",
                     m_impl->settings.vmName, m_impl->packetSocket.Address(),
                     FormatEndpoint(endpoint.address(), endpoint.port()));
}

static const Registration<DataPathRegistry, ForwardingBalancer> kRegistration(
  "forward");

} // namespace bramleylock::kernel
