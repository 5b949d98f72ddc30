// Network partitions and packet loss between the balancers of a cluster,
// injected by the proxies in front of their peer listeners.

#include "measure/Cluster.h"

#include <fmt/format.h>

#include <algorithm>

namespace bramleylock::measure {

using nlohmann::json;

/// Returns a port of aAddress on which no process listens.
static auto FreePort(const std::string& aAddress) -> std::uint16_t
{
  asio::io_context context;
  const Tcp::acceptor acceptor(
    context, Tcp::endpoint(asio::ip::make_address(aAddress), 0));
  return acceptor.local_endpoint().port();
}

auto Cluster::DomainPrefix(const std::string& aDomain) const -> std::string
{
  const auto& domains = m_deployment.failureDomains;
  const auto position = std::find(domains.begin(), domains.end(), aDomain);
  return fmt::format("127.10.{}.", position - domains.begin() + 1);
}

auto Cluster::StartProxy(const std::string& aName, const std::string& aListen,
                         const std::string& aTo) -> std::unique_ptr<Process>
{
  const std::vector<std::string> arguments{
    "proxy",
    "--listen",
    aListen,
    "--to",
    aTo,
    "--seed",
    std::to_string(m_options.seed * 1000 + m_nextName)
  };
  return std::make_unique<Process>(
    m_programs + "/bramleylock-standin", arguments,
    m_directory.Path() + "/" + aName + "-proxy.log");
}

auto Cluster::StoreAddressFor(const std::string& aDomain) -> std::string
{
  if (!m_options.proxied) {
    return StoreAddress();
  }
  auto& proxy = m_storeProxies[aDomain];
  if (!proxy) {
    proxy = StartProxy("store-" + aDomain, "127.0.0.1:0", StoreAddress());
  }
  return proxy->Value("proxy");
}

auto Cluster::PeerListenSettings(const std::string& aName,
                                 const std::string& aDomain) -> std::string
{
  if (!m_options.proxied) {
    return "peers = \"127.0.0.1:0\"\n";
  }
  const auto address =
    DomainPrefix(aDomain) + std::to_string(m_nextName % 250 + 1);
  const auto peers = fmt::format("{}:{}", address, FreePort(address));
  auto& proxy = m_peerProxies[aName];
  proxy = StartProxy(aName, address + ":0", peers);
  return fmt::format("peers = \"{}\"\npeers_advertised = \"{}\"\n", peers,
                     proxy->Value("proxy"));
}

auto Cluster::AddressOf(const std::string& aBalancer) const -> std::string
{
  const auto advertised = m_peerProxies.at(aBalancer)->Value("proxy");
  return advertised.substr(0, advertised.find(':'));
}

auto Cluster::ApplyLinkFaults(const std::string& aBalancer) -> void
{
  Control(m_peerProxies.at(aBalancer)->Value("control"), "/control/fault",
          { { "cut", m_blockedSources[aBalancer] }, { "loss", m_packetLoss } });
}

auto Cluster::SetBlocked(const std::string& aPrefix, const std::string& aTo,
                         bool aBlocked) -> void
{
  if (aBlocked) {
    m_blockedSources[aTo].insert(aPrefix);
  } else {
    m_blockedSources[aTo].erase(aPrefix);
  }
  ApplyLinkFaults(aTo);
}

auto Cluster::CutLinks(const std::string& aFrom, const std::string& aTo,
                       bool aBlocked) -> void
{
  for (const auto& balancer : m_balancers) {
    if (balancer.failureDomain == aTo) {
      SetBlocked(DomainPrefix(aFrom), balancer.name, aBlocked);
    }
  }
}

auto Cluster::CutLink(const std::string& aFrom, const std::string& aTo,
                      bool aBlocked) -> void
{
  SetBlocked(AddressOf(aFrom), aTo, aBlocked);
}

auto Cluster::CutStore(const std::string& aDomain, bool aBlocked) -> void
{
  const auto cut = aBlocked ? json::array({ "127." }) : json::array();
  Control(m_storeProxies.at(aDomain)->Value("control"), "/control/fault",
          { { "cut", cut } });
}

auto Cluster::CutDomains(const std::set<std::string>& aDomains) -> void
{
  const auto& domains = m_deployment.failureDomains;
  for (const auto& to : domains) {
    for (const auto& from : domains) {
      if (from != to) {
        CutLinks(from, to, aDomains.contains(from) || aDomains.contains(to));
      }
    }
    CutStore(to, aDomains.contains(to));
  }
}

auto Cluster::BlackholeConnections() -> void
{
  for (auto& target : m_targets) {
    if (!target.proxy->Running()) {
      continue;
    }
    Control(target.proxy->Value("control"), "/control/fault",
            { { "forget_existing", true } });
  }
}

auto Cluster::SetStoreFault(const json& aFault) -> void
{
  Control(StoreAddress(), "/control/fault", aFault);
}

auto Cluster::SetFabricFault(const json& aFault) -> void
{
  Control(FabricControl(), "/control/fault", aFault);
}

auto Cluster::SetPacketLoss(double aFraction) -> void
{
  m_packetLoss = aFraction;
  for (const auto& balancer : m_balancers) {
    ApplyLinkFaults(balancer.name);
  }
}

} // namespace bramleylock::measure
