// Name tables are complete, in enumerator order and free of duplicates.

#include "bramleylock/Support/Counters.h"
#include "bramleylock/Wire/Packet.h"

#include <criterion/criterion.h>

#include <set>

template<typename Table>
static auto CheckTable(const Table& aTable) -> void
{
  std::set<std::string_view> names;
  int value = 0;
  for (const auto& [entry, name] : aTable) {
    cr_assert(static_cast<int>(entry) == value, "row %d", value);
    cr_assert(names.insert(name).second, "row %d", value);
    ++value;
  }
}

Test(Names, EveryCounterHasARowInOrder)
{
  CheckTable(bramleylock::kCounterNames);
}

Test(Names, EveryReasonHasARowInOrder)
{
  CheckTable(bramleylock::wire::kReasonNames);
}

Test(Names, EveryPacketTypeHasARowInOrder)
{
  CheckTable(bramleylock::wire::kPacketTypeNames);
}
