// The flows that this balancer owns.
#pragma once

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
  /// No at-most-once request at or below this sequence is ever run.
  std::uint32_t floor = 0;
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

  /// Forgets outcomes past their time and flows idle for aIdle; returns how
  /// many flows were forgotten.
  auto Expire(std::chrono::seconds aIdle) -> std::size_t;

  auto Size() const -> std::size_t;

  /// Requests in progress over all flows.
  auto Active() const -> std::size_t;

private:
  std::unordered_map<std::uint64_t, std::shared_ptr<Flow>> m_flows;
};

} // namespace bramleylock::flow
