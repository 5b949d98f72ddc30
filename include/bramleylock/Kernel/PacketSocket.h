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
  /// Handles a datagram, whose data may be modified until the next Flush. aAge
  /// is the time for which it was waiting in the socket.
  using Handler =
    std::function<void(char* aData, std::size_t aSize, Clock::duration aAge,
                       Clock::time_point aNow)>;

  /// Called if the socket was not read for aPause, which is longer than usual,
  /// before the pending datagrams are handled.
  using PauseHandler =
    std::function<void(Clock::duration aPause, Clock::time_point aNow)>;

  PacketSocket(asio::io_context& aContext, Metrics& aMetrics);
  ~PacketSocket() override;

  /// aOnIdle is called when no more datagrams are pending, with a time up to
  /// which all datagrams that arrived have been handled.
  auto Start(const Udp::endpoint& aAddress, int aReceiveBufferBytes,
             Handler aHandler, std::function<void(Clock::time_point)> aOnIdle,
             PauseHandler aOnPause, std::error_code& aError) -> void;

  /// Calls the pause handler if the socket was not read for longer than usual.
  auto DetectPause() -> void;

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
  auto RequestTimestamps() -> void;

  asio::io_context& m_context;
  Metrics& m_metrics;
  Udp::socket m_socket;
  Handler m_handler;
  std::function<void(Clock::time_point)> m_onIdle;
  PauseHandler m_onPause;
  std::unique_ptr<Buffers> m_buffers;
  std::uint16_t m_localPort = 0;
  Clock::time_point m_lastReceivedAt{};
  /// Times by BootTime: when the socket was last read, and when the last read
  /// began that left no datagram behind.
  std::chrono::nanoseconds m_lastReadAt{};
  std::chrono::nanoseconds m_lastEmptyAt{};
};

} // namespace bramleylock::kernel
