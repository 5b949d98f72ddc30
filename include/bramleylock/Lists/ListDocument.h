// The document of lists that change by a few entries at a time.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "bramleylock/Lists/PlanLists.h"

namespace bramleylock::lists {

/// Keeps the JSON of each entry, so that an edit formats only what it changed.
class ListDocument
{
public:
  ListDocument() = default;
  explicit ListDocument(const PlanLists& aLists);

  /// Formats the entries and stamps at aPaths again, or drops them.
  auto Update(const PlanLists& aLists, const std::vector<std::string>& aPaths)
    -> void;

  /// What FormatLists(aLists) gives; aLists are those of the last update.
  auto Text(const PlanLists& aLists) const -> std::string;

private:
  /// JSON members, such as "clubs":{...}, by name.
  using Members = std::map<std::string, std::string>;

  static auto Join(const Members& aMembers, std::string& aText) -> void;

  Members m_plans;
  Members m_services;
  Members m_stamps;
};

} // namespace bramleylock::lists
