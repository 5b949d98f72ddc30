// Starts the processes of a forwarding fleet and injects link faults.

#include "measure/ForwardFleet.h"

#include "bramleylock/Http/SyncFetch.h"

#include <fmt/format.h>

#include <thread>

namespace bramleylock::measure {

using nlohmann::json;

static constexpr std::uint16_t kPacketPort = 8172;
static constexpr std::uint16_t kStatusPort = 8167;
static constexpr std::uint16_t kPeerPort = 8166;
static constexpr std::uint16_t kMetricsPort = 9464;
static constexpr int kDefaultVmsPerDomain = 2;
static constexpr Milliseconds kControlTimeout{ 5000 };
static constexpr Milliseconds kReadyTimeout{ 15000 };
static constexpr Milliseconds kPollInterval{ 50 };

/// Range of the second octet of the loopback addresses. The shell tests use
/// octets up to 46.
static constexpr std::uint64_t kFirstNetOctet = 60;
static constexpr std::uint64_t kNetOctets = 190;

ForwardFleet::ForwardFleet(std::uint64_t aSeed, int aBalancers)
  : m_programs(ProgramDirectory())
  , m_net(fmt::format("127.{}", kFirstNetOctet + aSeed % kNetOctets))
  , m_seed(aSeed)
  , m_domains{ "north", "middle", "south" }
  , m_vmsPerDomain(
      aBalancers == 0
        ? kDefaultVmsPerDomain
        : std::max(1, aBalancers / static_cast<int>(m_domains.size())))
{
}

auto ForwardFleet::Prefix(const std::string& aDomain) const -> std::string
{
  const auto position = std::find(m_domains.begin(), m_domains.end(), aDomain);
  return fmt::format("{}.{}.", m_net, 10 + (position - m_domains.begin()));
}

auto ForwardFleet::WriteSettings(const ForwardVm& aVm) -> std::string
{
  std::string seeds;
  for (const auto& vm : m_vms) {
    seeds += vm.proxy->Value("proxy") + ' ';
  }
  return m_directory.Write(
    aVm.name + ".toml",
    fmt::format(R"([vm]
name = "{}"
failure_domain = "{}"
[listen]
packets = "{}:{}"
status = "{}:{}"
metrics = "{}:{}"
peers = "{}:{}"
peers_advertised = "{}"
[peers]
seeds = "{}"
[platform]
address = "{}"
[plugins]
data_path = "forward"
packet_codec = "bandeiras"
state_source = "bandeiras"
[log]
records_per_second = {}
)",
                aVm.name, aVm.failureDomain, aVm.ip, kPacketPort, aVm.ip,
                kStatusPort, aVm.ip, kMetricsPort, aVm.ip, kPeerPort,
                aVm.proxy->Value("proxy"), seeds,
                m_storeProxies.at(aVm.failureDomain)->Value("proxy"),
                aVm.logRecordsPerSecond));
}

auto ForwardFleet::StartBalancer(ForwardVm& aVm) -> void
{
  aVm.process = std::make_unique<Process>(
    m_programs + "/bramleylockd",
    std::vector<std::string>{ "--config", WriteSettings(aVm) },
    m_directory.Path() + "/" + aVm.name + ".log");
}

