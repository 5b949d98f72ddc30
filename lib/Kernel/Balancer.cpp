// Wires the layers together.

#include "bramleylock/Kernel/Balancer.h"

#include "bramleylock/Flow/Dispatcher.h"
#include "bramleylock/Kernel/AdminApi.h"
#include "bramleylock/Kernel/AllowanceExchange.h"
#include "bramleylock/Kernel/CallerEntry.h"
#include "bramleylock/Kernel/CapacityKeeper.h"
#include "bramleylock/Kernel/KeyKeeper.h"
#include "bramleylock/Kernel/PlanLimitsKeeper.h"
#include "bramleylock/Kernel/PlatformWatcher.h"
#include "bramleylock/Support/Log.h"
#include "bramleylock/Support/Random.h"
#include "bramleylock/Target/HealthProber.h"

#include <fmt/format.h>

#include <algorithm>

namespace bramleylock::kernel {

/// How long a stopping balancer stays after its last request, so that peers
/// hear that it leaves.
static constexpr Milliseconds kFarewell{ 300 };

static constexpr Milliseconds kCapacityEvery{ 500 };

/// Requests a second below which a rate is not told to peers.
static constexpr double kLeastToldRate = 0.5;

/// How many idle times of a flow an old token key outlives its successor.
static constexpr int kKeyOverlapIdles = 2;

struct Balancer::Parts
{
  Parts(asio::io_context& aContext, const Settings& aSettings)
    : context(aContext)
    , settings(aSettings)
    , lists(metrics)
    , planLimits(admission::AllowanceSharingRegistry::Instance().Create(
        settings.planLimits))
  {
  }

  auto OpenSecrets(std::error_code& aError, std::string& aDetail) -> void;
  auto Build(std::error_code& aError, std::string& aDetail) -> void;
  auto FillHeartbeat(wire::Heartbeat& aHeartbeat) const -> void;
  auto TakePeersInFlight() -> void;
  auto TakeDemand() -> void;
  auto TakeBalancers() -> void;
  auto CapacityLoop() -> awaitable<void>;
  auto DrainLoop() -> awaitable<void>;

