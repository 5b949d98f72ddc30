// A balancer of the forwarding path: its parts, their start and their stop.
#pragma once

#include <memory>
#include <string>

#include "bramleylock/Kernel/DataPath.h"

namespace bramleylock::kernel {

/// Passes the packets of flows on to targets that answer clients directly.
class ForwardingBalancer : public DataPath
{
public:
  ForwardingBalancer(asio::io_context& aContext, const Settings& aSettings);
  ~ForwardingBalancer() override;

  auto Start(std::error_code& aError, std::string& aDetail) -> void override;

  /// Tells the platform to send no more packets, forwards those that come
  /// until it has taken that in, and stops.
  auto Drain() -> void override;

  auto Reload(const Settings& aSettings) -> void override;
  auto ReadyLine() const -> std::string override;

private:
  struct Parts;
  std::unique_ptr<Parts> m_parts;
};

} // namespace bramleylock::kernel
