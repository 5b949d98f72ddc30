// The subcommands of bramleylock-standin.
#pragma once

#include <string>
#include <vector>

namespace bramleylock::standin {

/// Each runs one stand-in until SIGTERM and returns the exit code.
auto RunStore(int argc, char** argv) -> int;
auto RunTarget(int argc, char** argv) -> int;
auto RunFabric(int argc, char** argv) -> int;
auto RunProxy(int argc, char** argv) -> int;

/// Runs aContext until SIGTERM or SIGINT.
auto RunUntilSignal(void* aContext) -> int;

} // namespace bramleylock::standin
