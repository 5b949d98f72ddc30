// Interface to the platform's key-value store and VM list.
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
  { StoreError::Unavailable,
    "the platform's store is unavailable: no answer, or a server error" },
  { StoreError::Conflict, "the key's revision differs from the expected one" },
  { StoreError::NotFound, "the key does not exist in the platform's store" },
  { StoreError::OutcomeUnknown,
    "no answer to a write, which may have taken effect" },
  { StoreError::Malformed, "the answer of the platform's store is malformed" },
} };

/// A value and its revision in the store; revision 0 means that the key has
/// never existed.
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
  /// The service that a target serves.
  std::string service;
  std::string failureDomain;
  /// "ip:port" of a balancer's peer listener or of a target's HTTP server.
  std::string address;
  bool leaving = false;
};

/// Client of the platform's store. Failed calls set a StoreError.
class PlatformStore
{
public:
  virtual ~PlatformStore() = default;

  virtual auto Get(std::string aKey, std::error_code& aError)
    -> awaitable<StoredValue> = 0;

  /// Writes aValue if the key's revision is aExpected (0: the key is absent),
  /// and returns the new revision.
  virtual auto CompareAndSwap(std::string aKey, std::uint64_t aExpected,
                              std::string aValue, std::error_code& aError)
    -> awaitable<std::uint64_t> = 0;

  /// Waits at most aWait until the key's revision differs from aKnown, then
  /// returns the key's current value.
  virtual auto Watch(std::string aKey, std::uint64_t aKnown, Milliseconds aWait,
                     std::error_code& aError) -> awaitable<StoredValue> = 0;

  virtual auto ListVms(std::error_code& aError)
    -> awaitable<std::vector<PlatformVm>> = 0;
};

/// Registry of platform store clients, constructed from the io_context, the
/// "ip:port" of the store and the metrics.
using StoreRegistry =
  Registry<PlatformStore, asio::io_context&, const std::string&, Metrics&>;

/// Store key of the document with both lists.
inline constexpr const char* kListsKey = "lists";

/// Store key of the token keys.
inline constexpr const char* kTokenKeysKey = "token-keys";

} // namespace bramleylock::lists

BRAMLEYLOCK_ERROR_ENUM(bramleylock::lists, StoreError, kStoreErrorNames,
                       "bramleylock.store");
