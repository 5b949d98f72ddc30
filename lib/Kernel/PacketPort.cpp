// Batches of datagrams with recvmmsg and sendmmsg.

#include "bramleylock/Kernel/PacketPort.h"

#include "bramleylock/Support/Log.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstring>

namespace bramleylock::kernel {

/// Datagrams read by one call. The small machines see some hundreds a second,
/// so that more than a few wait only after a stall.
static constexpr std::size_t kBatch = 32;

/// Batches read before other tasks get their turn.
static constexpr int kBatchesInTurn = 4;

struct PacketPort::Buffers
{
  struct Outgoing
  {
    sockaddr_in address{};
    forward::TargetPrefix prefix{};
    /// Owns the data of packets that are made here.
    std::string made;
    const char* data = nullptr;
    std::size_t size = 0;
    bool prefixed = false;
  };

  std::array<std::array<char, forward::kLargestPacket>, kBatch> incoming;
  std::vector<Outgoing> outgoing;
  /// What sendmmsg gets; kept for their memory.
  std::vector<mmsghdr> headers;
  std::vector<std::array<iovec, 2>> parts;
};

PacketPort::PacketPort(asio::io_context& aContext, Metrics& aMetrics)
  : m_context(aContext)
  , m_metrics(aMetrics)
  , m_socket(aContext)
  , m_buffers(std::make_unique<Buffers>())
{
  m_buffers->outgoing.reserve(kBatch);
}

PacketPort::~PacketPort() = default;

auto PacketPort::Start(const Udp::endpoint& aAddress, int aReceiveBufferBytes,
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
  boost::system::error_code refused;
  m_socket.set_option(
    asio::socket_base::receive_buffer_size(aReceiveBufferBytes), refused);
  if (refused) {
    LogWarning("receive-buffer", { { "why", refused.message() } });
  }
  m_socket.non_blocking(true, failure);
  if (failure) {
    aError = failure;
    return;
  }
  m_port = m_socket.local_endpoint().port();
  Spawn(m_context, "packets", ReceiveLoop());
}

static auto SocketAddress(const forward::Address& aAddress) -> sockaddr_in
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(aAddress.ip);
  address.sin_port = htons(aAddress.port);
  return address;
}

auto PacketPort::ToTarget(const forward::DirectoryEntry& aTarget,
                          const char* aData, std::size_t aSize) -> void
{
  m_buffers->outgoing.push_back({ SocketAddress(aTarget.record.At()),
                                  aTarget.prefix, std::string(), aData, aSize,
                                  true });
}

/// The platform takes packets to a client at the client's address and the port
/// on which its packets come here.
auto PacketPort::ToClient(const forward::Address& aClient, std::string aPacket)
  -> void
{
  m_buffers->outgoing.push_back({ SocketAddress({ aClient.ip, m_port }),
                                  {},
                                  std::move(aPacket),
                                  nullptr,
                                  0,
                                  false });
}

auto PacketPort::ReceiveBatch() -> std::size_t
{
  std::array<mmsghdr, kBatch> headers{};
  std::array<iovec, kBatch> parts{};
  for (std::size_t i = 0; i < kBatch; ++i) {
    parts[i] = { m_buffers->incoming[i].data(), forward::kLargestPacket };
    headers[i].msg_hdr.msg_iov = &parts[i];
    headers[i].msg_hdr.msg_iovlen = 1;
  }
  const int count = ::recvmmsg(m_socket.native_handle(), headers.data(), kBatch,
                               MSG_DONTWAIT, nullptr);
  if (count <= 0) {
    return 0;
  }
  const auto now = Clock::now();
  m_lastPacketAt = now;
  for (int i = 0; i < count; ++i) {
    m_handler(m_buffers->incoming[static_cast<std::size_t>(i)].data(),
              headers[static_cast<std::size_t>(i)].msg_len, now);
  }
  return static_cast<std::size_t>(count);
}

auto PacketPort::Flush() -> void
{
  auto& outgoing = m_buffers->outgoing;
  if (outgoing.empty()) {
    return;
  }
  auto& headers = m_buffers->headers;
  auto& parts = m_buffers->parts;
  headers.assign(outgoing.size(), mmsghdr{});
  parts.resize(outgoing.size());
  for (std::size_t i = 0; i < outgoing.size(); ++i) {
    auto& packet = outgoing[i];
    if (!packet.prefixed) {
      packet.data = packet.made.data();
      packet.size = packet.made.size();
    }
    const std::size_t first = packet.prefixed ? 0 : 1;
    parts[i] = { iovec{ packet.prefix.data(), packet.prefix.size() },
                 iovec{ const_cast<char*>(packet.data), packet.size } };
    headers[i].msg_hdr.msg_name = &packet.address;
    headers[i].msg_hdr.msg_namelen = sizeof packet.address;
    headers[i].msg_hdr.msg_iov = &parts[i][first];
    headers[i].msg_hdr.msg_iovlen = 2 - first;
  }
  std::size_t sent = 0;
  while (sent < headers.size()) {
    const int count =
      ::sendmmsg(m_socket.native_handle(), &headers[sent],
                 static_cast<unsigned>(headers.size() - sent), MSG_DONTWAIT);
    if (count <= 0) {
      // The one at the front cannot go; its sender repeats it.
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

auto PacketPort::ReceiveLoop() -> awaitable<void>
{
  while (m_socket.is_open()) {
    boost::system::error_code failure;
    co_await m_socket.async_wait(Udp::socket::wait_read,
                                 RedirectError(failure));
    if (failure == asio::error::operation_aborted) {
      co_return;
    }
    ReadWaiting();
  }
}

auto PacketPort::ReadWaiting() -> void
{
  for (int turn = 0; turn < kBatchesInTurn; ++turn) {
    // Taken before the read: this process may lose the processor after it.
    const auto before = Clock::now();
    const auto count = ReceiveBatch();
    Flush();
    if (count < kBatch) {
      m_onIdle(before);
      return;
    }
  }
}

auto PacketPort::LastPacketAt() const -> Clock::time_point
{
  return m_lastPacketAt;
}

auto PacketPort::Address() const -> std::string
{
  const auto endpoint = m_socket.local_endpoint();
  return FormatEndpoint(endpoint.address(), endpoint.port());
}

} // namespace bramleylock::kernel
