// Receives and sends batches of datagrams with recvmmsg and sendmmsg.

#include "bramleylock/Kernel/PacketSocket.h"

#include "bramleylock/Support/Log.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace bramleylock::kernel {

/// Maximum number of datagrams received by one call. Small machines receive
/// several hundred per second, so more than a few are pending only after a
/// stall.
static constexpr std::size_t kMaxBatchSize = 32;

/// Maximum number of batches read before other coroutines run.
static constexpr int kMaxBatchesPerTurn = 4;

/// The socket is read at least every 50 ms. After a longer pause, clients may
/// have sent their next copies to other balancers: the first one after 200 ms.
static constexpr Milliseconds kPauseThreshold{ 250 };

/// Space for the kernel's time of arrival of one datagram.
using ControlBuffer = std::array<char, CMSG_SPACE(sizeof(timespec))>;

struct PacketSocket::Buffers
{
  struct OutgoingPacket
  {
    sockaddr_in address{};
    forward::TargetPrefix prefix{};
    /// Data of a packet that this balancer generated; empty for others.
    std::string generatedData;
    const char* data = nullptr;
    std::size_t size = 0;
    bool hasPrefix = false;
  };

  std::array<std::array<char, forward::kMaxPacketBytes>, kMaxBatchSize>
    incoming;
  alignas(cmsghdr) std::array<ControlBuffer, kMaxBatchSize> control;
  std::vector<OutgoingPacket> outgoing;
  /// Arguments of sendmmsg, kept between calls to reuse their memory.
  std::vector<mmsghdr> headers;
  std::vector<std::array<iovec, 2>> iovecs;
};

PacketSocket::PacketSocket(asio::io_context& aContext, Metrics& aMetrics)
  : m_context(aContext)
  , m_metrics(aMetrics)
  , m_socket(aContext)
  , m_buffers(std::make_unique<Buffers>())
{
  m_buffers->outgoing.reserve(kMaxBatchSize);
}

PacketSocket::~PacketSocket() = default;

auto PacketSocket::Start(const Udp::endpoint& aAddress, int aReceiveBufferBytes,
                         Handler aHandler,
                         std::function<void(Clock::time_point)> aOnIdle,
                         PauseHandler aOnPause, std::error_code& aError) -> void
{
  m_handler = std::move(aHandler);
  m_onIdle = std::move(aOnIdle);
  m_onPause = std::move(aOnPause);
  boost::system::error_code failure;
  m_socket.open(aAddress.protocol(), failure);
  if (!failure) {
    m_socket.bind(aAddress, failure);
  }
  if (failure) {
    aError = failure;
    return;
  }
  boost::system::error_code optionError;
  m_socket.set_option(
    asio::socket_base::receive_buffer_size(aReceiveBufferBytes), optionError);
  if (optionError) {
    LogWarning("receive-buffer", { { "why", optionError.message() } });
  }
  m_socket.non_blocking(true, failure);
  if (failure) {
    aError = failure;
    return;
  }
  RequestTimestamps();
  m_lastReadAt = BootTime();
  m_lastEmptyAt = m_lastReadAt;
  m_localPort = m_socket.local_endpoint().port();
  Spawn(m_context, "packets", ReceiveLoop());
}

/// Without timestamps, datagrams that waited in the socket are handled as if
/// they had just arrived.
auto PacketSocket::RequestTimestamps() -> void
{
  const int enable = 1;
  if (::setsockopt(m_socket.native_handle(), SOL_SOCKET, SO_TIMESTAMPNS,
                   &enable, sizeof enable) != 0) {
    LogWarning("receive-timestamps", { { "why", std::strerror(errno) } });
  }
}

/// Returns the time for which a datagram was waiting in the socket. The kernel
/// records its arrival by the time of day, which may have been set since, so
/// aMaxAge limits the result.
static auto AgeOf(msghdr& aHeader, std::chrono::nanoseconds aTimeOfDay,
                  std::chrono::nanoseconds aMaxAge) -> Clock::duration
{
  for (auto* control = CMSG_FIRSTHDR(&aHeader); control != nullptr;
       control = CMSG_NXTHDR(&aHeader, control)) {
    if (control->cmsg_level != SOL_SOCKET ||
        control->cmsg_type != SCM_TIMESTAMPNS) {
      continue;
    }
    timespec arrival{};
    std::memcpy(&arrival, CMSG_DATA(control), sizeof arrival);
    const auto age = aTimeOfDay - std::chrono::seconds(arrival.tv_sec) -
                     std::chrono::nanoseconds(arrival.tv_nsec);
    return std::clamp<std::chrono::nanoseconds>(
      age, std::chrono::nanoseconds(0), aMaxAge);
  }
  return Clock::duration(0);
}

static auto ToSockaddr(const forward::Address& aAddress) -> sockaddr_in
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(aAddress.ip);
  address.sin_port = htons(aAddress.port);
  return address;
}

auto PacketSocket::SendToTarget(const forward::DirectoryEntry& aTarget,
                                const char* aData, std::size_t aSize) -> void
{
  m_buffers->outgoing.push_back({ ToSockaddr(aTarget.record.EndpointAddress()),
                                  aTarget.prefix, std::string(), aData, aSize,
                                  true });
}

