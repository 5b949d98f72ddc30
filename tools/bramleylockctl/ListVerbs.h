// Commands that show and edit the lists.
#pragma once

#include "tools/bramleylockctl/Session.h"

namespace bramleylock::ctl {

auto ShowLists(const Session& aSession) -> int;

/// Replaces the lists with those in a file.
auto ApplyFile(const Session& aSession) -> int;

/// Prints the changes that ApplyFile would make.
auto DiffFile(const Session& aSession) -> int;

/// Sets one field, for example: lists set plans/clubes/weight 2
auto SetField(const Session& aSession) -> int;

auto RemoveEntry(const Session& aSession) -> int;
auto ShowHistory(const Session& aSession) -> int;

} // namespace bramleylock::ctl
