// Conversion of flows to and from the records of a hand-over.
#pragma once

#include <cstddef>
#include <memory>

#include "bramleylock/Flow/FlowTable.h"

namespace bramleylock::flow {

/// Whether aFlow cannot be handed over yet, because a request has to finish at
/// this owner first: at-most-once work in progress, or, unless aIgnoreShortWork
/// is set, any short work.
auto HasBlockingRequests(const Flow& aFlow, bool aIgnoreShortWork) -> bool;

/// The approximate size of the record of aFlow in bytes.
auto EstimateRecordBytes(const Flow& aFlow) -> std::size_t;

/// Stops the requests of aFlow on this balancer, aSelf, and returns the record
/// that the receiver needs to continue the flow.
auto StopFlowForHandOver(Flow& aFlow, const wire::Owner& aSelf)
  -> wire::TransferredFlow;

/// Makes a flow that is owned by this balancer.
auto MakeFlow(const Environment& aEnvironment, std::uint64_t aId,
              const std::string& aPlan, const std::string& aService)
  -> std::shared_ptr<Flow>;

/// Renews the token of aFlow if it is signed with an earlier key. To be called
/// before the token is sent to a caller.
auto RenewOutdatedToken(const Environment& aEnvironment, Flow& aFlow) -> void;

/// Whether aFlow was handed over with its record from aOwner, directly or by
/// way of later owners.
auto WasHandedOverFrom(const Flow& aFlow, const wire::Owner& aOwner) -> bool;

/// Merges a received record into aFlow.
auto MergeRecord(Flow& aFlow, const wire::TransferredFlow& aRecord) -> void;

/// Restores a received request that continues here; null if its datagram or
/// caller address is malformed.
auto RestoreRequest(const wire::TransferredRequest& aRequest)
  -> std::shared_ptr<Exchange>;

} // namespace bramleylock::flow
