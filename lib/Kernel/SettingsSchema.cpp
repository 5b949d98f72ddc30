// Every setting has one row here: its type, default and what is allowed.

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

auto PlainHttpPlaces() -> std::vector<std::string>
{
  return { "loopback", "anywhere" };
}

auto YesOrNo() -> std::vector<std::string>
{
  return { "no", "yes" };
}

/// Names of the data paths, for settings that one of them needs.
constexpr const char* kRequests = "requests";
constexpr const char* kForward = "forward";

template<typename AnyRegistry>
auto NamesOf() -> std::vector<std::string>
{
  return AnyRegistry::Instance().Names();
}

} // namespace

auto TextRows() -> const std::array<TextRow, 29>&
{
  static const std::array<TextRow, 29> kRows{ {
    // First, as it decides which others are needed.
    { "plugins.data_path", &Settings::dataPath, TextKind::Choice, "requests",
      NamesOf<DataPathRegistry>,
      "whether requests are run or flows forwarded" },
    { "listen.packets", &Settings::packetAddress, TextKind::TcpAddress, nullptr,
      nullptr, "ip:port for the packets of forwarded flows", kForward },
    { "listen.status", &Settings::statusAddress, TextKind::TcpAddress, nullptr,
      nullptr, "ip:port that answers whether packets may be sent here",
      kForward },
    { "listen.metrics", &Settings::metricsAddress, TextKind::OptionalTcpAddress,
      "", nullptr,
      "ip:port of /metrics on the forwarding path; empty for listen.status "
      "alone" },
    { "plugins.packet_codec", &Settings::packetCodec, TextKind::Choice, nullptr,
      NamesOf<forward::PacketCodecRegistry>, "header of forwarded packets",
      kForward },
    { "plugins.state_source", &Settings::stateSource, TextKind::Choice, nullptr,
      NamesOf<forward::StateSourceRegistry>,
      "where routes and targets are read", kForward },
    { "plugins.flow_choice", &Settings::flowChoice, TextKind::Choice,
      "least-wait", NamesOf<forward::FlowChoiceRegistry>,
      "how the target of a flow is chosen" },
    { "forward.first_start", &Settings::firstStart, TextKind::Choice, "no",
      YesOrNo,
      "whether the whole deployment starts for the first time; then the seeds "
      "read the platform first" },
    { "vm.name", &Settings::vmName, TextKind::Name, nullptr, nullptr,
      "name of this VM in logs and status" },
    { "vm.failure_domain", &Settings::failureDomain, TextKind::Name, nullptr,
      nullptr, "failure domain that this VM stands in" },
    { "listen.callers", &Settings::callerAddress, TextKind::TcpAddress, nullptr,
      nullptr, "ip:port for callers' datagrams", kRequests },
    { "listen.peers", &Settings::peerAddress, TextKind::TcpAddress, nullptr,
      nullptr, "ip:port for the other balancers" },
    { "listen.peers_advertised", &Settings::peerAdvertised,
      TextKind::OptionalTcpAddress, "", nullptr,
      "ip:port at which the other balancers reach listen.peers; empty for the "
      "bound address" },
    { "peers.seeds", &Settings::peerSeeds, TextKind::TcpAddresses, "", nullptr,
      "peers to ask for lists and keys while the platform does not answer" },
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
      "loopback", PlainHttpPlaces,
      "where listen.administration may stand without TLS" },
    { "plugins.caller_entry", &Settings::callerEntry, TextKind::Choice, "udp",
      NamesOf<CallerEntryRegistry>, "how callers' packets come in" },
    { "plugins.target_transport", &Settings::targetTransport, TextKind::Choice,
      "http1", NamesOf<target::TransportRegistry>, "protocol towards targets" },
    { "plugins.platform_store", &Settings::platformStore, TextKind::Choice,
      "http", NamesOf<lists::StoreRegistry>, "protocol of the platform" },
    { "plugins.target_choice", &Settings::targetChoice, TextKind::Choice,
      "spill-over", NamesOf<target::ChoiceRegistry>, "how a target is chosen" },
    { "plugins.admission", &Settings::admissionPolicy, TextKind::Choice, "fair",
      NamesOf<admission::AdmissionRegistry>, "how requests are admitted" },
    { "plugins.plan_limits", &Settings::planLimits, TextKind::Choice, "static",
      NamesOf<admission::AllowanceSharingRegistry>,
      "how balancers share plans' rate limits" },
    { "log.level", &Settings::logLevel, TextKind::Choice, "info", LogLevels,
      "lowest level that is written" },
    { "log.format", &Settings::logFormat, TextKind::Choice, "text", LogFormats,
      "form of log records" },
  } };
  return kRows;
}

auto NumberRows() -> const std::array<NumberRow, 7>&
{
  static const std::array<NumberRow, 7> kRows{ {
    { "flows.idle_seconds", &Settings::idleFlowSeconds, 600, 1, 86400, "s",
      "a flow without requests is forgotten after this time" },
    { "flows.drain_seconds", &Settings::drainSeconds, 60, 1, 3600, "s",
      "longest time that a planned stop waits for requests in flight" },
    { "listen.receive_buffer_bytes", &Settings::receiveBufferBytes, 8388608,
      65536, 1073741824, "bytes", "socket buffer for callers' datagrams" },
    { "forward.longest_flow_seconds", &Settings::longestFlowSeconds, 60, 1,
      86400, "s", "an older flow may be forgotten" },
    { "forward.stop_ms", &Settings::stopMs, 4000, 0, 600000, "ms",
      "longest time that a planned stop goes on forwarding" },
    { "log.records_per_second", &Settings::logRecordsPerSecond, 20, 1, 100000,
      "1/s", "records of one event that are written in one second" },
    { "vm.seed", &Settings::seed, 0, 0, 9223372036854775807, "",
      "seed of choices between targets; 0 takes one from the system" },
  } };
  return kRows;
}

} // namespace bramleylock::kernel
