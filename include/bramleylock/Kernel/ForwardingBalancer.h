// The data path "forward": a balancer that forwards packets to targets.
#pragma once

#include <memory>
#include <string>

#include "bramleylock/Kernel/DataPath.h"

namespace bramleylock::kernel {

/// Forwards the packets of flows to targets, which answer clients directly.
class ForwardingBalancer : public DataPath
{
public:
  ForwardingBalancer(asio::io_context& aContext, const Settings& aSettings);
  ~ForwardingBalancer() override;

  auto Start(std::error_code& aError, std::string& aDetail) -> void override;

  /// Reports to the platform's health checks that this balancer is not ready,
  /// forwards packets until no more arrive or the stop time limit is reached,
  /// and then stops the io_context.
  auto Drain() -> void override;

  auto Reload(const Settings& aSettings) -> void override;
  auto ReadyLine() const -> std::string override;

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace bramleylock::kernel
