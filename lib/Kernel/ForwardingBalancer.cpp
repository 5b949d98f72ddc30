// Wires the forwarding path together.

#include "bramleylock/Kernel/ForwardingBalancer.h"

#include "bramleylock/Flow/PauseDetector.h"
#include "bramleylock/Forward/Forwarder.h"
#include "bramleylock/Forward/SilenceWatch.h"
#include "bramleylock/Forward/StateBorrower.h"
#include "bramleylock/Forward/StateReader.h"
#include "bramleylock/Http/Http.h"
#include "bramleylock/Kernel/ForwardingView.h"
#include "bramleylock/Kernel/PacketPort.h"
#include "bramleylock/Peer/Broadcast.h"
#include "bramleylock/Peer/PeerHub.h"
#include "bramleylock/Support/Log.h"
#include "bramleylock/Wire/Token.h"

#include <fmt/format.h>

namespace bramleylock::kernel {

/// How long after the first reading begins peers are spoken to.
static constexpr Milliseconds kPeersLater{ 1000 };

/// At the first start of all, how long the others leave the seeds to write what
/// all have to read: machines start within 0.3 s of each other, and the slowest
/// take as long again to start.
static constexpr Milliseconds kSeedsFirst{ 1000 };

/// How often flows and targets are aged.
static constexpr Milliseconds kAgeEvery{ 250 };

/// How often first packets without an answer are looked for while no packet
/// comes; with packets it is done after each batch.
static constexpr Milliseconds kTick{ 50 };

/// Pause between tries to read the store at the start.
static constexpr Milliseconds kStoreRetry{ 300 };

/// Times that a stopping balancer has to say that it is not ready until no more
/// packets are sent to it.
static constexpr int kUnreadyTold = 2;

/// How long a stopping balancer forwards when nobody asks; the platform asks
/// every 500 ms.
static constexpr Milliseconds kUnasked{ 1500 };

/// Without a packet for this long after that, nobody sends any more: a busy
/// machine sees one every few milliseconds.
static constexpr Milliseconds kDrainQuiet{ 120 };

struct ForwardingBalancer::Parts
{
  Parts(asio::io_context& aContext, const Settings& aSettings);

  auto AnswerPlatform(const http::Request& aRequest) -> awaitable<http::Reply>;
  auto AnswerOperators(const http::Request& aRequest) -> awaitable<http::Reply>;
  auto Ready() const -> bool;
  auto OwnPeerAddress() const -> const std::string&;
  auto OtherSeeds() const -> std::vector<std::string>;
  auto IsSeed() const -> bool;
  auto ReadFirst() -> awaitable<void>;
  auto Join() -> awaitable<void>;
  auto OpenHub(const std::string& aSecret) -> bool;
  auto AgeLoop() -> awaitable<void>;
  auto DrainLoop() -> awaitable<void>;
  auto UpdateBalancers(Clock::time_point aNow) -> void;
  auto UpdateGauges() -> void;

