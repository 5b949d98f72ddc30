// Depth limit and field access of foreign JSON.

#include "bramleylock/Support/Json.h"
#include "unittests/TestOddInputs.h"

#include <criterion/criterion.h>

using namespace bramleylock;

Test(Json, DepthLimitIsExact)
{
  for (auto* const nest : { NestedArray, NestedObject }) {
    cr_assert(!ParseForeignJson(nest(kMaxJsonDepth)).is_discarded());
    cr_assert(ParseForeignJson(nest(kMaxJsonDepth + 1)).is_discarded());
  }
}

Test(Json, BracketsInStringsAreNotNesting)
{
  const auto brackets = std::string(1000, '[') + R"(\"{\\)";
  const auto document = ParseForeignJson("[\"" + brackets + "\",[]]");
  cr_assert(document.is_array() && document.size() == 2);
  cr_assert(!ExceedsMaxJsonDepth(Nested("[],")));
  // A string that ends with an escaped backslash.
  cr_assert(ExceedsMaxJsonDepth(R"("\\")" + NestedArray(100)));
}

Test(Json, OddTextsDoNotThrow, .timeout = 20)
{
  for (const auto& text : OddTexts()) {
    const auto document = ParseForeignJson(text);
    cr_assert(StringField(document, "service").empty());
    cr_assert(!BooleanField(document, "draining"));
    cr_assert(FormatJsonExcerpt(document).size() < 300);
  }
}

Test(Json, FieldsOfAnotherTypeAreIgnored)
{
  for (const auto* value : { "7", "null", "[]", "{}", "1.5" }) {
    const auto document =
      ParseForeignJson(R"({"field":)" + std::string(value) + "}");
    cr_assert(document.is_object());
    cr_assert(StringField(document, "field").empty());
    cr_assert(!BooleanField(document, "field"));
  }
  const auto document = ParseForeignJson(R"({"text":"a","flag":true})");
  cr_assert(StringField(document, "text") == "a");
  cr_assert(BooleanField(document, "flag"));
}
