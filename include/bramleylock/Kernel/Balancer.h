// A balancer of the request path: its parts, their start and their stop.
#pragma once

#include <memory>
#include <string>

#include "bramleylock/Kernel/DataPath.h"

namespace bramleylock::kernel {

/// Runs the requests of callers: it owns their flows and calls the targets.
class Balancer : public DataPath
{
public:
  Balancer(asio::io_context& aContext, const Settings& aSettings);
  ~Balancer() override;

  auto Start(std::error_code& aError, std::string& aDetail) -> void override;

  /// No new flows; requests in flight end, then the io_context stops.
  auto Drain() -> void override;

  auto Reload(const Settings& aSettings) -> void override;
  auto ReadyLine() const -> std::string override;

private:
  struct Parts;
  std::unique_ptr<Parts> m_parts;
};

} // namespace bramleylock::kernel
