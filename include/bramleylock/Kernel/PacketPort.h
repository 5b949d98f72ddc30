// The socket through which forwarded packets come and go.
#pragma once

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "bramleylock/Forward/Forwarder.h"
#include "bramleylock/Support/Asio.h"

namespace bramleylock::kernel {

/// Reads and writes datagrams in batches: one call for all that wait.
class PacketPort : public forward::PacketSink
{
public:
  /// Takes a datagram that may be written to until the next Flush.
  using Handler =
    std::function<void(char* aData, std::size_t aSize, Clock::time_point aNow)>;

  PacketPort(asio::io_context& aContext, Metrics& aMetrics);
  ~PacketPort() override;

  /// aOnIdle is called when no more datagrams wait, with a time up to which
  /// all that came has been handled.
  auto Start(const Udp::endpoint& aAddress, int aReceiveBufferBytes,
             Handler aHandler, std::function<void(Clock::time_point)> aOnIdle,
             std::error_code& aError) -> void;

  /// Handles the datagrams that wait.
  auto ReadWaiting() -> void;

  auto SendToTarget(const forward::DirectoryEntry& aTarget, const char* aData,
                    std::size_t aSize) -> void override;
  auto SendToClient(const forward::Address& aClient, std::string aPacket)
    -> void override;
  auto Flush() -> void override;

  /// When the last datagram came.
  auto LastPacketAt() const -> Clock::time_point;

  auto Address() const -> std::string;

private:
  struct Buffers;

  auto ReceiveLoop() -> awaitable<void>;
  auto ReceiveBatch() -> std::size_t;

  asio::io_context& m_context;
  Metrics& m_metrics;
  Udp::socket m_socket;
  Handler m_handler;
  std::function<void(Clock::time_point)> m_onIdle;
  std::unique_ptr<Buffers> m_buffers;
  std::uint16_t m_port = 0;
  Clock::time_point m_lastPacketAt{};
};

} // namespace bramleylock::kernel
