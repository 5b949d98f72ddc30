// Runs one request of a flow until its outcome is reported.
#pragma once

#include <memory>

#include "bramleylock/Flow/FlowTable.h"

namespace bramleylock::flow {

/// Describes a request to the admission policy.
auto MakeAdmissionRequest(const Environment& aEnvironment,
                          const std::string& aPlan, const std::string& aService,
                          const wire::Packet& aPacket, const lists::Work& aWork)
  -> admission::AdmissionRequest;

/// The deadline of a request that arrives now: aPacket's, or by default
/// aWork's.
auto DeadlineOf(const wire::Packet& aPacket, const lists::Work& aWork)
  -> Clock::time_point;

/// How long after the request's deadline its outcome is kept for late
/// duplicates.
inline constexpr std::chrono::seconds kOutcomeRetention{ 30 };

/// Admits the request, sends it to a target, streams the answer to the caller
/// and records the outcome. After a failure a repeatable request is retried at
/// another target. An at-most-once request is sent to another target only if
/// the previous one cannot have run it.
auto RunRequest(Environment& aEnvironment, std::shared_ptr<Flow> aFlow,
                std::shared_ptr<Exchange> aExchange) -> awaitable<void>;

} // namespace bramleylock::flow
