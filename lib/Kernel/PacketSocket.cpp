// Receives and sends batches of datagrams with recvmmsg and sendmmsg.

#include "bramleylock/Kernel/PacketSocket.h"

#include "bramleylock/Support/Log.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstring>

namespace bramleylock::kernel {

/// Maximum number of datagrams received by one call. Small machines receive
/// several hundred per second, so more than a few are pending only after a
/// stall.
static constexpr std::size_t kMaxBatchSize = 32;

/// Maximum number of batches read before other coroutines run.
static constexpr int kMaxBatchesPerTurn = 4;

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
                         std::error_code& aError) -> void
{
  m_handler = std::move(aHandler);
  m_onIdle = std::move(aOnIdle);
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
  m_localPort = m_socket.local_endpoint().port();
  Spawn(m_context, "packets", ReceiveLoop());
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
  }
  const int count = ::recvmmsg(m_socket.native_handle(), headers.data(),
                               kMaxBatchSize, MSG_DONTWAIT, nullptr);
  if (count <= 0) {
    return 0;
  }
  const auto now = Clock::now();
  m_lastReceivedAt = now;
  for (int i = 0; i < count; ++i) {
    m_handler(m_buffers->incoming[static_cast<std::size_t>(i)].data(),
              headers[static_cast<std::size_t>(i)].msg_len, now);
  }
  return static_cast<std::size_t>(count);
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

auto PacketSocket::ReadPending() -> void
{
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
