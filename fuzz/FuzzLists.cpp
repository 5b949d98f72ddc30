// Fuzzes the parser of the lists: a list that it accepts must not change when
// it is formatted and parsed again.

#include "bramleylock/Lists/PlanLists.h"

#include <cstdlib>

using namespace bramleylock::lists;

extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t* aData,
                                       std::size_t aSize) -> int
{
  const std::string input(reinterpret_cast<const char*>(aData), aSize);
  std::error_code error;
  std::string detail;
  const auto lists = ParseLists(input, error, detail);
  if (error) {
    return 0;
  }
  const auto formatted = FormatLists(lists);
  const auto reparsed = ParseLists(formatted, error, detail);
  if (error || FormatLists(reparsed) != formatted) {
    std::abort();
  }
  return 0;
}
