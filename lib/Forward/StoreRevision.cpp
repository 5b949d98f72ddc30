// Formats positions in the history of the platform's store.

#include "bramleylock/Forward/StoreRevision.h"

namespace bramleylock::forward {

auto FormatRevision(const StoreRevision& aRevision) -> std::string
{
  const auto number = std::to_string(aRevision.number);
  return aRevision.generation == 0
           ? number
           : std::to_string(aRevision.generation) + "." + number;
}

} // namespace bramleylock::forward
