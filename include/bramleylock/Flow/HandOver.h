// Gives the flows of a stopping balancer to a peer.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>

#include "bramleylock/Flow/Continuations.h"
#include "bramleylock/Flow/FlowTable.h"

namespace bramleylock::flow {

/// Both ends of the transfer. A flow is frozen before it is sent and never
/// taken back: when the answer of the receiver is lost for good, nobody here
/// can tell who has it, and at-most-once work of the flow ends as unknown.
class HandOver
{
public:
  /// Starts a request that came with a flow.
  using Resume = std::function<void(const std::shared_ptr<Flow>&,
                                    const std::shared_ptr<Exchange>&)>;

  HandOver(Environment& aEnvironment, FlowTable& aFlows,
           Continuations& aContinuations, Resume aResume);

  /// Handles peers' transfers.
  auto Start() -> void;

  /// Hands every flow over, each as soon as no at-most-once request of it is
  /// in flight, then tells the peers. Returns early when all is done.
  auto Run(Clock::time_point aLimit) -> awaitable<void>;

  /// Whether packets of the flow have to wait for the receiver's answer.
  auto Moving(std::uint64_t aFlow) const -> bool;

  /// Keeps a packet until its flow has been handed over.
  auto Hold(std::uint64_t aFlow, wire::ForwardedDatagram aPacket) -> void;

  /// Where handed-over flows are now; empty before the first one.
  auto Successor() const -> std::optional<wire::Owner>;

  /// Whether aOwner has begun to hand its flows to this balancer.
  auto Inherits(const wire::Owner& aOwner) const -> bool;

private:
  using Batch = std::vector<std::shared_ptr<Flow>>;

  enum class Result
  {
    Accepted,
    Refused,
    InDoubt
  };

  /// A peer that hands its flows to this balancer.
  struct Incoming
  {
    std::uint32_t lastBatch = 0;
    Clock::time_point lastHeard{};
  };

  auto Receive(const wire::Hello& aSender, const std::string& aBody) -> void;
  auto Install(const wire::TransferredFlow& aHanded) -> void;
  auto ChooseSuccessor() -> bool;
  auto HandOverReady(bool aFreeze) -> awaitable<bool>;
  auto TakeReady(bool aFreeze) -> Batch;
  auto Transfer(const Batch& aBatch) -> awaitable<Result>;
  auto Await(const std::string& aBody) -> awaitable<Result>;
  auto Finish(const Batch& aBatch) -> void;
  auto Incomplete() const -> bool;

  Environment& m_environment;
  FlowTable& m_flows;
  Continuations& m_continuations;
  Resume m_resume;
  bool m_running = false;
  Clock::time_point m_limit{};
  std::optional<wire::Owner> m_successor;
  /// Whether the successor holds at least one batch.
  bool m_begun = false;
  std::uint32_t m_batch = 0;
  std::optional<wire::HandOverReply> m_reply;
  Signal m_replied;
  std::set<std::string> m_refusedBy;
  std::map<std::uint64_t, std::shared_ptr<Flow>> m_moving;
  std::map<std::uint64_t, std::vector<wire::ForwardedDatagram>> m_held;
  std::size_t m_heldCount = 0;
  std::map<wire::Owner, Incoming> m_incoming;
};

} // namespace bramleylock::flow
