// Hands the flows of a stopping balancer over to a peer.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>

#include "bramleylock/Flow/Continuations.h"
#include "bramleylock/Flow/FlowTable.h"

namespace bramleylock::flow {

/// The sending and the receiving side of the hand-over. A flow is frozen before
/// it is sent and never resumed by the sender: if the receiver's reply is lost
/// for good, the sender cannot tell whether the receiver has the flow, and
/// at-most-once work of the flow is reported as unknown.
class HandOver
{
public:
  /// Resumes a request that was received with a flow.
  using Resume = std::function<void(const std::shared_ptr<Flow>&,
                                    const std::shared_ptr<Exchange>&)>;

  HandOver(Environment& aEnvironment, FlowTable& aFlows,
           Continuations& aContinuations, Resume aResume);

  /// Starts handling hand-over messages of peers.
  auto Start() -> void;

  /// Hands every flow over as soon as none of its at-most-once requests is in
  /// progress, then announces the successor to the peers. Returns when that is
  /// done and no peer is handing flows to this balancer, or at aLimit.
  auto Run(Clock::time_point aLimit) -> awaitable<void>;

  /// Whether the flow has been sent and the receiver's reply is pending; its
  /// packets must be held until then.
  auto Moving(std::uint64_t aFlow) const -> bool;

  /// Holds a packet until its flow has been handed over, then forwards it to
  /// the successor. Drops it if too many packets are held.
  auto Hold(std::uint64_t aFlow, wire::Forwarded aPacket) -> void;

  /// The current owner of the flows handed over; empty until a successor has
  /// accepted any.
  auto Successor() const -> std::optional<wire::Owner>;

  /// Whether aOwner has started to hand its flows over to this balancer.
  auto Inherits(const wire::Owner& aOwner) const -> bool;

private:
  using Batch = std::vector<std::shared_ptr<Flow>>;

  enum class Result
  {
    Accepted,
    Refused,
    InDoubt
  };

  /// The progress of a peer that hands its flows over to this balancer.
  struct Incoming
  {
    std::uint32_t lastBatch = 0;
    Clock::time_point lastHeard{};
  };

  auto Receive(const wire::Hello& aSender, const std::string& aBody) -> void;
  auto Install(const wire::HandedFlow& aHanded) -> void;
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
  /// Whether m_successor receives the packets of flows already sent: it has
  /// accepted a batch, or it replaces a receiver whose batch ended in doubt.
  bool m_begun = false;
  std::uint32_t m_batch = 0;
  std::optional<wire::HandOverReply> m_reply;
  Signal m_replied;
  std::set<std::string> m_refusedBy;
  std::map<std::uint64_t, std::shared_ptr<Flow>> m_moving;
  std::map<std::uint64_t, std::vector<wire::Forwarded>> m_held;
  std::size_t m_heldCount = 0;
  std::map<wire::Owner, Incoming> m_incoming;
};

} // namespace bramleylock::flow
