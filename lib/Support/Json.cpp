// nlohmann-json parses without recursion, but copies, compares and formats
// values recursively. A text of 1 MiB can be nested a million levels deep,
// which overflows the stack there and needs about 64 bytes of memory per level,
// so its depth is checked before it is parsed.

#include "bramleylock/Support/Json.h"

namespace bramleylock {

using nlohmann::json;

/// Maximum length of an excerpt in a log record.
static constexpr std::size_t kMaxExcerptBytes = 200;

auto ExceedsMaxJsonDepth(const std::string& aText) -> bool
{
  // In text before the first syntax error, at which the parser stops, the depth
  // is the same as in the parser.
  std::size_t depth = 0;
  bool inString = false;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    const char character = aText[i];
    if (inString) {
      if (character == '\\') {
        ++i;
      }
      inString = character != '"';
      continue;
    }
    if (character == '"') {
      inString = true;
    } else if (character == '[' || character == '{') {
      if (++depth > kMaxJsonDepth) {
        return true;
      }
    } else if ((character == ']' || character == '}') && depth > 0) {
      --depth;
    }
  }
  return false;
}

auto ParseForeignJson(const std::string& aText) -> json
{
  if (ExceedsMaxJsonDepth(aText)) {
    return json(json::value_t::discarded);
  }
  return json::parse(aText, nullptr, false);
}

auto FormatJsonExcerpt(const json& aValue) -> std::string
{
  auto text = aValue.dump(-1, ' ', true, json::error_handler_t::replace);
  if (text.size() > kMaxExcerptBytes) {
    text.resize(kMaxExcerptBytes);
    text += "...";
  }
  return text;
}

auto StringField(const json& aObject, const char* aName) -> std::string
{
  if (!aObject.is_object()) {
    return {};
  }
  const auto found = aObject.find(aName);
  return found != aObject.end() && found->is_string()
           ? found->get<std::string>()
           : std::string();
}

auto BooleanField(const json& aObject, const char* aName) -> bool
{
  if (!aObject.is_object()) {
    return false;
  }
  const auto found = aObject.find(aName);
  return found != aObject.end() && found->is_boolean() && found->get<bool>();
}

} // namespace bramleylock
