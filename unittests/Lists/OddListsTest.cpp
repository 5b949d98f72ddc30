// Odd values in the lists that operators edit.

#include "bramleylock/Lists/PlanLists.h"
#include "unittests/TestOddInputs.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

using namespace bramleylock;
using namespace bramleylock::lists;

static auto ListsWith(const std::string& aField, const std::string& aValue)
  -> std::string
{
  return fmt::format(R"({{"revision":3,"plans":{{}},"services":{{}},"{}":{}}})",
                     aField, aValue);
}

/// Reading an object copies it, which overflowed the stack.
Test(OddLists, DeeplyNestedListsAreRejected, .timeout = 20)
{
  for (const auto& nested : { NestedArray(400000), NestedObject(150000) }) {
    for (const auto* field : { "edits", "stamps", "other" }) {
      std::error_code error;
      std::string detail;
      ParseLists(ListsWith(field, nested), error, detail);
      cr_assert(error, "%s", field);
      PlanLists lists;
      ParseEntry("services/a", fmt::format(R"({{"works":{}}})", nested), lists,
                 error, detail);
      cr_assert(error);
    }
  }
}

Test(OddLists, OddTextsAreRejected, .timeout = 20)
{
  for (const auto& text : OddTexts()) {
    std::error_code error;
    std::string detail;
    ParseLists(text, error, detail);
    cr_assert(error || text == "{}", "%.60s", text.c_str());
    cr_assert(detail.size() < 4096, "%zu bytes", detail.size());
  }
}

Test(OddLists, OddNumbersAreRejected, .timeout = 20)
{
  for (const auto& number : OddNumbers()) {
    std::error_code error;
    std::string detail;
    // Floats within the range are rounded towards zero.
    if (number == "1e3" || number.starts_with("1.") ||
        number.starts_with("0.")) {
      continue;
    }
    ParseLists(
      fmt::format(R"({{"revision":{},"plans":{{}},"services":{{}}}})", number),
      error, detail);
    cr_assert(error, "%.60s", number.c_str());
    PlanLists lists;
    ParseEntry("services/a",
               fmt::format(R"({{"plans":[],"slots":{}}})", number), lists,
               error, detail);
    cr_assert(error, "%.60s", number.c_str());
  }
}
