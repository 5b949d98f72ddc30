// Base64 round trips and rejection of malformed input.

#include "bramleylock/Support/Base64.h"

#include <criterion/criterion.h>

using namespace bramleylock;

Test(Base64, DecodingReversesEncoding)
{
  std::string bytes;
  for (int i = 0; i < 300; ++i) {
    cr_assert(DecodeBase64(EncodeBase64(bytes)) == bytes);
    bytes.push_back(static_cast<char>(i * 7));
  }
  cr_assert(EncodeBase64("any carnal pleas") == "YW55IGNhcm5hbCBwbGVhcw==");
}

Test(Base64, MalformedTextIsRejected)
{
  for (const auto* text : { "YW5", "YW55!", "YW55 ", "====", "YW55\nYW55" }) {
    cr_assert(!DecodeBase64(text), "%s", text);
  }
}
