// Runs one request of a flow to its final answer.
#pragma once

#include <memory>

#include "bramleylock/Flow/FlowTable.h"

namespace bramleylock::flow {

/// What the admission policy is told of a request.
auto MakeAdmissionRequest(const Environment& aEnvironment,
                          const std::string& aPlan, const std::string& aService,
                          const wire::Packet& aPacket, const lists::Work& aWork)
  -> admission::AdmissionRequest;

/// When a request that arrives now with aPacket has to be answered.
auto DeadlineOf(const wire::Packet& aPacket, const lists::Work& aWork)
  -> Clock::time_point;

/// How long past its deadline an outcome is kept for late duplicates.
inline constexpr std::chrono::seconds kOutcomeMargin{ 30 };

/// Admits the request, sends it to a target, streams the answer and records
/// the outcome. A repeatable request is retried elsewhere; an at-most-once
/// request is sent to one target once.
auto RunRequest(Environment& aEnvironment, std::shared_ptr<Flow> aFlow,
                std::shared_ptr<Exchange> aExchange) -> awaitable<void>;

} // namespace bramleylock::flow
