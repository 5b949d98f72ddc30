// One row for each setting: its type, default and allowed values.

#include "SettingsSchema.h"

#include "bramleylock/Admission/AdmissionPolicy.h"
#include "bramleylock/Admission/AllowanceSharing.h"
#include "bramleylock/Forward/FlowChoice.h"
#include "bramleylock/Forward/Packet.h"
#include "bramleylock/Forward/StateSource.h"
#include "bramleylock/Kernel/CallerEntry.h"
#include "bramleylock/Kernel/DataPath.h"
#include "bramleylock/Lists/PlatformStore.h"
#include "bramleylock/Target/TargetChoice.h"
#include "bramleylock/Target/TargetTransport.h"

namespace bramleylock::kernel {

namespace {

auto LogLevels() -> std::vector<std::string>
{
  return { "debug", "info", "warning", "error" };
}

auto LogFormats() -> std::vector<std::string>
{
  return { "text", "json" };
}

auto PlainHttpScopes() -> std::vector<std::string>
{
  return { "loopback", "anywhere" };
}

auto YesOrNo() -> std::vector<std::string>
{
  return { "no", "yes" };
}

/// Names of the data paths, for settings that only one of them requires.
constexpr const char* kRequests = "requests";
constexpr const char* kForward = "forward";

template<typename RegistryType>
auto NamesOf() -> std::vector<std::string>
{
  return RegistryType::Instance().Names();
}

} // namespace

auto TextSettings() -> const std::array<TextSetting, 29>&
{
  static const std::array<TextSetting, 29> kRows{ {
    // The first row, because it determines which other settings are required.
    { "plugins.data_path", &Settings::dataPath, TextKind::Choice, "requests",
      NamesOf<DataPathRegistry>,
      "whether callers' requests are sent to targets or packets of flows are "
      "forwarded" },
    { "listen.packets", &Settings::packetAddress, TextKind::TcpAddress, nullptr,
      nullptr, "ip:port for the packets of forwarded flows", kForward },
    { "listen.status", &Settings::statusAddress, TextKind::TcpAddress, nullptr,
      nullptr,
      "ip:port of the platform's health check, which asks whether this "
      "balancer accepts packets",
      kForward },
    { "listen.metrics", &Settings::metricsAddress, TextKind::OptionalTcpAddress,
      "", nullptr,
      "ip:port of metrics and status on the forwarding path; empty for none" },
    { "plugins.packet_codec", &Settings::packetCodec, TextKind::Choice, nullptr,
      NamesOf<forward::PacketCodecRegistry>, "header of forwarded packets",
      kForward },
    { "plugins.state_source", &Settings::stateSource, TextKind::Choice, nullptr,
      NamesOf<forward::StateSourceRegistry>, "source of routes and targets",
      kForward },
    { "plugins.flow_choice", &Settings::flowChoice, TextKind::Choice,
      "least-wait", NamesOf<forward::FlowChoiceRegistry>,
      "policy that chooses the target of a flow" },
    { "forward.first_start", &Settings::firstStart, TextKind::Choice, "no",
      YesOrNo,
      "whether the whole deployment starts for the first time; then the seeds "
      "read the platform's store before the other balancers" },
    { "vm.name", &Settings::vmName, TextKind::Name, nullptr, nullptr,
      "name of this VM in logs and status" },
    { "vm.failure_domain", &Settings::failureDomain, TextKind::Name, nullptr,
      nullptr, "failure domain of this VM" },
    { "listen.callers", &Settings::callerAddress, TextKind::TcpAddress, nullptr,
      nullptr, "ip:port for callers' datagrams", kRequests },
    { "listen.peers", &Settings::peerAddress, TextKind::TcpAddress, nullptr,
      nullptr, "ip:port for links from the other balancers" },
    { "listen.peers_advertised", &Settings::peerAdvertised,
      TextKind::OptionalTcpAddress, "", nullptr,
      "ip:port at which the other balancers reach listen.peers; empty for the "
      "bound address" },
    { "peers.seeds", &Settings::peerSeeds, TextKind::TcpAddresses, "", nullptr,
      "peers to contact for lists and keys while the platform does not "
      "answer" },
    { "listen.administration", &Settings::adminAddress, TextKind::TcpAddress,
      nullptr, nullptr, "ip:port of the administration API", kRequests },
    { "platform.address", &Settings::storeAddress, TextKind::TcpAddress,
      nullptr, nullptr, "ip:port of the platform's key-value service" },
    { "secrets.cluster_key_file", &Settings::clusterKeyFile, TextKind::File,
      nullptr, nullptr, "file with the 64 hexadecimal digits of the peer key",
      kRequests },
    { "secrets.administration_token_file", &Settings::adminTokenFile,
      TextKind::File, nullptr, nullptr,
      "file with the bearer token of the administration API", kRequests },
    { "administration.certificate_file", &Settings::adminCertificateFile,
      TextKind::OptionalFile, "", nullptr,
      "certificate chain in PEM, for TLS on listen.administration; empty for "
      "plain HTTP" },
    { "administration.key_file", &Settings::adminKeyFile,
      TextKind::OptionalFile, "", nullptr,
      "key of the certificate in PEM, without a password" },
    { "administration.plain_http", &Settings::adminPlainHttp, TextKind::Choice,
      "loopback", PlainHttpScopes,
      "addresses on which listen.administration may be served without TLS" },
    { "plugins.caller_entry", &Settings::callerEntry, TextKind::Choice, "udp",
      NamesOf<CallerEntryRegistry>, "transport of callers' packets" },
    { "plugins.target_transport", &Settings::targetTransport, TextKind::Choice,
      "http1", NamesOf<target::TransportRegistry>,
      "protocol of requests to targets" },
    { "plugins.platform_store", &Settings::platformStore, TextKind::Choice,
      "http", NamesOf<lists::StoreRegistry>,
      "protocol of the platform's key-value service" },
    { "plugins.target_choice", &Settings::targetChoice, TextKind::Choice,
      "spill-over", NamesOf<target::ChoiceRegistry>,
      "policy that chooses the target of a request" },
    { "plugins.admission", &Settings::admissionPolicy, TextKind::Choice, "fair",
      NamesOf<admission::AdmissionRegistry>, "admission policy for requests" },
    { "plugins.plan_limits", &Settings::planLimits, TextKind::Choice, "static",
      NamesOf<admission::AllowanceSharingRegistry>,
      "how balancers share plans' rate limits" },
    { "log.level", &Settings::logLevel, TextKind::Choice, "info", LogLevels,
      "lowest level of the log records that are written" },
    { "log.format", &Settings::logFormat, TextKind::Choice, "text", LogFormats,
      "format of log records" },
  } };
  return kRows;
}

auto NumberSettings() -> const std::array<NumberSetting, 9>&
{
  static const std::array<NumberSetting, 9> kRows{ {
    { "flows.idle_seconds", &Settings::idleFlowSeconds, 600, 1, 86400, "s",
      "idle time after which a flow without requests is removed" },
    { "flows.drain_seconds", &Settings::drainSeconds, 60, 1, 3600, "s",
      "maximum time that a planned stop waits for requests in flight" },
    { "listen.receive_buffer_bytes", &Settings::receiveBufferBytes, 8388608,
      65536, 1073741824, "bytes", "socket buffer for callers' datagrams" },
    { "forward.longest_flow_seconds", &Settings::longestFlowSeconds, 60, 1,
      86400, "s", "maximum duration of a flow; older flows may be removed" },
    { "forward.stop_ms", &Settings::stopMs, 4000, 0, 600000, "ms",
      "maximum time that a planned stop continues forwarding" },
    { "forward.drain_notice_ms", &Settings::drainNoticeMs, 3000, 500, 60000,
      "ms",
      "time within which every balancer has to know that a target drains" },
    { "forward.hedge_percent", &Settings::hedgePercent, 0, 0, 100, "%",
      "share of the first packets of idempotent routes that may also be sent "
      "to a second target; 0 for none" },
    { "log.records_per_second", &Settings::logRecordsPerSecond, 20, 1, 100000,
      "1/s", "maximum number of log records of one event per second" },
    { "vm.seed", &Settings::seed, 0, 0, 9223372036854775807, "",
      "seed of random choices between targets; 0 uses a random seed" },
  } };
  return kRows;
}

auto DecimalSettings() -> const std::array<DecimalSetting, 4>&
{
  static const std::array<DecimalSetting, 4> kRows{ {
    { "vm.cpu_share", &Settings::cpuShare, 0, 0, 1024, "cores",
      "processor capacity of this VM; 0 if unknown" },
    { "vm.link_mbps", &Settings::linkMbps, 0, 0, 1000000, "Mbit/s",
      "network capacity of this VM; 0 if unknown" },
    { "forward.warm_up_excess", &Settings::warmUpExcess, 1, 1, 100, "",
      "factor by which the requests to a target that is warming up may exceed "
      "its service's limit in one second" },
    { "forward.warm_up_slack", &Settings::warmUpSlack, 0, 0, 1000000,
      "requests",
      "number of requests by which they may exceed it in addition" },
  } };
  return kRows;
}

} // namespace bramleylock::kernel
