// Scenario "forward-speed": rate at which one core forwards packets of open
// flows, compared with a minimal loop that only receives and sends them.

#include "measure/PlainPackets.h"
#include "measure/Scenario.h"

#include "bramleylock/Forward/Forwarder.h"
#include "bramleylock/Kernel/PacketSocket.h"
#include "bramleylock/Support/Log.h"

#include <fmt/format.h>

#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <atomic>
#include <ctime>
#include <thread>

namespace bramleylock::measure {

/// Duration of one run. The two loops alternate, so that both run under the
/// same conditions of the machine.
static constexpr Milliseconds kRunTime{ 700 };
static constexpr int kRounds = 4;
static constexpr std::size_t kBatch = 32;
static constexpr std::uint16_t kFlows = 1000;
static constexpr int kTargets = 20;
static constexpr int kReceiveBufferBytes = 1 << 20;

namespace {

using namespace forward;

/// CPU time of the calling thread, in seconds.
auto ThreadCpuSeconds() -> double
{
  timespec time{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) / 1e9;
}

/// Arguments of recvmmsg and sendmmsg: a batch of messages with one buffer
/// each.
struct Batch
{
  explicit Batch(std::size_t aBytes)
    : data(kBatch, std::string(aBytes, '\0'))
  {
    for (std::size_t i = 0; i < kBatch; ++i) {
      parts[i] = { data[i].data(), aBytes };
      headers[i].msg_hdr.msg_iov = &parts[i];
      headers[i].msg_hdr.msg_iovlen = 1;
    }
  }

  std::vector<std::string> data;
  std::array<iovec, kBatch> parts{};
  std::array<mmsghdr, kBatch> headers{};
};

/// Sends packets of open flows to aTo until it is told to stop.
auto SendFlows(const Udp::endpoint& aTo, TargetTag aTag,
               const std::atomic<bool>& aStop) -> void
{
  asio::io_context context;
  Udp::socket socket(context, Udp::v4());
  socket.connect(aTo);
  Batch batch(sizeof(Packet));
  std::uint16_t port = 0;
  std::uint32_t acknowledged = 500;
  while (!aStop) {
    for (auto& data : batch.data) {
      port = port == kFlows ? 1 : port + 1;
      const auto packet =
        MakeFollowing(MakeOpening(port, { 1, 1 }), aTag, ++acknowledged);
      std::memcpy(data.data(), &packet, sizeof packet);
    }
    ::sendmmsg(socket.native_handle(), batch.headers.data(), kBatch, 0);
  }
}

/// Packets per second of CPU time of the thread that handles them.
struct Rate
{
  std::uint64_t packets = 0;
  double seconds = 0;
  auto PerSecond() const -> double
  {
    return static_cast<double>(packets) / seconds;
  }
};

/// Receives and forwards packets with the same system calls as PacketSocket and
/// does no other work.
auto RunMinimalLoop(const Udp::endpoint& aTarget, Rate& aRate) -> void
{
  asio::io_context context;
  Udp::socket socket(context,
                     Udp::endpoint(asio::ip::address_v4::loopback(), 0));
  socket.set_option(
    asio::socket_base::receive_buffer_size(kReceiveBufferBytes));
  std::atomic<bool> stop = false;
  std::thread sender(
    [&] { SendFlows(socket.local_endpoint(), TargetTag{ 1 }, stop); });
  Batch batch(kMaxPacketBytes);
  sockaddr_in address{};
  std::memcpy(&address, aTarget.data(), sizeof address);
  const auto until = Clock::now() + kRunTime;
  const auto before = ThreadCpuSeconds();
  while (Clock::now() < until) {
    for (std::size_t i = 0; i < kBatch; ++i) {
      batch.parts[i].iov_len = kMaxPacketBytes;
      batch.headers[i].msg_hdr.msg_name = nullptr;
      batch.headers[i].msg_hdr.msg_namelen = 0;
    }
    const int count = ::recvmmsg(socket.native_handle(), batch.headers.data(),
                                 kBatch, MSG_WAITFORONE, nullptr);
    for (int i = 0; i < count; ++i) {
      const auto at = static_cast<std::size_t>(i);
      batch.parts[at].iov_len = batch.headers[at].msg_len;
      batch.headers[at].msg_hdr.msg_name = &address;
      batch.headers[at].msg_hdr.msg_namelen = sizeof address;
    }
    ::sendmmsg(socket.native_handle(), batch.headers.data(),
               static_cast<unsigned>(std::max(count, 0)), 0);
    aRate.packets += static_cast<std::uint64_t>(std::max(count, 0));
  }
  aRate.seconds += ThreadCpuSeconds() - before;
  stop = true;
  sender.join();
}

/// The forwarding path as the daemon assembles it, except for the platform's
/// packet codec.
struct ForwardingPath
{
  explicit ForwardingPath(const Udp::endpoint& aTarget)
    : targets(codec)
    , choice(FlowChoiceRegistry::Instance().Create("least-wait"))
    , port(context, metrics)
    , forwarder(codec, routes, targets, *choice, port, metrics,
                { "here", std::chrono::seconds(60), 1 })
  {
    const auto now = Clock::now();
    RouteSet set{ 1, 1, 15000, {}, {} };
    set.routes.push_back({ "r", 1, 1, { { "s", 1 } }, 0, 1, 2000 });
    routes.Install(set, now);
    for (int i = 0; i < kTargets; ++i) {
      TargetRecord record;
      record.id = fmt::format("i-{:x}", i + 1);
      record.incarnation = 1;
      record.service = "s";
      record.ip = aTarget.address().to_v4().to_uint();
      record.port = static_cast<std::uint16_t>(aTarget.port() + i);
      record.failureDomain = "here";
      record.slots = 2;
      record.revision = 1;
      targets.Apply(record, now);
    }
    std::error_code error;
    port.Start(
      Udp::endpoint(asio::ip::address_v4::loopback(), 0), kReceiveBufferBytes,
      [this](char* aData, std::size_t aSize, Clock::duration aAge,
             Clock::time_point aNow) {
        forwarder.OnDatagram(aData, aSize, aAge, aNow);
      },
      [this](Clock::time_point aUntil) { forwarder.ResendUnanswered(aUntil); },
      [this](Clock::duration aPause, Clock::time_point aNow) {
        forwarder.OnPause(aPause, aNow);
      },
      error);
  }

