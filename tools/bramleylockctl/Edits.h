// Edits of the lists, from their changes to being in force.
#pragma once

#include "tools/bramleylockctl/Session.h"

namespace bramleylock::ctl {

/// The changes that lead from aBase to aWanted, as the API takes them.
auto ChangesBetween(const nlohmann::json& aBase, const nlohmann::json& aWanted)
  -> nlohmann::json;

/// Sends the changes from aBase to aWanted, waits until they are in force on
/// every server and reports where they are not.
auto Submit(const Session& aSession, const nlohmann::json& aBase,
            const nlohmann::json& aWanted) -> int;

} // namespace bramleylock::ctl
