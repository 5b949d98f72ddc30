// Base64 coding with libsodium.

#include "bramleylock/Support/Base64.h"

#include <sodium.h>

namespace bramleylock {

auto EncodeBase64(const std::string& aBytes) -> std::string
{
  std::string text(
    sodium_base64_encoded_len(aBytes.size(), sodium_base64_VARIANT_ORIGINAL),
    '\0');
  sodium_bin2base64(text.data(), text.size(),
                    reinterpret_cast<const unsigned char*>(aBytes.data()),
                    aBytes.size(), sodium_base64_VARIANT_ORIGINAL);
  text.pop_back(); // libsodium writes a terminating zero.
  return text;
}

auto DecodeBase64(const std::string& aText) -> std::optional<std::string>
{
  std::string bytes(aText.size(), '\0');
  std::size_t size = 0;
  const char* end = nullptr;
  const int failed = sodium_base642bin(
    reinterpret_cast<unsigned char*>(bytes.data()), bytes.size(), aText.data(),
    aText.size(), nullptr, &size, &end, sodium_base64_VARIANT_ORIGINAL);
  if (failed != 0 || end != aText.data() + aText.size()) {
    return std::nullopt;
  }
  bytes.resize(size);
  return bytes;
}

} // namespace bramleylock
