// The JSON document of the lists, updated entry by entry.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "bramleylock/Lists/PlanLists.h"

namespace bramleylock::lists {

/// Caches the JSON of each entry, so that an edit formats only the entries that
/// it changed.
class ListDocument
{
public:
  ListDocument() = default;
  explicit ListDocument(const PlanLists& aLists);

  /// Formats the entries and stamps at aPaths again; drops those that aLists no
  /// longer holds.
  auto Update(const PlanLists& aLists, const std::vector<std::string>& aPaths)
    -> void;

  /// Returns the same text as FormatLists(aLists). aLists must be the lists of
  /// the last update.
  auto Text(const PlanLists& aLists) const -> std::string;

private:
  /// Formatted JSON members, such as "clubs":{...}, by name.
  using Members = std::map<std::string, std::string>;

  static auto AppendObject(const Members& aMembers, std::string& aText) -> void;

  Members m_plans;
  Members m_services;
  Members m_stamps;
};

} // namespace bramleylock::lists