  asio::io_context& context;
  Settings settings;
  Metrics metrics;
  std::unique_ptr<forward::PacketCodec> codec;
  std::unique_ptr<forward::StateSource> source;
  std::unique_ptr<forward::FlowChoice> choice;
  forward::RouteTable routes;
  forward::TargetDirectory targets;
  forward::RoutingState state;
  forward::StateBorrower borrower;
  PacketPort port;
  forward::Forwarder forwarder;
  forward::SilenceWatch silence;
  flow::PauseDetector pauses;
  std::unique_ptr<http::Server> status;
  std::unique_ptr<http::Server> metricsServer;
  std::unique_ptr<peer::PeerHub> hub;
  std::unique_ptr<peer::Membership> members;
  std::unique_ptr<peer::Broadcast> broadcast;
  std::unique_ptr<forward::StateReader> reader;
  Clock::time_point startedAt = Clock::now();
  bool draining = false;
  bool toldReady = false;
  int unreadyTold = 0;
};

ForwardingBalancer::Parts::Parts(asio::io_context& aContext,
                                 const Settings& aSettings)
  : context(aContext)
  , settings(aSettings)
  , codec(forward::PacketCodecRegistry::Instance().Create(settings.packetCodec))
  , source(forward::StateSourceRegistry::Instance().Create(
      settings.stateSource, context, settings.storeAddress, metrics))
  , choice(forward::FlowChoiceRegistry::Instance().Create(settings.flowChoice))
  , targets(*codec)
  , state(routes, targets, metrics)
  , borrower(context, state, metrics, OtherSeeds())
  , port(context, metrics)
  , forwarder(*codec, routes, targets, *choice, port, metrics,
              { settings.failureDomain,
                std::chrono::seconds(settings.longestFlowSeconds),
                settings.seed != 0 ? static_cast<std::uint64_t>(settings.seed)
                                   : SecretNumber() })
  , silence(context, routes, targets, metrics)
  , pauses(context, metrics)
{
}

ForwardingBalancer::ForwardingBalancer(asio::io_context& aContext,
                                       const Settings& aSettings)
  : m_parts(std::make_unique<Parts>(aContext, aSettings))
{
}

ForwardingBalancer::~ForwardingBalancer() = default;

auto ForwardingBalancer::Parts::Ready() const -> bool
{
  return !draining && state.Complete();
}

auto ForwardingBalancer::Parts::UpdateBalancers(Clock::time_point aNow) -> void
{
  if (!reader) {
    forwarder.SetBalancers(forward::AssumedBalancers(
      state.RecordedBalancers(),
      std::chrono::duration_cast<Milliseconds>(aNow - startedAt)));
    return;
  }
  forwarder.SetBalancers(reader->Balancers(aNow), members->AliveByDomain());
}

auto ForwardingBalancer::Parts::UpdateGauges() -> void
{
  const auto now = Clock::now();
  metrics.SetGauge("flows_tracked",
                   static_cast<double>(forwarder.Flows().Size()));
  metrics.SetGauge("flows_waiting", static_cast<double>(forwarder.Waiting()));
  metrics.SetGauge("targets_known", static_cast<double>(targets.Size()));
  metrics.SetGauge("state_age_seconds", InSeconds(now - state.ReadAt()));
  metrics.SetGauge("routes_age_seconds",
                   InSeconds(now - routes.InForceSince()));
  metrics.SetGauge("log_records_dropped",
                   static_cast<double>(LogRecordsDropped()));
}

/// What this balancer believes; nothing that is secret.
auto ForwardingBalancer::Parts::AnswerOperators(const http::Request& aRequest)
  -> awaitable<http::Reply>
{
  if (http::PathOf(aRequest.target) == "/metrics") {
    UpdateGauges();
    http::Reply reply;
    reply.contentType = "text/plain; version=0.0.4";
    reply.body = metrics.Exposition();
    co_return reply;
  }
  const ForwardingSources sources{ settings.vmName, settings.failureDomain,
                                   Ready(),         draining,
                                   routes,          targets,
                                   state,           forwarder,
                                   metrics,         members.get(),
                                   reader.get() };
  co_return AnswerForwardingView(aRequest, sources, Clock::now());
}

/// Whatever it asks, it asks whether to send packets here.
auto ForwardingBalancer::Parts::AnswerPlatform(const http::Request&)
  -> awaitable<http::Reply>
{
  http::Reply reply;
  const bool ready = Ready();
  unreadyTold += draining ? 1 : 0;
  reply.status = ready ? 200 : 503;
  reply.body = ready ? R"({"ready":true})" : R"({"ready":false})";
  if (ready != toldReady) {
    toldReady = ready;
    LogInfo("readiness",
            { { "ready", ready ? "true" : "false" },
              { "routes", std::to_string(routes.Current().version) },
              { "targets", std::to_string(targets.Size()) } });
  }
  co_return reply;
}

auto ForwardingBalancer::Parts::OpenHub(const std::string& aSecret) -> bool
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
  hub->OnKeylessRequest([this](const std::string& aQuestion) {
    return forward::AnswerBorrower(state, aQuestion, Clock::now());
  });
  const wire::Hello self{ settings.vmName, settings.failureDomain,
                          hub->Address(), NewIncarnation() };
  members = std::make_unique<peer::Membership>(context, *hub, self, metrics);
  // Nothing on this path names an incarnation but the members' records.
  members->AllowIncarnationRenewal();
  broadcast = std::make_unique<peer::Broadcast>(*hub, *members, metrics);
  reader = std::make_unique<forward::StateReader>(
    context, *source, state, *hub, *members, *broadcast, metrics);
  hub->Start(self);
  return true;
}

