// Submission of edits of the lists.
#pragma once

#include "tools/bramleylockctl/CommandContext.h"

namespace bramleylock::ctl {

/// Returns the changes from aBase to aWanted in the format of the API.
auto ChangesBetween(const nlohmann::json& aBase, const nlohmann::json& aWanted)
  -> nlohmann::json;

/// Sends the changes from aBase to aWanted, waits until they are in force on
/// every server, and reports the servers on which they are not.
auto SubmitChanges(const CommandContext& aContext, const nlohmann::json& aBase,
                   const nlohmann::json& aWanted) -> int;

} // namespace bramleylock::ctl
