// Error categories made from tables of names, one category a layer.
#pragma once

#include <string>
#include <system_error>

#include "bramleylock/Support/Names.h"

namespace bramleylock {

/// An error category whose messages come from a table of names.
template<typename Enum, const auto& Table>
class NamedCategory : public std::error_category
{
public:
  explicit constexpr NamedCategory(const char* aName)
    : m_name(aName)
  {
  }

  auto name() const noexcept -> const char* override { return m_name; }

  auto message(int aValue) const -> std::string override
  {
    return std::string(NameOf(Table, static_cast<Enum>(aValue)));
  }

private:
  const char* m_name;
};

} // namespace bramleylock

/// Declares make_error_code for ENUM with messages from TABLE.
#define BRAMLEYLOCK_ERROR_ENUM(SPACE, ENUM, TABLE, NAME)                       \
  namespace SPACE {                                                            \
  inline auto make_error_code(ENUM aError) -> std::error_code                  \
  {                                                                            \
    static const ::bramleylock::NamedCategory<ENUM, TABLE> category(NAME);     \
    return { static_cast<int>(aError), category };                             \
  }                                                                            \
  }                                                                            \
  template<>                                                                   \
  struct std::is_error_code_enum<SPACE::ENUM> : std::true_type                 \
  {                                                                            \
  }
