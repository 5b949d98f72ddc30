// Fuzzes the settings' reader: every refusal names at least one problem.

#include "bramleylock/Kernel/Settings.h"

#include <cstdlib>

using namespace bramleylock::kernel;

extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t* aData,
                                       std::size_t aSize) -> int
{
  const std::string text(reinterpret_cast<const char*>(aData), aSize);
  std::error_code error;
  std::vector<std::string> problems;
  ParseSettings(text, "fuzz.toml", error, problems);
  if (static_cast<bool>(error) != !problems.empty()) {
    std::abort();
  }
  return 0;
}
