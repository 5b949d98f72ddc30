// Commands that show and edit the lists.
#pragma once

#include "tools/bramleylockctl/CommandContext.h"

namespace bramleylock::ctl {

auto ShowLists(const CommandContext& aContext) -> int;

/// Replaces the lists with those in a file.
auto ApplyFile(const CommandContext& aContext) -> int;

/// Prints the changes that ApplyFile would make.
auto DiffFile(const CommandContext& aContext) -> int;

/// Sets one field, for example: lists set plans/clubes/weight 2
auto SetField(const CommandContext& aContext) -> int;

auto RemoveEntry(const CommandContext& aContext) -> int;
auto ShowHistory(const CommandContext& aContext) -> int;

} // namespace bramleylock::ctl