auto ForwardingBalancer::Parts::OwnPeerAddress() const -> const std::string&
{
  return settings.peerAdvertised.empty() ? settings.peerAddress
                                         : settings.peerAdvertised;
}

auto ForwardingBalancer::Parts::OtherSeeds() const -> std::vector<std::string>
{
  std::vector<std::string> seeds;
  for (const auto& seed : peer::CandidatesFromSeeds(settings.peerSeeds)) {
    if (seed.address != OwnPeerAddress()) {
      seeds.push_back(seed.address);
    }
  }
  return seeds;
}

auto ForwardingBalancer::Parts::IsSeed() const -> bool
{
  return OtherSeeds().size() <
         peer::CandidatesFromSeeds(settings.peerSeeds).size();
}

/// Clients are served from the first reading on, or from what a seed tells
/// while the store does not answer.
auto ForwardingBalancer::Parts::ReadFirst() -> awaitable<void>
{
  borrower.Start();
  for (;;) {
    const auto began = Clock::now();
    std::error_code error;
    auto reading = co_await source->ReadAll(error);
    if (!error) {
      borrower.Stop();
      // After an outage entries may have lapsed that are back soon.
      const bool troubled = state.Complete();
      state.TakeReading(std::move(reading), true, troubled, began,
                        Clock::now());
      co_return;
    }
    metrics.Add(Counter::StateReadFailed);
    LogWarning("store-unavailable", { { "why", error.message() } });
    co_await Sleep(kStoreRetry);
  }
}

/// Peers are spoken to under a secret that stands in the platform's store, so
/// they are met after the store has answered.
auto ForwardingBalancer::Parts::Join() -> awaitable<void>
{
  if (settings.firstStart == "yes" && !IsSeed()) {
    co_await Sleep(kSeedsFirst);
  }
  co_await ReadFirst();
  for (;;) {
    std::error_code error;
    const auto secret = co_await source->ClusterSecret(error);
    if (!error && OpenHub(secret)) {
      break;
    }
    if (error) {
      LogWarning("cluster-secret-unavailable", { { "why", error.message() } });
    }
    co_await Sleep(kStoreRetry);
  }
  reader->Start();
  // Peers can wait until clients are served: a link costs more processor time
  // than some hundred packets.
  co_await Sleep(kPeersLater);
  members->SetCandidates(peer::CandidatesFromSeeds(settings.peerSeeds));
  members->Start(
    [this](wire::Heartbeat& aHeartbeat) { aHeartbeat.draining = draining; });
  silence.Join(*broadcast);
}

auto ForwardingBalancer::Parts::AgeLoop() -> awaitable<void>
{
  auto aged = Clock::now();
  for (;;) {
    co_await Sleep(kTick);
    const auto now = Clock::now();
    FlushLog();
    port.ReadWaiting();
    if (now - aged < kAgeEvery) {
      continue;
    }
    aged = now;
    UpdateBalancers(now);
    forwarder.Expire(now);
    if (pauses.Tick()) {
      silence.OnPause();
      if (reader) {
        reader->Hurry();
      }
    }
  }
}