  asio::io_context context{ 1 };
  Metrics metrics;
  PlainCodec codec;
  RouteTable routes;
  TargetDirectory targets;
  std::unique_ptr<FlowChoice> choice;
  kernel::PacketSocket port;
  Forwarder forwarder;
};

auto RunForwardingPath(const Udp::endpoint& aTarget, Rate& aRate) -> void
{
  ForwardingPath path(aTarget);
  std::error_code error;
  const auto address = ParseUdpEndpoint(path.port.Address(), error);
  std::atomic<bool> stop = false;
  std::thread sender([&] { SendFlows(address, ComputeTag("i-1", 1), stop); });
  const auto before = ThreadCpuSeconds();
  path.context.run_for(kRunTime);
  aRate.seconds += ThreadCpuSeconds() - before;
  aRate.packets += path.metrics.Get(Counter::PacketsForwarded);
  stop = true;
  sender.join();
}

class ForwardSpeed : public Scenario
{
public:
  auto Summary() const -> std::string override
  {
    return "packets per second that one core forwards, against a minimal loop";
  }

  auto Run(const ScenarioOptions&, Report& aReport) -> void override
  {
    ConfigureLog({ LogLevel::Error, false, "measure" });
    // Nothing reads from this socket, so that both loops are charged for
    // sending only.
    asio::io_context context;
    const Udp::socket target(
      context, Udp::endpoint(asio::ip::address_v4::loopback(), 0));
    Rate bare;
    Rate path;
    for (int round = 0; round < kRounds; ++round) {
      RunMinimalLoop(target.local_endpoint(), bare);
      RunForwardingPath(target.local_endpoint(), path);
    }
    aReport.Add("bare_packets_per_s", bare.PerSecond());
    aReport.Add("forward_packets_per_s", path.PerSecond());
    aReport.Add("ratio", path.PerSecond() / bare.PerSecond());
    aReport.Require("forwarded packets>0", path.packets > 0);
  }
};

const Registration<ScenarioRegistry, ForwardSpeed> kRegistration(
  "forward-speed");

} // namespace

} // namespace bramleylock::measure
