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

/// How far a request has come.
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
  /// Its flow was handed over: this owner neither sends nor records any more.
  bool frozen = false;
  /// The token in the packets to the caller.
  std::string token;
  std::unique_ptr<AnswerSender> answer;
  std::shared_ptr<target::TargetConnection> connection;
};

/// The final word on an at-most-once request, kept for late duplicates.
struct Outcome
{
  /// The datagrams of the final answer.
  std::vector<std::string> datagrams;
  Clock::time_point keepUntil{};
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
  /// No at-most-once request at or below this sequence is ever run.
  std::uint32_t floor = 0;
  /// Starts no new request here, because it waits to be handed over.
  bool frozen = false;
  /// Earlier owners, whose tokens are good here because the whole flow came.
  std::vector<wire::Owner> origins;
  Clock::time_point lastUsed{};
  std::map<std::uint32_t, std::shared_ptr<Exchange>> active;
  std::map<std::uint32_t, Outcome> outcomes;
};

/// Owned flows by their identifiers.
class FlowTable
{
public:
  /// The flow aId, or null.
  auto Find(std::uint64_t aId) -> std::shared_ptr<Flow>;

  /// Adds a flow; there must be none with its identifier.
  auto Add(std::shared_ptr<Flow> aFlow) -> void;

  auto Remove(std::uint64_t aId) -> void;

  /// Looks at the flows that are due for a look, a bounded number at a time:
  /// forgets outcomes past their time and flows idle for aIdle. Returns how
  /// many flows were forgotten.
  auto Expire(std::chrono::seconds aIdle) -> std::size_t;

  auto Size() const -> std::size_t;

  /// Requests in progress over all flows.
  auto Active() const -> std::size_t;

  /// Counts a request that begins, and one that has ended.
  auto CountBegun() -> void;
  auto CountEnded() -> void;

  /// All flows, for an owner that stops.
  auto All() const
    -> const std::unordered_map<std::uint64_t, std::shared_ptr<Flow>>&;

private:
  /// When a flow is looked at next.
  struct Check
  {
    Clock::time_point at{};
    std::uint64_t flow = 0;
  };

  std::size_t m_active = 0;
  Clock::duration m_checkEvery{};
  /// In the order of their times, because each is the same time ahead.
  std::deque<Check> m_checks;
  std::unordered_map<std::uint64_t, std::shared_ptr<Flow>> m_flows;
};

} // namespace bramleylock::flow