/// The platform expects packets to a client at the client's IP address and the
/// port on which this balancer receives packets.
auto PacketSocket::SendToClient(const forward::Address& aClient,
                                std::string aPacket) -> void
{
  m_buffers->outgoing.push_back({ ToSockaddr({ aClient.ip, m_localPort }),
                                  {},
                                  std::move(aPacket),
                                  nullptr,
                                  0,
                                  false });
}

auto PacketSocket::ReceiveBatch() -> std::size_t
{
  std::array<mmsghdr, kMaxBatchSize> headers{};
  std::array<iovec, kMaxBatchSize> iovecs{};
  for (std::size_t i = 0; i < kMaxBatchSize; ++i) {
    iovecs[i] = { m_buffers->incoming[i].data(), forward::kMaxPacketBytes };
    headers[i].msg_hdr.msg_iov = &iovecs[i];
    headers[i].msg_hdr.msg_iovlen = 1;
    headers[i].msg_hdr.msg_control = m_buffers->control[i].data();
    headers[i].msg_hdr.msg_controllen = m_buffers->control[i].size();
  }
  const auto began = BootTime();
  const int count = ::recvmmsg(m_socket.native_handle(), headers.data(),
                               kMaxBatchSize, MSG_DONTWAIT, nullptr);
  const auto received = static_cast<std::size_t>(std::max(count, 0));
  const auto maxAge = began - m_lastEmptyAt;
  if (received < kMaxBatchSize) {
    m_lastEmptyAt = began;
  }
  if (received == 0) {
    return 0;
  }
  const auto now = Clock::now();
  const std::chrono::nanoseconds timeOfDay =
    std::chrono::system_clock::now().time_since_epoch();
  m_lastReceivedAt = now;
  for (std::size_t i = 0; i < received; ++i) {
    m_handler(m_buffers->incoming[i].data(), headers[i].msg_len,
              AgeOf(headers[i].msg_hdr, timeOfDay, maxAge), now);
  }
  return received;
}

auto PacketSocket::Flush() -> void
{
  auto& outgoing = m_buffers->outgoing;
  if (outgoing.empty()) {
    return;
  }
  auto& headers = m_buffers->headers;
  auto& iovecs = m_buffers->iovecs;
  headers.assign(outgoing.size(), mmsghdr{});
  iovecs.resize(outgoing.size());
  for (std::size_t i = 0; i < outgoing.size(); ++i) {
    auto& packet = outgoing[i];
    if (!packet.hasPrefix) {
      packet.data = packet.generatedData.data();
      packet.size = packet.generatedData.size();
    }
    const std::size_t firstIovec = packet.hasPrefix ? 0 : 1;
    iovecs[i] = { iovec{ packet.prefix.data(), packet.prefix.size() },
                  iovec{ const_cast<char*>(packet.data), packet.size } };
    headers[i].msg_hdr.msg_name = &packet.address;
    headers[i].msg_hdr.msg_namelen = sizeof packet.address;
    headers[i].msg_hdr.msg_iov = &iovecs[i][firstIovec];
    headers[i].msg_hdr.msg_iovlen = 2 - firstIovec;
  }
  std::size_t sent = 0;
  while (sent < headers.size()) {
    const int count =
      ::sendmmsg(m_socket.native_handle(), &headers[sent],
                 static_cast<unsigned>(headers.size() - sent), MSG_DONTWAIT);
    if (count <= 0) {
      // The first remaining packet cannot be sent and is dropped; its original
      // sender retransmits it.
      m_metrics.Add(Counter::PacketSendFailed);
      if (ShouldLog(LogLevel::Warning, "packet-send-failed")) {
        LogWarning("packet-send-failed", { { "why", std::strerror(errno) } });
      }
      ++sent;
      continue;
    }
    sent += static_cast<std::size_t>(count);
  }
  m_metrics.Add(Counter::PacketsSent, headers.size());
  outgoing.clear();
}

auto PacketSocket::ReceiveLoop() -> awaitable<void>
{
  while (m_socket.is_open()) {
    boost::system::error_code failure;
    co_await m_socket.async_wait(Udp::socket::wait_read,
                                 RedirectError(failure));
    if (failure == asio::error::operation_aborted) {
      co_return;
    }
    ReadPending();
  }
}

auto PacketSocket::DetectPause() -> void
{
  const auto now = BootTime();
  const auto pause = now - m_lastReadAt;
  m_lastReadAt = now;
  if (pause > kPauseThreshold) {
    m_onPause(pause, Clock::now());
  }
}

auto PacketSocket::ReadPending() -> void
{
  DetectPause();
  for (int turn = 0; turn < kMaxBatchesPerTurn; ++turn) {
    // The clock is read first: the process may be preempted after receiving,
    // and datagrams that arrive then are not handled yet.
    const auto before = Clock::now();
    const auto count = ReceiveBatch();
    Flush();
    if (count < kMaxBatchSize) {
      m_onIdle(before);
      return;
    }
  }
}

auto PacketSocket::LastReceivedAt() const -> Clock::time_point
{
  return m_lastReceivedAt;
}

auto PacketSocket::Address() const -> std::string
{
  const auto endpoint = m_socket.local_endpoint();
  return FormatEndpoint(endpoint.address(), endpoint.port());
}

} // namespace bramleylock::kernel
