// The commands on balancers and their keys.
#pragma once

#include "tools/bramleylockctl/Session.h"

namespace bramleylock::ctl {

auto ShowStatus(const Session& aSession) -> int;
auto ShowTargets(const Session& aSession) -> int;

/// One target of the forwarding path, all its incarnations.
auto ShowTarget(const Session& aSession) -> int;

auto ShowCounters(const Session& aSession) -> int;
auto StartDrain(const Session& aSession) -> int;

/// Replaces the key that signs flow tokens.
auto RotateKeys(const Session& aSession) -> int;

/// Prints a new credential of a plan, and the hash for its entry.
auto NewCredential(const Session& aSession) -> int;

} // namespace bramleylock::ctl
