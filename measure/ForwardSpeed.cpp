// Scenario "forward-speed": packets of open flows that one core forwards,
// against a bare loop that only receives and sends them.

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

/// How long each way runs; they take turns, so that both meet the same machine.
static constexpr Milliseconds kRun{ 700 };
static constexpr int kTurns = 4;
static constexpr std::size_t kBatch = 32;
static constexpr std::uint16_t kFlows = 1000;
static constexpr int kTargets = 20;
static constexpr int kReceiveBytes = 1 << 20;

namespace {

using namespace forward;

/// Processor time of the calling thread, in seconds.
auto ThreadSeconds() -> double
{
  timespec time{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) / 1e9;
}

/// Batches of messages with one part each.
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

/// Packets for each second of processor time of the thread that handles them.
struct Rate
{
  std::uint64_t packets = 0;
  double seconds = 0;
  auto PerSecond() const -> double
  {
    return static_cast<double>(packets) / seconds;
  }
};

/// Receives and sends on with the same calls as PacketSocket, and does nothing
/// else.
auto RunBare(const Udp::endpoint& aTarget, Rate& aRate) -> void
{
  asio::io_context context;
  Udp::socket socket(context,
                     Udp::endpoint(asio::ip::address_v4::loopback(), 0));
  socket.set_option(asio::socket_base::receive_buffer_size(kReceiveBytes));
  std::atomic<bool> stop = false;
  std::thread sender(
    [&] { SendFlows(socket.local_endpoint(), TargetTag{ 1 }, stop); });
  Batch batch(kMaxPacketBytes);
  sockaddr_in address{};
  std::memcpy(&address, aTarget.data(), sizeof address);
  const auto until = Clock::now() + kRun;
  const auto before = ThreadSeconds();
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
  aRate.seconds += ThreadSeconds() - before;
  stop = true;
  sender.join();
}

/// The forwarding path as the daemon wires it, but for the platform's codec.
struct Path
{
  explicit Path(const Udp::endpoint& aTarget)
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
      Udp::endpoint(asio::ip::address_v4::loopback(), 0), kReceiveBytes,
      [this](char* aData, std::size_t aSize, Clock::time_point aNow) {
        forwarder.OnDatagram(aData, aSize, aNow);
      },
      [this](Clock::time_point aUntil) { forwarder.ResendUnanswered(aUntil); },
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

auto RunPath(const Udp::endpoint& aTarget, Rate& aRate) -> void
{
  Path path(aTarget);
  std::error_code error;
  const auto address = ParseUdpEndpoint(path.port.Address(), error);
  std::atomic<bool> stop = false;
  std::thread sender([&] { SendFlows(address, ComputeTag("i-1", 1), stop); });
  const auto before = ThreadSeconds();
  path.context.run_for(kRun);
  aRate.seconds += ThreadSeconds() - before;
  aRate.packets += path.metrics.Get(Counter::PacketsForwarded);
  stop = true;
  sender.join();
}

class ForwardSpeed : public Scenario
{
public:
  auto Summary() const -> std::string override
  {
    return "packets a second that one core forwards, against a bare loop";
  }

  auto Run(const ScenarioOptions&, Report& aReport) -> void override
  {
    ConfigureLog({ LogLevel::Error, false, "measure" });
    // Nobody reads here, so that both ways pay for the sending alone.
    asio::io_context context;
    const Udp::socket target(
      context, Udp::endpoint(asio::ip::address_v4::loopback(), 0));
    Rate bare;
    Rate path;
    for (int turn = 0; turn < kTurns; ++turn) {
      RunBare(target.local_endpoint(), bare);
      RunPath(target.local_endpoint(), path);
    }
    aReport.Add("bare_packets_per_s", bare.PerSecond());
    aReport.Add("forward_packets_per_s", path.PerSecond());
    aReport.Add("ratio", path.PerSecond() / bare.PerSecond());
    aReport.Require("packets were forwarded", path.packets > 0);
  }
};

const Registration<ScenarioRegistry, ForwardSpeed> kRegistration(
  "forward-speed");

} // namespace

} // namespace bramleylock::measure
