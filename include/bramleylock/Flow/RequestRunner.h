// Runs one request of a flow to its final answer.
#pragma once

#include <memory>

#include "bramleylock/Flow/FlowTable.h"

namespace bramleylock::flow {

/// Admits the request, sends it to a target, streams the answer and records
/// the outcome. A repeatable request is retried elsewhere; an at-most-once
/// request is sent to one target once.
auto RunRequest(Environment& aEnvironment, std::shared_ptr<Flow> aFlow,
                std::shared_ptr<Exchange> aExchange) -> awaitable<void>;

} // namespace bramleylock::flow
