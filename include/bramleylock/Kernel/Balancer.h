// One balancer: its parts, their start and their stop.
#pragma once

#include <memory>
#include <string>

#include "bramleylock/Kernel/Settings.h"
#include "bramleylock/Support/Asio.h"

namespace bramleylock::kernel {

/// Owns everything that runs in bramleylockd.
class Balancer
{
public:
  /// aSettings are valid.
  Balancer(asio::io_context& aContext, Settings aSettings);
  ~Balancer();
  Balancer(const Balancer&) = delete;
  auto operator=(const Balancer&) -> Balancer& = delete;

  /// Binds all addresses and starts the tasks; on failure aError is set and
  /// aDetail says what could not be done.
  auto Start(std::error_code& aError, std::string& aDetail) -> void;

  /// Begins a planned stop: no new flows, requests in flight end, then the
  /// io_context stops. Later calls do nothing.
  auto Drain() -> void;

  /// One line with the addresses in use, for scripts.
  auto ReadyLine() const -> std::string;

private:
  struct Parts;
  std::unique_ptr<Parts> m_parts;
};

} // namespace bramleylock::kernel
