// The data path "requests": a balancer that sends callers' requests to targets.
#pragma once

#include <memory>
#include <string>

#include "bramleylock/Kernel/DataPath.h"

namespace bramleylock::kernel {

/// Owns the flows of callers and sends their requests to the targets.
class Balancer : public DataPath
{
public:
  Balancer(asio::io_context& aContext, const Settings& aSettings);
  ~Balancer() override;

  auto Start(std::error_code& aError, std::string& aDetail) -> void override;

  /// Stops opening flows, hands open flows over to peers, waits for requests in
  /// flight up to the drain time limit, and then stops the io_context.
  auto Drain() -> void override;

  auto Reload(const Settings& aSettings) -> void override;
  auto ReadyLine() const -> std::string override;

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace bramleylock::kernel