auto ForwardFleet::Start() -> void
{
  const auto standin = m_programs + "/bramleylock-standin";
  const auto log = [this](const std::string& aName) {
    return m_directory.Path() + "/" + aName + ".log";
  };
  std::string balancers;
  for (const auto& domain : m_domains) {
    for (int i = 1; i <= m_vmsPerDomain; ++i) {
      const auto ip = Prefix(domain) + std::to_string(i);
      balancers += fmt::format("{}{}:{}@{}:{}", balancers.empty() ? "" : ",",
                               ip, kPacketPort, ip, kStatusPort);
      m_vms.push_back({ fmt::format("{}-{}", domain, i), domain, ip, nullptr,
                        nullptr, false, 100 });
    }
  }
  m_platform = std::make_unique<Process>(
    standin,
    std::vector<std::string>{ "platform", "--net", m_net, "--packet-port",
                              std::to_string(kPacketPort), "--balancers",
                              balancers, "--seed", std::to_string(m_seed) },
    log("platform"));
  const auto proxy = [&](const std::string& aName, const std::string& aListen,
                         const std::string& aTo) {
    return std::make_unique<Process>(
      standin,
      std::vector<std::string>{ "proxy", "--listen", aListen, "--to", aTo,
                                "--seed", std::to_string(m_seed) },
      log(aName + "-proxy"));
  };
  for (const auto& domain : m_domains) {
    m_storeProxies[domain] =
      proxy("store-" + domain, "127.0.0.1:0", m_platform->Value("store"));
  }
  for (auto& vm : m_vms) {
    vm.proxy =
      proxy(vm.name, vm.ip + ":0", fmt::format("{}:{}", vm.ip, kPeerPort));
  }
  for (auto& vm : m_vms) {
    StartBalancer(vm);
  }
  const auto deadline = Clock::now() + kReadyTimeout;
  while (ControlPlatform("report").value("in_rotation", 0U) < m_vms.size()) {
    if (Clock::now() > deadline) {
      throw std::runtime_error(
        "not all balancers entered rotation before the timeout");
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

auto ForwardFleet::Vms() -> std::vector<ForwardVm>&
{
  return m_vms;
}

auto ForwardFleet::FailureDomains() const -> const std::vector<std::string>&
{
  return m_domains;
}

/// Posts a document to a stand-in of this fleet. Throws when it does not
/// answer, which ends the run.
static auto Post(const std::string& aAddress, const std::string& aPath,
                 const json& aBody) -> json
{
  std::error_code error;
  auto answer = PostJson(aAddress, aPath, aBody, error);
  if (error) {
    const auto reason = answer.is_object()
                          ? answer.value("error", error.message())
                          : error.message();
    throw std::runtime_error(aAddress + aPath + ": " + reason);
  }
  return answer;
}

auto ForwardFleet::ControlPlatform(const std::string& aAction,
                                   const json& aBody) -> json
{
  return Post(m_platform->Value("control"), "/" + aAction, aBody);
}

auto ForwardFleet::Control(const Process& aProxy, const json& aFault) -> void
{
  Post(aProxy.Value("control"), "/control/fault", aFault);
}

auto ForwardFleet::ApplyLinkFaults(bool aBlackholeExisting) -> void
{
  for (const auto& vm : m_vms) {
    std::vector<std::string> cut;
    for (const auto& from : m_domains) {
      const bool separated =
        from != vm.failureDomain && (m_cutDomains.contains(from) ||
                                     m_cutDomains.contains(vm.failureDomain));
      if (separated || m_cutOneWay[vm.failureDomain].contains(from)) {
        cut.push_back(Prefix(from));
      }
    }
    Control(*vm.proxy, { { "cut", cut },
                         { "loss", m_loss },
                         { "delay_ms", m_delayMs },
                         { "forget_existing", aBlackholeExisting } });
  }
  for (const auto& [domain, proxy] : m_storeProxies) {
    const bool cut =
      m_cutDomains.contains(domain) || m_cutStores.contains(domain);
    Control(*proxy, { { "cut", cut ? json::array({ "127." }) : json::array() },
                      { "forget_existing", aBlackholeExisting } });
  }
}

auto ForwardFleet::CutDomains(const std::set<std::string>& aDomains) -> void
{
  m_cutDomains = aDomains;
  ApplyLinkFaults(false);
}

auto ForwardFleet::CutStores(const std::set<std::string>& aDomains) -> void
{
  m_cutStores = aDomains;
  ApplyLinkFaults(false);
}

auto ForwardFleet::CutOneWay(const std::string& aFrom, const std::string& aTo)
  -> void
{
  m_cutOneWay.clear();
  if (!aFrom.empty()) {
    m_cutOneWay[aTo].insert(aFrom);
  }
  ApplyLinkFaults(false);
}

auto ForwardFleet::InjectLinkFaults(double aLoss, int aDelayMs) -> void
{
  m_loss = aLoss;
  m_delayMs = aDelayMs;
  ApplyLinkFaults(false);
}

auto ForwardFleet::BlackholeConnections() -> void
{
  ApplyLinkFaults(true);
}

auto ForwardFleet::Metric(const ForwardVm& aVm, const std::string& aName)
  -> std::optional<double>
{
  http::Request request;
  request.target = "/metrics";
  std::error_code error;
  const auto reply =
    http::SyncFetch(fmt::format("{}:{}", aVm.ip, kMetricsPort),
                    std::move(request), kControlTimeout, error);
  const auto name = "\nbramleylock_" + aName + ' ';
  const auto at = reply.body.find(name);
  if (error || at == std::string::npos) {
    return std::nullopt;
  }
  return std::stod(reply.body.substr(at + name.size()));
}

auto ForwardFleet::KeepLogs() -> void
{
  m_directory.Keep();
}

} // namespace bramleylock::measure
