// Commands that show, drain and rekey balancers, and create credentials.
#pragma once

#include "tools/bramleylockctl/Session.h"

namespace bramleylock::ctl {

auto ShowStatus(const Session& aSession) -> int;
auto ShowTargets(const Session& aSession) -> int;

/// Shows all incarnations of one target of the forwarding path.
auto ShowTarget(const Session& aSession) -> int;

auto ShowCounters(const Session& aSession) -> int;
auto StartDrain(const Session& aSession) -> int;

/// Starts a rotation of the keys that sign flow tokens.
auto RotateKeys(const Session& aSession) -> int;

/// Prints a new credential of a plan, and the secret hash for the plan's entry.
auto NewCredential(const Session& aSession) -> int;

} // namespace bramleylock::ctl
