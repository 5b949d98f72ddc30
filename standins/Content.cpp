// Generates answer bodies from pseudo-random blocks of eight bytes. Each block
// depends only on the request id and its position, so a body can start at any
// offset.

#include "standins/Content.h"

#include <sstream>

namespace bramleylock::standin {

static constexpr std::uint64_t kBlockBytes = 8;

auto ParseWorkParameters(const std::string& aBody)
  -> std::map<std::string, std::string>
{
  std::map<std::string, std::string> parameters;
  std::istringstream stream(aBody);
  std::string parameter;
  while (stream >> parameter) {
    const auto equals = parameter.find('=');
    if (equals != std::string::npos) {
      parameters[parameter.substr(0, equals)] = parameter.substr(equals + 1);
    }
  }
  return parameters;
}

/// The finalizer of the splitmix64 pseudo-random generator.
static auto Mix(std::uint64_t aValue) -> std::uint64_t
{
  aValue = (aValue ^ (aValue >> 30)) * 0xbf58476d1ce4e5b9ULL;
  aValue = (aValue ^ (aValue >> 27)) * 0x94d049bb133111ebULL;
  return aValue ^ (aValue >> 31);
}

auto MakeContent(const std::string& aId, std::uint64_t aOffset,
                 std::uint64_t aSize) -> std::string
{
  const std::uint64_t seed = std::hash<std::string>()(aId);
  std::string content;
  if (aOffset >= aSize) {
    return content;
  }
  content.reserve(aSize - aOffset);
  std::uint64_t block = 0;
  for (auto i = aOffset; i < aSize; ++i) {
    if (i == aOffset || i % kBlockBytes == 0) {
      block = Mix(seed + (i / kBlockBytes) * 0x9e3779b97f4a7c15ULL);
    }
    content += static_cast<char>(block >> (8 * (i % kBlockBytes)));
  }
  return content;
}

} // namespace bramleylock::standin
