// Positions in the history of the platform's store.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace bramleylock::forward {

/// Position in the history of the platform's store. The generation rises each
/// time the store is restored from an older copy. The store then assigns the
/// numbers of the lost history again, so the generation is compared first.
struct StoreRevision
{
  /// A number without a generation is a revision of a store or of a peer that
  /// names no generation.
  StoreRevision(std::uint64_t aNumber = 0, std::uint64_t aGeneration = 0)
    : generation(aGeneration)
    , number(aNumber)
  {
  }

  // The check misreads the defaulted operator.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const StoreRevision&) const = default;

  std::uint64_t generation;
  std::uint64_t number;
};

/// Formats a revision for the log as "generation.number", or only the number if
/// the generation is unknown.
auto FormatRevision(const StoreRevision& aRevision) -> std::string;

} // namespace bramleylock::forward
