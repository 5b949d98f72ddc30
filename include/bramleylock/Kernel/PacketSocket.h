// The UDP socket that receives and sends forwarded packets.
#pragma once

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "bramleylock/Forward/Forwarder.h"
#include "bramleylock/Support/Asio.h"

namespace bramleylock::kernel {

/// Receives and sends datagrams in batches, with one system call for each.
class PacketSocket : public forward::PacketSink
{
public:
  /// Handles a datagram, whose data may be modified until the next Flush.
  using Handler =
    std::function<void(char* aData, std::size_t aSize, Clock::time_point aNow)>;

  PacketSocket(asio::io_context& aContext, Metrics& aMetrics);
  ~PacketSocket() override;

  /// aOnIdle is called when no more datagrams are pending, with a time up to
  /// which all datagrams that arrived have been handled.
  auto Start(const Udp::endpoint& aAddress, int aReceiveBufferBytes,
             Handler aHandler, std::function<void(Clock::time_point)> aOnIdle,
             std::error_code& aError) -> void;

  /// Handles the datagrams that are pending on the socket.
  auto ReadPending() -> void;

  auto SendToTarget(const forward::DirectoryEntry& aTarget, const char* aData,
                    std::size_t aSize) -> void override;
  auto SendToClient(const forward::Address& aClient, std::string aPacket)
    -> void override;
  auto Flush() -> void override;

  /// When the last batch of datagrams was received.
  auto LastReceivedAt() const -> Clock::time_point;

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
  std::uint16_t m_localPort = 0;
  Clock::time_point m_lastReceivedAt{};
};

} // namespace bramleylock::kernel