auto ForwardingBalancer::Start(std::error_code& aError, std::string& aDetail)
  -> void
{
  using Answer = awaitable<http::Reply> (Parts::*)(const http::Request&);
  auto& parts = *m_parts;
  const auto& settings = parts.settings;
  const auto packets = ParseUdpEndpoint(settings.packetAddress, aError);
  parts.port.Start(
    packets, static_cast<int>(settings.receiveBufferBytes),
    [&parts](char* aData, std::size_t aSize, Clock::time_point aNow) {
      parts.forwarder.OnDatagram(aData, aSize, aNow);
    },
    [&parts](Clock::time_point aReadUntil) {
      parts.forwarder.RepeatUnanswered(aReadUntil);
    },
    aError);
  if (aError) {
    aDetail = "listen.packets = " + settings.packetAddress;
    return;
  }
  const auto serve = [&](const std::string& aAddress, Answer aAnswer) {
    const auto address = ParseTcpEndpoint(aAddress, aError);
    auto server = std::make_unique<http::Server>(
      parts.context, address, [&parts, aAnswer](const http::Request& aRequest) {
        return (parts.*aAnswer)(aRequest);
      });
    server->Start();
    return server;
  };
  try {
    aDetail = "listen.status = " + settings.statusAddress;
    parts.status = serve(settings.statusAddress, &Parts::AnswerPlatform);
    if (!settings.metricsAddress.empty()) {
      aDetail = "listen.metrics = " + settings.metricsAddress;
      parts.metricsServer =
        serve(settings.metricsAddress, &Parts::AnswerOperators);
    }
  } catch (const boost::system::system_error& failure) {
    aError = failure.code();
    return;
  }
  LogInfo("started", { { "version", BRAMLEYLOCK_VERSION },
                       { "failure_domain", settings.failureDomain },
                       { "packets", parts.port.Address() },
                       { "peers", settings.peerAddress },
                       { "store", settings.storeAddress } });
  parts.state.OnChange([&parts] {
    const auto now = Clock::now();
    parts.UpdateBalancers(now);
    parts.forwarder.ServeWaiting(now);
  });
  parts.forwarder.OnSilent([&parts](forward::DirectoryEntry& aTarget) {
    parts.silence.OnSilent(aTarget);
  });
  parts.forwarder.OnUnanswered([&parts](forward::DirectoryEntry& aTarget) {
    parts.silence.OnUnanswered(aTarget);
  });
  Spawn(parts.context, "join", parts.Join());
  Spawn(parts.context, "age", parts.AgeLoop());
}

auto ForwardingBalancer::Drain() -> void
{
  if (m_parts->draining) {
    return;
  }
  m_parts->draining = true;
  LogInfo("drain-started",
          { { "flows", std::to_string(m_parts->forwarder.Flows().Size()) } });
  Spawn(m_parts->context, "drain", m_parts->DrainLoop());
}

auto ForwardingBalancer::Parts::DrainLoop() -> awaitable<void>
{
  const auto began = Clock::now();
  const auto limit = began + Milliseconds(settings.stopMs);
  if (members) {
    members->Leave();
  }
  while (Clock::now() < limit) {
    const auto now = Clock::now();
    const bool heard = unreadyTold >= kUnreadyTold || now - began > kUnasked;
    if (heard && now - port.LastPacketAt() > kDrainQuiet) {
      break;
    }
    co_await Sleep(kDrainQuiet / 4);
  }
  LogInfo("stopped",
          { { "forwarded_ms_ago",
              std::to_string(std::chrono::duration_cast<Milliseconds>(
                               Clock::now() - port.LastPacketAt())
                               .count()) } });
  context.stop();
}

auto ForwardingBalancer::Reload(const Settings& aSettings) -> void
{
  // Addresses stay as they are bound; the rest is what a running process can
  // take.
  m_parts->settings.peerSeeds = aSettings.peerSeeds;
  m_parts->settings.stopMs = aSettings.stopMs;
  if (m_parts->members) {
    m_parts->members->SetCandidates(
      peer::CandidatesFromSeeds(aSettings.peerSeeds));
  }
}

auto ForwardingBalancer::ReadyLine() const -> std::string
{
  const auto endpoint = m_parts->status->Endpoint();
  return fmt::format("ready vm={} packets={} status={}",
                     m_parts->settings.vmName, m_parts->port.Address(),
                     FormatEndpoint(endpoint.address(), endpoint.port()));
}

static const Registration<DataPathRegistry, ForwardingBalancer> kRegistration(
  "forward");

} // namespace bramleylock::kernel
