// The platform's key-value service and VM list, as the balancers meet them.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "bramleylock/Support/Asio.h"
#include "bramleylock/Support/Counters.h"
#include "bramleylock/Support/Errors.h"
#include "bramleylock/Support/Registry.h"

namespace bramleylock::lists {

enum class StoreError
{
  Unavailable = 1,
  Conflict,
  NotFound,
  OutcomeUnknown,
  Malformed
};

inline constexpr std::array<NameRow<StoreError>, 5> kStoreErrorNames{ {
  { StoreError::Unavailable, "the platform's store does not answer" },
  { StoreError::Conflict, "the key has another revision" },
  { StoreError::NotFound, "there is no such key" },
  { StoreError::OutcomeUnknown, "the answer to a write was lost" },
  { StoreError::Malformed, "the store's answer cannot be read" },
} };

/// A value and the store's revision of it; revision 0 means it never existed.
struct StoredValue
{
  std::string value;
  std::uint64_t revision = 0;
};

enum class VmRole
{
  Balancer,
  Target
};

inline constexpr std::array<NameRow<VmRole>, 2> kVmRoleNames{ {
  { VmRole::Balancer, "balancer" },
  { VmRole::Target, "target" },
} };

/// One row of the platform's VM list.
struct PlatformVm
{
  std::string name;
  VmRole role = VmRole::Target;
  /// The service of a target.
  std::string service;
  std::string failureDomain;
  /// "ip:port": a balancer's peer listener or a target's HTTP server.
  std::string address;
  bool leaving = false;
};

/// The platform's service. All calls fail with StoreError.
class PlatformStore
{
public:
  virtual ~PlatformStore() = default;

  virtual auto Get(std::string aKey, std::error_code& aError)
    -> awaitable<StoredValue> = 0;

  /// Writes aValue if the key's revision is still aExpected (0: absent), and
  /// returns the new revision.
  virtual auto CompareAndSwap(std::string aKey, std::uint64_t aExpected,
                              std::string aValue, std::error_code& aError)
    -> awaitable<std::uint64_t> = 0;

  /// Waits until the key's revision differs from aKnown, at most aWait; then
  /// returns what the key holds.
  virtual auto Watch(std::string aKey, std::uint64_t aKnown, Milliseconds aWait,
                     std::error_code& aError) -> awaitable<StoredValue> = 0;

  virtual auto ListVms(std::error_code& aError)
    -> awaitable<std::vector<PlatformVm>> = 0;
};

/// Platform stores by name; made from the io_context, "ip:port" of the
/// service, and the metrics.
using StoreRegistry =
  Registry<PlatformStore, asio::io_context&, const std::string&, Metrics&>;

/// The key under which both lists stand.
inline constexpr const char* kListsKey = "lists";

/// The key under which the token keys stand.
inline constexpr const char* kTokenKeysKey = "token-keys";

} // namespace bramleylock::lists

BRAMLEYLOCK_ERROR_ENUM(bramleylock::lists, StoreError, kStoreErrorNames,
                       "bramleylock.store");
