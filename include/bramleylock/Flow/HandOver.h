// Hands the flows of a stopping balancer over to a peer.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>

#include "bramleylock/Flow/FlowTable.h"
#include "bramleylock/Flow/SuccessorTable.h"

namespace bramleylock::flow {

/// The sending and the receiving side of the hand-over. The sender stops the
/// requests of a flow before it sends the flow, and never resumes them: if the
/// receiver never replies, the sender cannot tell whether the receiver has the
/// flow, and at-most-once work of the flow is reported as unknown.
class HandOver
{
public:
  /// Resumes a request that was received with a flow.
  using ResumeRequest = std::function<void(const std::shared_ptr<Flow>&,
                                           const std::shared_ptr<Exchange>&)>;

  HandOver(Environment& aEnvironment, FlowTable& aFlows,
           SuccessorTable& aSuccessorTable, ResumeRequest aResumeRequest);

  /// Starts handling hand-over messages of peers.
  auto Start() -> void;

  /// Hands every flow over as soon as none of its at-most-once requests is in
  /// progress, then announces the successor to the peers. Returns when that is
  /// done and no peer is handing flows to this balancer, or at aDeadline.
  auto Run(Clock::time_point aDeadline) -> awaitable<void>;

  /// Whether the flow has been sent and the receiver's reply is pending; its
  /// packets must be held until then.
  auto IsInTransfer(std::uint64_t aFlow) const -> bool;

  /// Holds a packet until its flow has been handed over, then forwards it to
  /// the successor. Drops it if too many packets are held.
  auto HoldPacket(std::uint64_t aFlow, wire::ForwardedDatagram aPacket) -> void;

  /// The current owner of the flows handed over; empty until a successor has
  /// accepted any.
  auto Successor() const -> std::optional<wire::Owner>;

  /// Whether aOwner has started to hand its flows over to this balancer.
  auto IsReceivingFrom(const wire::Owner& aOwner) const -> bool;

private:
  using Batch = std::vector<std::shared_ptr<Flow>>;

  enum class TransferResult
  {
    Accepted,
    Refused,
    InDoubt
  };

  /// The progress of a peer that hands its flows over to this balancer.
  struct IncomingTransfer
  {
    std::uint32_t lastBatchNumber = 0;
    Clock::time_point lastReceived{};
  };

  auto HandleBatch(const wire::Hello& aSender, const std::string& aBody)
    -> void;
  auto InstallFlow(const wire::TransferredFlow& aRecord) -> void;
  auto ChooseSuccessor() -> bool;
  auto HandOverBatch(bool aHoldRequests) -> awaitable<bool>;
  auto SelectReadyFlows(bool aHoldRequests) -> Batch;
  auto TransferBatch(const Batch& aBatch) -> awaitable<TransferResult>;
  auto SendUntilReply(const std::string& aBody) -> awaitable<TransferResult>;
  auto ForwardHeldPackets(const Batch& aBatch) -> void;
  auto HasIncomingTransfer() const -> bool;

  Environment& m_environment;
  FlowTable& m_flows;
  SuccessorTable& m_successorTable;
  ResumeRequest m_resumeRequest;
  bool m_running = false;
  Clock::time_point m_deadline{};
  std::optional<wire::Owner> m_successor;
  /// Whether m_successor receives the packets of flows already sent: it has
  /// accepted a batch, or it replaces a receiver whose batch ended in doubt.
  bool m_successorReady = false;
  std::uint32_t m_batchNumber = 0;
  std::optional<wire::HandOverReply> m_reply;
  ConditionVariable m_replySignal;
  std::set<std::string> m_excludedPeers;
  std::map<std::uint64_t, std::shared_ptr<Flow>> m_flowsInTransfer;
  std::map<std::uint64_t, std::vector<wire::ForwardedDatagram>> m_heldPackets;
  std::size_t m_heldPacketCount = 0;
  std::map<wire::Owner, IncomingTransfer> m_incomingTransfers;
};

} // namespace bramleylock::flow
