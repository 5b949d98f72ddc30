// Interface of the transport between callers and a balancer.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "bramleylock/Support/Asio.h"
#include "bramleylock/Support/Registry.h"

namespace bramleylock::kernel {

/// Receives datagrams from callers and sends answers to them.
class CallerEntry
{
public:
  using Handler = std::function<void(const char* aData, std::size_t aSize,
                                     const Udp::endpoint& aCaller)>;

  virtual ~CallerEntry() = default;

  /// Binds aAddress and passes every datagram to aHandler.
  virtual auto Start(const Udp::endpoint& aAddress, int aReceiveBufferBytes,
                     Handler aHandler, std::error_code& aError) -> void = 0;

  /// Sends one datagram, which is dropped when the socket buffer is full.
  virtual auto Send(const Udp::endpoint& aCaller, const std::string& aData)
    -> void = 0;

  virtual auto Address() const -> std::string = 0;

  virtual auto Stop() -> void = 0;
};

using CallerEntryRegistry = Registry<CallerEntry, asio::io_context&>;

} // namespace bramleylock::kernel
