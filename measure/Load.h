// Load of callers, and the checks of what came back.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "bramleylock/Caller/Client.h"
#include "measure/Cluster.h"
#include "measure/Deployment.h"

namespace bramleylock::measure {

/// What became of one request.
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
  /// Calls made for the request, the first included.
  int attempts = 1;
  /// "ip:port" of the owner in the request's token; empty without one.
  std::string owner;
};

/// Requests of one kind at a steady rate.
struct LoadSpec
{
  LoadShape shape;
  double perSecond = 0;
  /// Requests that share a flow before a new one is opened.
  int requestsPerFlow = 5;
  /// Seconds from the start of the load.
  double from = 0;
  double until = 0;
  std::string label;
  /// Whether a refused caller comes back as the callers' library advises.
  bool comesBack = false;
};

/// Runs load specifications from one thread with its own io_context.
class Load
{
public:
  Load(const std::string& aServer, std::uint64_t aSeed);
  ~Load();

  auto Add(LoadSpec aSpec) -> void;

  /// Starts the load in a thread; it ends by itself.
  auto Start() -> void;

  /// Waits until every request has ended.
  auto Join() -> void;

  /// Seconds since Start.
  auto Elapsed() const -> double;

  /// Milliseconds by which the generator was late, at aPart of its requests;
  /// after Join.
  auto LatenessAt(double aPart) const -> double;

  /// Answers that matched no call, after Join.
  auto Stray() const -> std::uint64_t;

  /// Records by label, after Join.
  auto Records() const -> const std::map<std::string, std::vector<Record>>&;

private:
  struct State;
  std::unique_ptr<State> m_state;
};

/// Checks over all records against the targets' journals.
struct Checks
{
  std::uint64_t requests = 0;
  std::uint64_t answered = 0;
  std::uint64_t refused = 0;
  std::uint64_t unknown = 0;
  std::uint64_t brokenFlows = 0;
  std::uint64_t wrongService = 0;
  std::uint64_t wrongAnswer = 0;
  std::uint64_t doubleRuns = 0;
  std::uint64_t falseNotRun = 0;
};

auto CheckRecords(const std::map<std::string, std::vector<Record>>& aRecords,
                  Cluster& aCluster) -> Checks;

/// The value below which aPart of the latencies of answered records lie.
auto LatencyAt(const std::vector<Record>& aRecords, double aPart) -> double;

} // namespace bramleylock::measure
