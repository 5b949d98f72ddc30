// Interface of a data path: how a balancer processes the packets it receives.
#pragma once

#include <string>
#include <system_error>

#include "bramleylock/Kernel/Settings.h"
#include "bramleylock/Support/Asio.h"
#include "bramleylock/Support/Registry.h"

namespace bramleylock::kernel {

/// Owns all components of a bramleylockd process; created from valid settings.
class DataPath
{
public:
  virtual ~DataPath() = default;

  /// Binds all addresses and starts the coroutines. On failure sets aError, and
  /// aDetail to the setting or file that caused it.
  virtual auto Start(std::error_code& aError, std::string& aDetail) -> void = 0;

  /// Starts a planned stop, which ends by stopping the io_context. Further
  /// calls have no effect.
  virtual auto Drain() -> void = 0;

  /// Applies those settings of a reloaded file that need no restart.
  virtual auto Reload(const Settings& aSettings) -> void = 0;

  /// One line with the addresses in use, for scripts.
  virtual auto ReadyLine() const -> std::string = 0;
};

using DataPathRegistry = Registry<DataPath, asio::io_context&, const Settings&>;

} // namespace bramleylock::kernel
