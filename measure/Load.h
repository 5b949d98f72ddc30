// Generates the load of callers and checks the answers.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "bramleylock/Caller/Client.h"
#include "measure/Cluster.h"
#include "measure/Deployment.h"

namespace bramleylock::measure {

/// The outcome of one request.
struct Record
{
  std::string id;
  std::string service;
  bool atMostOnce = false;
  caller::CallOutcome outcome = caller::CallOutcome::Unknown;
  wire::Reason reason = wire::Reason::None;
  bool wrongAnswer = false;
  double latencyMs = 0;
  /// Seconds from the start of the load.
  double startedAt = 0;
  std::uint32_t retryAfterMs = 0;
  std::uint32_t sends = 0;
  /// Calls made for the request, including the first.
  int attempts = 1;
  /// "ip:port" of the owner in the request's token; empty without a token.
  std::string owner;
};

/// Requests of one type, sent as a Poisson process with a constant mean rate.
struct LoadSpec
{
  RequestProfile profile;
  double perSecond = 0;
  /// Number of requests in a flow before a new flow is opened.
  int requestsPerFlow = 5;
  /// Seconds from the start of the load.
  double from = 0;
  double until = 0;
  /// Key of the requests' records.
  std::string label;
  /// Whether callers retry refused requests with the back-off of the callers'
  /// library.
  bool retriesRefusals = false;
};

/// Runs load specifications on one thread with its own io_context.
class Load
{
public:
  Load(const std::string& aServer, std::uint64_t aSeed);
  ~Load();

  auto Add(LoadSpec aSpec) -> void;

  /// Starts the thread of the load, which ends when all requests have ended.
  auto Start() -> void;

  /// Waits until every request has ended.
  auto Join() -> void;

  /// Seconds since Start.
  auto Elapsed() const -> double;

  /// Quantile aQuantile of the delay, in milliseconds, with which the generator
  /// sent requests. Call it after Join.
  auto LatenessQuantile(double aQuantile) const -> double;

  /// Packets that the client discarded, such as answers that matched no call.
  /// Call it after Join.
  auto StrayPackets() const -> std::uint64_t;

  /// Records by label. Call it after Join.
  auto Records() const -> const std::map<std::string, std::vector<Record>>&;

private:
  struct State;
  std::unique_ptr<State> m_state;
};

/// Results of comparing all records with the targets' journals.
struct Checks
{
  std::uint64_t requests = 0;
  std::uint64_t answered = 0;
  std::uint64_t refused = 0;
  std::uint64_t unknown = 0;
  /// Requests that got neither a complete answer nor a refusal.
  std::uint64_t brokenFlows = 0;
  /// Executions by a target of another service.
  std::uint64_t wrongService = 0;
  std::uint64_t wrongAnswer = 0;
  /// At-most-once requests that ran more than once.
  std::uint64_t doubleRuns = 0;
  /// Requests that were reported as not run but had run.
  std::uint64_t falseNotRun = 0;
};

auto CheckRecords(const std::map<std::string, std::vector<Record>>& aRecords,
                  Cluster& aCluster) -> Checks;

/// Quantile aQuantile of the latencies of answered requests, in milliseconds.
auto LatencyQuantile(const std::vector<Record>& aRecords, double aQuantile)
  -> double;

} // namespace bramleylock::measure
