// Error categories that take their messages from name tables, one per layer.
#pragma once

#include <string>
#include <system_error>

#include "bramleylock/Support/Names.h"

namespace bramleylock {

/// Error category whose messages come from a name table.
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

/// Makes ENUM an error code enumeration with the category NAME and the messages
/// in TABLE. SPACE is the namespace of ENUM.
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
