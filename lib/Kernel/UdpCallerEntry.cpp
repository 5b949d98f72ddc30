// Transport of callers' packets over UDP.

#include "bramleylock/Kernel/CallerEntry.h"
#include "bramleylock/Wire/Packet.h"

namespace bramleylock::kernel {

/// Maximum number of datagrams read before other coroutines run.
static constexpr int kMaxDatagramsPerTurn = 64;

namespace {

class UdpCallerEntry : public CallerEntry
{
public:
  explicit UdpCallerEntry(asio::io_context& aContext)
    : m_context(aContext)
    , m_socket(aContext)
  {
  }

  auto Start(const Udp::endpoint& aAddress, int aReceiveBufferBytes,
             Handler aHandler, std::error_code& aError) -> void override
  {
    boost::system::error_code failure;
    m_handler = std::move(aHandler);
    m_socket.open(aAddress.protocol(), failure);
    m_socket.bind(aAddress, failure);
    if (failure) {
      aError = failure;
      return;
    }
    boost::system::error_code ignored;
    m_socket.set_option(
      asio::socket_base::receive_buffer_size(aReceiveBufferBytes), ignored);
    m_socket.set_option(
      asio::socket_base::send_buffer_size(aReceiveBufferBytes), ignored);
    m_socket.non_blocking(true, ignored);
    Spawn(m_context, "caller-entry", ReceiveLoop());
  }

  auto Send(const Udp::endpoint& aCaller, const std::string& aData)
    -> void override
  {
    boost::system::error_code ignored;
    m_socket.send_to(asio::buffer(aData), aCaller, 0, ignored);
  }

  auto Address() const -> std::string override
  {
    const auto endpoint = m_socket.local_endpoint();
    return FormatEndpoint(endpoint.address(), endpoint.port());
  }

  auto Stop() -> void override
  {
    boost::system::error_code ignored;
    m_socket.close(ignored);
  }

private:
  auto ReceiveLoop() -> awaitable<void>
  {
    // One byte larger than the largest valid packet, to detect oversized ones.
    std::array<char, wire::kMaxPacketBytes + 1> buffer{};
    while (m_socket.is_open()) {
      boost::system::error_code failure;
      co_await m_socket.async_wait(Udp::socket::wait_read,
                                   RedirectError(failure));
      if (failure == asio::error::operation_aborted) {
        co_return;
      }
      for (int i = 0; i < kMaxDatagramsPerTurn && !failure; ++i) {
        Udp::endpoint caller;
        const auto size =
          m_socket.receive_from(asio::buffer(buffer), caller, 0, failure);
        if (!failure) {
          m_handler(buffer.data(), size, caller);
        }
      }
    }
  }

  asio::io_context& m_context;
  Udp::socket m_socket;
  Handler m_handler;
};

const Registration<CallerEntryRegistry, UdpCallerEntry> kRegistration("udp");

} // namespace

} // namespace bramleylock::kernel
