// Commands that show and drain balancers, rotate keys and create credentials.
#pragma once

#include "tools/bramleylockctl/CommandContext.h"

namespace bramleylock::ctl {

auto ShowStatus(const CommandContext& aContext) -> int;
auto ShowTargets(const CommandContext& aContext) -> int;

/// Shows all incarnations of one target of the forwarding path.
auto ShowTarget(const CommandContext& aContext) -> int;

auto ShowCounters(const CommandContext& aContext) -> int;
auto StartDrain(const CommandContext& aContext) -> int;

/// Starts a rotation of the keys that sign flow tokens.
auto RotateKeys(const CommandContext& aContext) -> int;

/// Prints a new credential of a plan, and the secret hash for the plan's entry.
auto NewCredential(const CommandContext& aContext) -> int;

} // namespace bramleylock::ctl
