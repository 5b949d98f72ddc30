// Generates answer bodies from pseudo-random blocks of eight bytes. Each block
// depends only on the request id and its position, so a body can start at any
// offset.

#include "standins/Content.h"

#include <sstream>

namespace bramleylock::standin {

static constexpr std::uint64_t kBlockBytes = 8;

auto ParseWork(const std::string& aBody) -> std::map<std::string, std::string>
{
  std::map<std::string, std::string> words;
  std::istringstream stream(aBody);
  std::string word;
  while (stream >> word) {
    const auto equals = word.find('=');
    if (equals != std::string::npos) {
      words[word.substr(0, equals)] = word.substr(equals + 1);
    }
  }
  return words;
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