  asio::io_context& context;
  Settings settings;
  Metrics metrics;
  wire::KeyRing keys;
  lists::ListKeeper lists;
  admission::PlanLimits planLimits;
  peer::ClusterKey clusterKey{};
  std::string adminToken;
  http::TlsContext adminTls;
  std::unique_ptr<CallerEntry> entry;
  std::unique_ptr<lists::PlatformStore> store;
  std::unique_ptr<admission::AdmissionPolicy> admission;
  admission::RetryBudget retries;
  std::unique_ptr<target::TargetTable> targets;
  std::unique_ptr<target::HealthProber> prober;
  std::unique_ptr<peer::PeerHub> hub;
  std::unique_ptr<peer::Membership> members;
  std::unique_ptr<CapacityKeeper> capacity;
  std::unique_ptr<PlanLimitsKeeper> planKeeper;
  std::unique_ptr<AllowanceExchange> exchange;
  std::unique_ptr<flow::Environment> environment;
  std::unique_ptr<flow::Dispatcher> dispatcher;
  std::unique_ptr<lists::ListEditor> editor;
  std::unique_ptr<PlatformWatcher> watcher;
  std::unique_ptr<KeyKeeper> keyKeeper;
  std::unique_ptr<AdminApi> admin;
  bool draining = false;
};

Balancer::Balancer(asio::io_context& aContext, const Settings& aSettings)
  : m_parts(std::make_unique<Parts>(aContext, aSettings))
{
}

Balancer::~Balancer() = default;

auto Balancer::Parts::OpenSecrets(std::error_code& aError, std::string& aDetail)
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

auto Balancer::Parts::Build(std::error_code& aError, std::string& aDetail)
  -> void
{
  const auto seed = settings.seed != 0
                      ? static_cast<std::uint64_t>(settings.seed)
                      : SecretNumber();
  entry = CallerEntryRegistry::Instance().Create(settings.callerEntry, context);
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
  hub->SetAdvertised(settings.peerAdvertised);
  const wire::Hello self{ settings.vmName, settings.failureDomain,
                          hub->Address(), NewIncarnation() };
  members = std::make_unique<peer::Membership>(context, *hub, self, metrics);
  capacity =
    std::make_unique<CapacityKeeper>(lists, *members, *targets, *admission);
  planKeeper =
    std::make_unique<PlanLimitsKeeper>(*members, *targets, planLimits);
  exchange = std::make_unique<AllowanceExchange>(lists, *hub, planLimits,
                                                 metrics, WallMilliseconds);
  prober =
    std::make_unique<target::HealthProber>(context, *targets, hub->Address());
  const auto send = [this](const Udp::endpoint& aCaller,
                           const std::string& aData) {
    entry->Send(aCaller, aData);
  };
  environment = std::make_unique<flow::Environment>(
    flow::Environment{ context, metrics, keys, lists, *hub, *members, *targets,
                       *admission, retries, planLimits, send });
  dispatcher = std::make_unique<flow::Dispatcher>(
    *environment, std::chrono::seconds(settings.idleFlowSeconds));
  keyKeeper = std::make_unique<KeyKeeper>(
    context, *store, keys, *hub, *members, metrics,
    kKeyOverlapIdles * std::chrono::seconds(settings.idleFlowSeconds));
  editor = std::make_unique<lists::ListEditor>(*store, lists, metrics);
  watcher = std::make_unique<PlatformWatcher>(PlatformView{
    context, metrics, *store, lists, *editor, *hub, *members, *targets });
  keyKeeper->SetGate([this] { return watcher->Watching(); });
  hub->Start(self);
}

auto Balancer::Parts::FillHeartbeat(wire::Heartbeat& aHeartbeat) const -> void
{
  aHeartbeat.listsRevision = lists.Revision();
  aHeartbeat.listsDigest = lists.Digest();
  aHeartbeat.newestKey = keyKeeper->NewestKey();
  aHeartbeat.draining = draining;
  capacity->FillHeartbeat(aHeartbeat);
  for (const auto& [address, target] : targets->All()) {
    if (target->inFlight > 0) {
      aHeartbeat.inFlight.emplace_back(address, target->inFlight);
    }
  }
  aHeartbeat.drainingTargets = targets->DrainingTargets();
  for (const auto& [service, rate] : targets->RequestRates()) {
    if (rate >= kLeastToldRate) {
      aHeartbeat.rates.emplace_back(service, static_cast<float>(rate));
    }
  }
}

auto Balancer::Parts::TakePeersInFlight() -> void
{
  std::map<std::string, std::uint32_t> counts;
  for (const auto& member : members->Alive()) {
    for (const auto& [address, count] : member.latest.inFlight) {
      counts[address] += count;
    }
  }
  targets->SetPeersInFlight(counts);
}

/// Tells the target layer who shares the targets' connections and probes.
auto Balancer::Parts::TakeBalancers() -> void
{
  const auto& self = members->Self();
  const auto alive = members->Alive();
  target::BalancersByDomain balancers;
  balancers[self.failureDomain].push_back(self.address);
  for (const auto& member : alive) {
    balancers[member.failureDomain].push_back(member.address);
  }
  targets->SetBalancerCount(members->AliveCount(), self.address);
  prober->SetBalancers(std::move(balancers));
}

/// Sums the work that arrives in each failure domain. Those heard stand for
/// the others of their domain, and every balancer counts for a little, so that
/// without traffic the numbers of balancers decide.
auto Balancer::Parts::TakeDemand() -> void
{
  const auto current = lists.Current();
  if (!current) {
    return;
  }
  std::map<std::string, target::DomainShares> heardRates;
  std::map<std::string, double> heard;
  heard[settings.failureDomain] += 1;
  for (const auto& [service, rate] : targets->RequestRates()) {
    heardRates[service][settings.failureDomain] += rate;
  }
  for (const auto& member : members->Alive()) {
    heard[member.failureDomain] += 1;
    for (const auto& [service, rate] : member.latest.rates) {
      heardRates[service][member.failureDomain] += rate;
    }
  }
  const auto alive = members->AliveByDomain();
  std::map<std::string, target::DomainShares> demand;
  for (const auto& [service, row] : current->services) {
    for (const auto& [domain, count] : alive) {
      const double mean =
        heardRates[service][domain] / std::max(1.0, heard[domain]);
      demand[service][domain] =
        static_cast<double>(count) * (mean + kLeastToldRate);
    }
  }
  targets->SetDemand(std::move(demand));
}

auto Balancer::Parts::CapacityLoop() -> awaitable<void>
{
  for (;;) {
    capacity->Update();
    planKeeper->Update();
    TakeDemand();
    TakeBalancers();
    co_await Sleep(kCapacityEvery);
  }
}

auto Balancer::Start(std::error_code& aError, std::string& aDetail) -> void
{
  auto& parts = *m_parts;
  parts.OpenSecrets(aError, aDetail);
  if (aError) {
    return;
  }
  parts.Build(aError, aDetail);
  if (aError) {
    return;
  }
  const auto callers = ParseUdpEndpoint(parts.settings.callerAddress, aError);
  parts.entry->Start(
    callers, static_cast<int>(parts.settings.receiveBufferBytes),
    [&parts](const char* aData, std::size_t aSize,
             const Udp::endpoint& aCaller) {
      parts.dispatcher->OnDatagram(aData, aSize, aCaller);
    },
    aError);
  if (aError) {
    aDetail = "listen.callers = " + parts.settings.callerAddress;
    return;
  }
  AdminView view{ parts.metrics,       parts.lists,       *parts.members,
                  *parts.targets,      *parts.dispatcher, *parts.editor,
                  *parts.watcher,      *parts.admission,  *parts.hub,
                  [this] { Drain(); }, *parts.keyKeeper };
  try {
    parts.admin =
      std::make_unique<AdminApi>(parts.context, parts.settings.adminAddress,
                                 parts.adminTls, parts.adminToken, view);
  } catch (const boost::system::system_error& failure) {
    aError = failure.code();
    aDetail = "listen.administration = " + parts.settings.adminAddress;
    return;
  }
  parts.dispatcher->Start();
  parts.watcher->OnTargets([&parts] {
    parts.capacity->Update();
    parts.planKeeper->Update();
  });
  parts.members->SetHints(peer::HintsFromSeeds(parts.settings.peerSeeds));
  parts.watcher->Start();
  parts.keyKeeper->Start();
  parts.members->OnHeartbeat([&parts](const peer::Member& aMember) {
    parts.watcher->OnHeartbeat(aMember);
    parts.keyKeeper->OnHeartbeat(aMember);
    parts.TakePeersInFlight();
    parts.targets->RecordPeersDraining(aMember.latest.drainingTargets);
  });
  parts.members->Start(
    [&parts](wire::Heartbeat& aHeartbeat) { parts.FillHeartbeat(aHeartbeat); });
  parts.lists.OnInstall([&parts] {
    parts.capacity->Update();
    parts.members->Announce();
  });
  Spawn(parts.context, "capacity", parts.CapacityLoop());
  parts.exchange->Start();
  parts.prober->Start();
}

auto Balancer::Drain() -> void
{
  if (m_parts->draining) {
    return;
  }
  m_parts->draining = true;
  LogInfo("drain-started", {});
  Spawn(m_parts->context, "drain", m_parts->DrainLoop());
}

auto Balancer::Parts::DrainLoop() -> awaitable<void>
{
  dispatcher->Drain();
  members->Announce();
  const auto limit = Clock::now() + std::chrono::seconds(settings.drainSeconds);
  co_await dispatcher->HandOverFlows(limit);
  while (dispatcher->Flows().InFlight() > 0 && Clock::now() < limit) {
    co_await Sleep(Milliseconds(20));
  }
  members->Leave();
  co_await Sleep(kFarewell);
  LogInfo(
    "drain-finished",
    { { "cut_requests", std::to_string(dispatcher->Flows().InFlight()) } });
  context.stop();
}

auto Balancer::Reload(const Settings& aSettings) -> void
{
  m_parts->settings.drainSeconds = aSettings.drainSeconds;
  m_parts->members->SetHints(peer::HintsFromSeeds(aSettings.peerSeeds));
}

auto Balancer::ReadyLine() const -> std::string
{
  const auto& parts = *m_parts;
  return fmt::format("ready vm={} callers={} peers={} administration={}",
                     parts.settings.vmName, parts.entry->Address(),
                     parts.hub->Address(), parts.admin->Address());
}

static const Registration<DataPathRegistry, Balancer> kRegistration("requests");

} // namespace bramleylock::kernel
