// Fuzzes the parser of the settings: it must report at least one problem when
// it returns an error, and none otherwise.

#include "bramleylock/Kernel/Settings.h"

#include <cstdlib>

using namespace bramleylock::kernel;

extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t* aData,
                                       std::size_t aSize) -> int
{
  const std::string input(reinterpret_cast<const char*>(aData), aSize);
  std::error_code error;
  std::vector<std::string> problems;
  ParseSettings(input, "fuzz.toml", error, problems);
  if (static_cast<bool>(error) != !problems.empty()) {
    std::abort();
  }
  return 0;
}
