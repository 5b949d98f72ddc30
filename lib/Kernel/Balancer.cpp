// Construction, start and planned stop of the request path's components.

#include "bramleylock/Kernel/Balancer.h"

#include "bramleylock/Flow/Dispatcher.h"
#include "bramleylock/Kernel/AdminApi.h"
#include "bramleylock/Kernel/AllowanceExchange.h"
#include "bramleylock/Kernel/CallerEntry.h"
#include "bramleylock/Kernel/CapacityAllocator.h"
#include "bramleylock/Kernel/FleetViewUpdater.h"
#include "bramleylock/Kernel/PlatformWatcher.h"
#include "bramleylock/Kernel/TokenKeyManager.h"
#include "bramleylock/Support/Log.h"
#include "bramleylock/Support/Random.h"
#include "bramleylock/Target/HealthProber.h"

#include <fmt/format.h>

#include <algorithm>

namespace bramleylock::kernel {

/// Time between announcing the departure to the peers and stopping, so that the
/// messages are sent.
static constexpr Milliseconds kLeaveDelay{ 300 };

static constexpr Milliseconds kUpdateInterval{ 500 };

/// Lower rates, in requests per second, are not reported to peers.
static constexpr double kMinReportedRequestsPerSecond = 0.5;

/// An old token key is kept for this many flow idle timeouts after the new key
/// starts to sign.
static constexpr int kKeyOverlapIdleTimeouts = 2;

struct Balancer::Impl
{
  Impl(asio::io_context& aContext, const Settings& aSettings)
    : context(aContext)
    , settings(aSettings)
    , lists(metrics)
    , planLimits(admission::AllowanceSharingRegistry::Instance().Create(
        settings.planLimits))
  {
  }

  auto LoadSecrets(std::error_code& aError, std::string& aDetail) -> void;
  auto CreateComponents(std::error_code& aError, std::string& aDetail) -> void;
  auto FillHeartbeat(wire::Heartbeat& aHeartbeat) const -> void;
  auto UpdatePeersInFlight() -> void;
  auto UpdateDemand() -> void;
  auto UpdateBalancers() -> void;
  auto UpdateLoop() -> awaitable<void>;
  auto DrainLoop() -> awaitable<void>;

