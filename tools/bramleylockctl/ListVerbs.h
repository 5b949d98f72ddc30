// The commands on the lists.
#pragma once

#include "tools/bramleylockctl/Session.h"

namespace bramleylock::ctl {

auto ShowLists(const Session& aSession) -> int;

/// Makes the lists those of a file.
auto ApplyFile(const Session& aSession) -> int;

/// Prints what ApplyFile would change.
auto DiffFile(const Session& aSession) -> int;

/// Sets one field: lists set plans/clubes/weight 2
auto SetField(const Session& aSession) -> int;

auto RemoveEntry(const Session& aSession) -> int;
auto ShowHistory(const Session& aSession) -> int;

} // namespace bramleylock::ctl
