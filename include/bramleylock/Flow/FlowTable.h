// The flows that this balancer owns.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "bramleylock/Flow/AnswerSender.h"
#include "bramleylock/Flow/Environment.h"

namespace bramleylock::flow {

/// The stages of a request's processing.
enum class Stage
{
  Waiting,
  Dispatched,
  Answering,
  Done
};

/// One request in progress.
struct Exchange
{
  wire::Packet request;
  std::string plan;
  lists::Work work;
  Udp::endpoint caller;
  Clock::time_point deadline{};
  Stage stage = Stage::Waiting;
  bool cancelled = false;
  /// Set when the flow is handed over: this owner no longer sends packets or
  /// records outcomes for the request.
  bool handedOver = false;
  /// The token in the packets to the caller.
  std::string token;
  std::unique_ptr<AnswerSender> answer;
  std::shared_ptr<target::TargetConnection> connection;
};

/// The recorded outcome of an at-most-once request, with which late duplicates
/// are answered.
struct Outcome
{
  /// The datagrams of the final answer.
  std::vector<std::string> datagrams;
  Clock::time_point expiresAt{};
};

/// One flow that this balancer owns.
struct Flow
{
  std::uint64_t id = 0;
  std::string plan;
  std::string service;
  std::string token;
  /// The key that signed the token.
  std::uint32_t keyId = 0;
  /// At-most-once requests with a sequence number up to this one are not run.
  std::uint32_t sequenceFloor = 0;
  /// Set when the flow is about to be handed over: packets of new requests are
  /// held and later forwarded to the successor.
  bool holdsRequests = false;
  /// Earlier owners. Their tokens are accepted here, because the flow was
  /// handed over with its full record.
  std::vector<wire::Owner> previousOwners;
  Clock::time_point lastUsed{};
  std::map<std::uint32_t, std::shared_ptr<Exchange>> activeRequests;
  std::map<std::uint32_t, Outcome> outcomes;
};

/// The flows owned by this balancer, by identifier.
class FlowTable
{
public:
  /// The flow aId, or null.
  auto Find(std::uint64_t aId) -> std::shared_ptr<Flow>;

  /// Adds a flow; its identifier must not be in use.
  auto Add(std::shared_ptr<Flow> aFlow) -> void;

  auto Remove(std::uint64_t aId) -> void;

  /// Checks a bounded number of the flows that are due for a check: removes
  /// expired outcomes, and flows that have been idle for aIdleTimeout. Returns
  /// the number of flows removed.
  auto Expire(std::chrono::seconds aIdleTimeout) -> std::size_t;

  auto Size() const -> std::size_t;

  /// The number of requests in progress in all flows.
  auto InFlight() const -> std::size_t;

  /// Count the start and the end of a request.
  auto CountRequestStarted() -> void;
  auto CountRequestEnded() -> void;

  /// All flows; used to hand them over when this balancer stops.
  auto All() const
    -> const std::unordered_map<std::uint64_t, std::shared_ptr<Flow>>&;

private:
  /// The time of the next expiry check of a flow.
  struct ExpiryCheck
  {
    Clock::time_point at{};
    std::uint64_t flow = 0;
  };

  std::size_t m_activeRequests = 0;
  Clock::duration m_checkInterval{};
  /// Sorted by time, because every check is scheduled the same interval ahead.
  std::deque<ExpiryCheck> m_checks;
  std::unordered_map<std::uint64_t, std::shared_ptr<Flow>> m_flows;
};

} // namespace bramleylock::flow
