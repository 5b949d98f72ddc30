// Reading of whole files into memory.

#include "bramleylock/Support/Files.h"

#include <fstream>
#include <iterator>

namespace bramleylock {

auto ReadFile(const std::string& aFile) -> std::optional<std::string>
{
  std::ifstream stream(aFile, std::ios::binary);
  if (!stream) {
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(stream), {});
}

} // namespace bramleylock