  asio::io_context& context;
  Settings settings;
  Metrics metrics;
  wire::KeyRing keys;
  lists::ListReplica lists;
  admission::PlanLimits planLimits;
  peer::ClusterKey clusterKey{};
  std::string adminToken;
  http::TlsContext adminTls;
  std::unique_ptr<CallerEntry> callerEntry;
  std::unique_ptr<lists::PlatformStore> store;
  std::unique_ptr<admission::AdmissionPolicy> admission;
  admission::RetryBudget retryBudget;
  std::unique_ptr<target::TargetTable> targets;
  std::unique_ptr<target::HealthProber> prober;
  std::unique_ptr<peer::PeerHub> hub;
  std::unique_ptr<peer::Membership> members;
  std::unique_ptr<CapacityAllocator> capacityAllocator;
  std::unique_ptr<FleetViewUpdater> fleetViewUpdater;
  std::unique_ptr<AllowanceExchange> allowanceExchange;
  std::unique_ptr<flow::Environment> environment;
  std::unique_ptr<flow::Dispatcher> dispatcher;
  std::unique_ptr<lists::ListEditor> editor;
  std::unique_ptr<PlatformWatcher> watcher;
  std::unique_ptr<TokenKeyManager> tokenKeyManager;
  std::unique_ptr<AdminApi> admin;
  bool draining = false;
};

Balancer::Balancer(asio::io_context& aContext, const Settings& aSettings)
  : m_impl(std::make_unique<Impl>(aContext, aSettings))
{
}

Balancer::~Balancer() = default;

auto Balancer::Impl::LoadSecrets(std::error_code& aError, std::string& aDetail)
  -> void
{
  const auto key = ReadSecretFile(settings.clusterKeyFile, aError);
  if (aError || !wire::KeyFromHex(key, clusterKey)) {
    aError = SettingsError::Invalid;
    aDetail = settings.clusterKeyFile +
              ": expected a line of 64 hexadecimal digits, such as "
              "'openssl rand -hex 32' prints";
    return;
  }
  adminToken = ReadSecretFile(settings.adminTokenFile, aError);
  if (aError) {
    aDetail = settings.adminTokenFile + ": expected a line with the token";
    return;
  }
  if (!settings.adminCertificateFile.empty()) {
    adminTls = http::MakeServerTls(settings.adminCertificateFile,
                                   settings.adminKeyFile, aError, aDetail);
  }
}

auto Balancer::Impl::CreateComponents(std::error_code& aError,
                                      std::string& aDetail) -> void
{
  const auto seed = settings.seed != 0
                      ? static_cast<std::uint64_t>(settings.seed)
                      : SecureRandomNumber();
  callerEntry =
    CallerEntryRegistry::Instance().Create(settings.callerEntry, context);
  store = lists::StoreRegistry::Instance().Create(
    settings.platformStore, context, settings.storeAddress, metrics);
  admission = admission::AdmissionRegistry::Instance().Create(
    settings.admissionPolicy, context);
  targets = std::make_unique<target::TargetTable>(
    settings.failureDomain,
    target::TransportRegistry::Instance().Create(settings.targetTransport,
                                                 context),
    target::ChoiceRegistry::Instance().Create(settings.targetChoice), metrics,
    seed);
  const auto peerAddress = ParseTcpEndpoint(settings.peerAddress, aError);
  try {
    hub = std::make_unique<peer::PeerHub>(context, peerAddress, clusterKey,
                                          metrics);
  } catch (const boost::system::system_error& failure) {
    aError = failure.code();
    aDetail = "listen.peers = " + settings.peerAddress;
    return;
  }
  hub->SetAdvertisedAddress(settings.peerAdvertised);
  const wire::Hello self{ settings.vmName, settings.failureDomain,
                          hub->Address(), NewIncarnation() };
  members = std::make_unique<peer::Membership>(context, *hub, self, metrics);
  capacityAllocator =
    std::make_unique<CapacityAllocator>(lists, *members, *targets, *admission);
  fleetViewUpdater =
    std::make_unique<FleetViewUpdater>(*members, *targets, planLimits);
  allowanceExchange = std::make_unique<AllowanceExchange>(
    lists, *hub, planLimits, metrics, UnixTimeMs);
  prober =
    std::make_unique<target::HealthProber>(context, *targets, hub->Address());
  const auto send = [this](const Udp::endpoint& aCaller,
                           const std::string& aData) {
    callerEntry->Send(aCaller, aData);
  };
  environment = std::make_unique<flow::Environment>(
    flow::Environment{ context, metrics, keys, lists, *hub, *members, *targets,
                       *admission, retryBudget, planLimits, send });
  dispatcher = std::make_unique<flow::Dispatcher>(
    *environment, std::chrono::seconds(settings.idleFlowSeconds));
  tokenKeyManager = std::make_unique<TokenKeyManager>(
    context, *store, keys, *hub, *members, metrics,
    kKeyOverlapIdleTimeouts * std::chrono::seconds(settings.idleFlowSeconds));
  editor = std::make_unique<lists::ListEditor>(*store, lists, metrics);
  watcher = std::make_unique<PlatformWatcher>(PlatformWatcherComponents{
    context, metrics, *store, lists, *editor, *hub, *members, *targets });
  tokenKeyManager->SetStoreReadCondition(
    [this] { return watcher->IsWatching(); });
  hub->Start(self);
}

auto Balancer::Impl::FillHeartbeat(wire::Heartbeat& aHeartbeat) const -> void
{
  aHeartbeat.listsRevision = lists.Revision();
  aHeartbeat.listsDigest = lists.Digest();
  aHeartbeat.newestKeyId = tokenKeyManager->NewestKey();
  aHeartbeat.signingKeyId = tokenKeyManager->SigningKey();
  aHeartbeat.draining = draining;
  capacityAllocator->FillHeartbeat(aHeartbeat);
  for (const auto& [address, target] : targets->All()) {
    if (target->inFlight > 0) {
      aHeartbeat.inFlight.emplace_back(address, target->inFlight);
    }
  }
  aHeartbeat.drainingTargets = targets->DrainingTargets();
  for (const auto& [service, rate] : targets->RequestRates()) {
    if (rate >= kMinReportedRequestsPerSecond) {
      aHeartbeat.requestRates.emplace_back(service, static_cast<float>(rate));
    }
  }
}

auto Balancer::Impl::UpdatePeersInFlight() -> void
{
  std::map<std::string, std::uint32_t> counts;
  for (const auto& member : members->AliveMembers()) {
    for (const auto& [address, count] : member.latestHeartbeat.inFlight) {
      counts[address] += count;
    }
  }
  targets->SetPeersInFlight(counts);
}

/// Passes the live balancers to the target layer: they share the targets'
/// connections and health probes.
auto Balancer::Impl::UpdateBalancers() -> void
{
  const auto& self = members->Self();
  const auto alive = members->AliveMembers();
  target::BalancersByDomain balancers;
  balancers[self.failureDomain].push_back(self.address);
  for (const auto& member : alive) {
    balancers[member.failureDomain].push_back(member.address);
  }
  targets->SetBalancerCount(members->AliveCount(), self.address);
  prober->SetBalancers(std::move(balancers));
}

/// Estimates the request rate that arrives in each failure domain, by service.
/// The mean rate of the balancers known here is extrapolated to all live
/// balancers of their domain. A small constant is added for each balancer, so
/// that without traffic the demand is proportional to the number of balancers.
auto Balancer::Impl::UpdateDemand() -> void
{
  const auto current = lists.Current();
  if (!current) {
    return;
  }
  std::map<std::string, target::DomainShares> knownRates;
  std::map<std::string, double> knownBalancers;
  knownBalancers[settings.failureDomain] += 1;
  for (const auto& [service, rate] : targets->RequestRates()) {
    knownRates[service][settings.failureDomain] += rate;
  }
  for (const auto& member : members->AliveMembers()) {
    knownBalancers[member.failureDomain] += 1;
    for (const auto& [service, rate] : member.latestHeartbeat.requestRates) {
      knownRates[service][member.failureDomain] += rate;
    }
  }
  const auto alive = members->AliveByDomain();
  std::map<std::string, target::DomainShares> demand;
  for (const auto& [service, row] : current->services) {
    for (const auto& [domain, count] : alive) {
      const double mean =
        knownRates[service][domain] / std::max(1.0, knownBalancers[domain]);
      demand[service][domain] =
        static_cast<double>(count) * (mean + kMinReportedRequestsPerSecond);
    }
  }
  targets->SetDemand(std::move(demand));
}

auto Balancer::Impl::UpdateLoop() -> awaitable<void>
{
  for (;;) {
    capacityAllocator->Update();
    fleetViewUpdater->Update();
    UpdateDemand();
    UpdateBalancers();
    co_await Sleep(kUpdateInterval);
  }
}

auto Balancer::Start(std::error_code& aError, std::string& aDetail) -> void
{
  auto& impl = *m_impl;
  impl.LoadSecrets(aError, aDetail);
  if (aError) {
    return;
  }
  impl.CreateComponents(aError, aDetail);
  if (aError) {
    return;
  }
  const auto callers = ParseUdpEndpoint(impl.settings.callerAddress, aError);
  impl.callerEntry->Start(
    callers, static_cast<int>(impl.settings.receiveBufferBytes),
    [&impl](const char* aData, std::size_t aSize,
            const Udp::endpoint& aCaller) {
      impl.dispatcher->OnDatagram(aData, aSize, aCaller);
    },
    aError);
  if (aError) {
    aDetail = "listen.callers = " + impl.settings.callerAddress;
    return;
  }
  AdminComponents components{
    impl.metrics,        impl.lists,           *impl.members,
    *impl.targets,       *impl.dispatcher,     *impl.editor,
    *impl.watcher,       *impl.admission,      *impl.hub,
    [this] { Drain(); }, *impl.tokenKeyManager
  };
  try {
    impl.admin =
      std::make_unique<AdminApi>(impl.context, impl.settings.adminAddress,
                                 impl.adminTls, impl.adminToken, components);
  } catch (const boost::system::system_error& failure) {
    aError = failure.code();
    aDetail = "listen.administration = " + impl.settings.adminAddress;
    return;
  }
  impl.dispatcher->Start();
  impl.watcher->OnTargetsChanged([&impl] {
    impl.capacityAllocator->Update();
    impl.fleetViewUpdater->Update();
  });
  impl.members->SetCandidates(
    peer::CandidatesFromSeeds(impl.settings.peerSeeds));
  impl.watcher->Start();
  impl.tokenKeyManager->Start();
  impl.members->OnHeartbeat([&impl](const peer::Member& aMember) {
    impl.watcher->OnHeartbeat(aMember);
    impl.tokenKeyManager->OnHeartbeat(aMember);
    impl.UpdatePeersInFlight();
    impl.targets->RecordPeersDraining(aMember.latestHeartbeat.drainingTargets);
  });
  impl.members->Start(
    [&impl](wire::Heartbeat& aHeartbeat) { impl.FillHeartbeat(aHeartbeat); });
  impl.lists.OnInstall([&impl] {
    impl.capacityAllocator->Update();
    impl.members->SendHeartbeats();
  });
  Spawn(impl.context, "capacity", impl.UpdateLoop());
  impl.allowanceExchange->Start();
  impl.prober->Start();
}

auto Balancer::Drain() -> void
{
  if (m_impl->draining) {
    return;
  }
  m_impl->draining = true;
  LogInfo("drain-started", {});
  Spawn(m_impl->context, "drain", m_impl->DrainLoop());
}

auto Balancer::Impl::DrainLoop() -> awaitable<void>
{
  dispatcher->Drain();
  members->SendHeartbeats();
  const auto drainDeadline =
    Clock::now() + std::chrono::seconds(settings.drainSeconds);
  co_await dispatcher->HandOverFlows(drainDeadline);
  while (dispatcher->Flows().InFlight() > 0 && Clock::now() < drainDeadline) {
    co_await Sleep(Milliseconds(20));
  }
  members->Leave();
  co_await Sleep(kLeaveDelay);
  LogInfo(
    "drain-finished",
    { { "cut_requests", std::to_string(dispatcher->Flows().InFlight()) } });
  context.stop();
}

auto Balancer::Reload(const Settings& aSettings) -> void
{
  m_impl->settings.drainSeconds = aSettings.drainSeconds;
  m_impl->members->SetCandidates(
    peer::CandidatesFromSeeds(aSettings.peerSeeds));
}

auto Balancer::ReadyLine() const -> std::string
{
  const auto& impl = *m_impl;
  return fmt::format("ready vm={} callers={} peers={} administration={}",
                     impl.settings.vmName, impl.callerEntry->Address(),
                     impl.hub->Address(), impl.admin->Address());
}

static const Registration<DataPathRegistry, Balancer> kRegistration("requests");

} // namespace bramleylock::kernel
