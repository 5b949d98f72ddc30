// What a flow is made of on its way from one owner to another.
#pragma once

#include <cstddef>
#include <memory>

#include "bramleylock/Flow/FlowTable.h"

namespace bramleylock::flow {

/// Whether a request of aFlow has to end at its owner first: at-most-once work
/// in flight, and short work unless aFreeze.
auto Busy(const Flow& aFlow, bool aFreeze) -> bool;

/// Bytes that the record of aFlow takes, about.
auto RecordBytes(const Flow& aFlow) -> std::size_t;

/// Everything that the receiver needs of aFlow; its requests stop here.
auto Freeze(Flow& aFlow, const wire::Owner& aSelf) -> wire::TransferredFlow;

/// A flow that this balancer owns from now on.
auto MakeFlow(const Environment& aEnvironment, std::uint64_t aId,
              const std::string& aPlan, const std::string& aService)
  -> std::shared_ptr<Flow>;

/// Gives aFlow a token that names this balancer, under the signing key.
auto RenewToken(const Environment& aEnvironment, Flow& aFlow) -> void;

/// Whether the whole flow came here from aOwner, with its record.
auto CameFrom(const Flow& aFlow, const wire::Owner& aOwner) -> bool;

/// Adds the record that came along to what is known of aFlow.
auto Merge(Flow& aFlow, const wire::TransferredFlow& aHanded) -> void;

/// A request that goes on here; null when it cannot be read.
auto Thaw(const wire::TransferredRequest& aRequest)
  -> std::shared_ptr<Exchange>;

} // namespace bramleylock::flow
