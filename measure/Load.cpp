// Open-loop load generator. A request counts as a broken flow when it receives
// neither a complete answer nor a refusal.

#include "measure/Load.h"

#include "bramleylock/Caller/Backoff.h"
#include "standins/Content.h"

#include <fmt/format.h>
#include <msgpack.hpp>

#include <algorithm>
#include <thread>

namespace bramleylock::measure {

using caller::CallOutcome;

struct Load::State
{
  State(const std::string& aServer, std::uint64_t aSeed)
    : context(1)
    , client(context, Endpoint(aServer))
    , random(aSeed)
    , seed(aSeed)
  {
  }

  static auto Endpoint(const std::string& aServer) -> Udp::endpoint
  {
    std::error_code error;
    return ParseUdpEndpoint(aServer, error);
  }

  auto Generate(LoadSpec aSpec) -> awaitable<void>;
  auto RunRequest(RequestProfile aProfile, std::string aLabel, std::string aId,
                  std::shared_ptr<caller::Flow> aFlow, bool aRetriesRefusals)
    -> awaitable<void>;
  auto OnTaskFinished() -> void;

  asio::io_context context;
  caller::Client client;
  Random random;
  std::uint64_t seed;
  std::vector<LoadSpec> specs;
  std::map<std::string, std::vector<Record>> records;
  std::vector<double> lateness;
  Clock::time_point started{};
  std::size_t pendingTasks = 0;
  std::uint64_t nextId = 0;
  std::thread thread;
};

Load::Load(const std::string& aServer, std::uint64_t aSeed)
  : m_state(std::make_unique<State>(aServer, aSeed))
{
}

Load::~Load()
{
  Join();
}

auto Load::Add(LoadSpec aSpec) -> void
{
  m_state->specs.push_back(std::move(aSpec));
}

auto Load::Start() -> void
{
  m_state->started = Clock::now();
  for (const auto& spec : m_state->specs) {
    ++m_state->pendingTasks;
    Spawn(m_state->context, "generate", m_state->Generate(spec));
  }
  m_state->thread = std::thread([this] { m_state->context.run(); });
}

auto Load::Join() -> void
{
  if (m_state->thread.joinable()) {
    m_state->thread.join();
  }
}

auto Load::Elapsed() const -> double
{
  return std::chrono::duration<double>(Clock::now() - m_state->started).count();
}

auto Load::LatenessQuantile(double aQuantile) const -> double
{
  auto late = m_state->lateness;
  if (late.empty()) {
    return 0;
  }
  std::sort(late.begin(), late.end());
  return late[static_cast<std::size_t>(aQuantile *
                                       static_cast<double>(late.size() - 1))];
}

auto Load::Records() const -> const std::map<std::string, std::vector<Record>>&
{
  return m_state->records;
}

auto Load::StrayPackets() const -> std::uint64_t
{
  return m_state->client.StrayPackets();
}

/// Returns the owner's address in a token, without verifying the signature.
static auto OwnerIn(const std::string& aToken) -> std::string
{
  static constexpr std::uint32_t kOwnerField = 4;
  try {
    std::size_t offset = 0;
    const auto handle = msgpack::unpack(aToken.data(), aToken.size(), offset);
    const auto& fields = handle.get().via.array;
    return fields.size > kOwnerField ? fields.ptr[kOwnerField].as<std::string>()
                                     : "";
  } catch (const std::exception&) {
    return "";
  }
}

auto Load::State::OnTaskFinished() -> void
{
  if (--pendingTasks == 0) {
    client.Close();
    context.stop();
  }
}

auto Load::State::Generate(LoadSpec aSpec) -> awaitable<void>
{
  const auto at = [this](double aSeconds) {
    return started + std::chrono::duration_cast<Clock::duration>(
                       std::chrono::duration<double>(aSeconds));
  };
  std::exponential_distribution<> gap(aSpec.perSecond);
  std::shared_ptr<caller::Flow> flow;
  int requestsInFlow = 0;
  double next = aSpec.from;
  while (next < aSpec.until) {
    const auto wait = at(next) - Clock::now();
    if (wait > Clock::duration::zero()) {
      co_await Sleep(wait);
    }
    if (!flow || requestsInFlow == aSpec.requestsPerFlow) {
      flow = std::make_shared<caller::Flow>(client, aSpec.profile.service,
                                            CredentialOf(aSpec.profile.plan));
      requestsInFlow = 0;
    }
    ++requestsInFlow;
    ++pendingTasks;
    const auto late = Clock::now() - at(next);
    lateness.push_back(std::chrono::duration<double, std::milli>(late).count());
    const auto id = fmt::format("{}-{}", seed, nextId++);
    Spawn(
      context, "call",
      RunRequest(aSpec.profile, aSpec.label, id, flow, aSpec.retriesRefusals));
    next += gap(random);
  }
  flow.reset();
  OnTaskFinished();
}

auto Load::State::RunRequest(RequestProfile aProfile, std::string aLabel,
                             std::string aId,
                             std::shared_ptr<caller::Flow> aFlow,
                             bool aRetriesRefusals) -> awaitable<void>
{
  Record record;
  record.id = aId;
  record.service = aProfile.service;
  record.startedAt =
    std::chrono::duration<double>(Clock::now() - started).count();
  caller::CallOptions options;
  options.work = aProfile.work;
  options.payload = fmt::format("id={} ms={} bytes={}", aId, aProfile.workMs,
                                aProfile.answerBytes);
  options.deadline = Milliseconds(aProfile.deadlineMs);
  const auto deadline = Clock::now() + options.deadline;
  auto result = co_await aFlow->Call(options);
  caller::Backoff backoff(caller::BackoffOptions{}, random());
  while (aRetriesRefusals) {
    const auto pause = backoff.NextDelay(result);
    if (!pause || Clock::now() + *pause >= deadline) {
      break;
    }
    co_await Sleep(*pause);
    options.deadline =
      std::chrono::duration_cast<Milliseconds>(deadline - Clock::now());
    result = co_await aFlow->Call(options);
    ++record.attempts;
  }
  record.outcome = result.outcome;
  record.reason = result.reason;
  record.retryAfterMs = result.retryAfterMs;
  record.sends = result.sends;
  record.owner = OwnerIn(result.token);
  record.latencyMs =
    std::chrono::duration<double, std::milli>(result.latency).count();
  record.atMostOnce = aProfile.work == "confirm" || aProfile.work == "booking";
  record.wrongAnswer =
    result.outcome == CallOutcome::Answered &&
    (result.status != 200 ||
     result.body != standin::MakeContent(aId, 0, aProfile.answerBytes));
  records[aLabel].push_back(std::move(record));
  aFlow.reset();
  OnTaskFinished();
}

static auto CheckRecord(const Record& aRecord, const RunCount& aCount,
                        Checks& aChecks) -> void
{
  const int runs = aCount.runs;
  for (const auto& service : aCount.services) {
    aChecks.wrongService += service == aRecord.service ? 0 : 1;
  }
  ++aChecks.requests;
  aChecks.wrongAnswer += aRecord.wrongAnswer ? 1 : 0;
  if (aRecord.atMostOnce && runs > 1) {
    ++aChecks.doubleRuns;
  }
  switch (aRecord.outcome) {
    case CallOutcome::Answered:
      ++aChecks.answered;
      // A request that is answered without a run received the answer of another
      // request.
      aChecks.wrongAnswer += runs == 0 ? 1 : 0;
      return;
    case CallOutcome::Refused:
      ++aChecks.refused;
      return;
    case CallOutcome::NotRun:
      ++aChecks.refused;
      aChecks.falseNotRun += runs > 0 ? 1 : 0;
      return;
    case CallOutcome::Unknown:
      ++aChecks.unknown;
      ++aChecks.brokenFlows;
      return;
  }
}

auto CheckRecords(const std::map<std::string, std::vector<Record>>& aRecords,
                  Cluster& aCluster) -> Checks
{
  Checks checks;
  const auto runs = aCluster.RunsByRequest();
  for (const auto& [label, records] : aRecords) {
    for (const auto& record : records) {
      const auto found = runs.find(record.id);
      CheckRecord(record, found == runs.end() ? RunCount{} : found->second,
                  checks);
    }
  }
  return checks;
}

auto LatencyQuantile(const std::vector<Record>& aRecords, double aQuantile)
  -> double
{
  std::vector<double> latencies;
  for (const auto& record : aRecords) {
    if (record.outcome == CallOutcome::Answered) {
      latencies.push_back(record.latencyMs);
    }
  }
  if (latencies.empty()) {
    return 0;
  }
  const auto index = static_cast<std::size_t>(
    aQuantile * static_cast<double>(latencies.size() - 1));
  std::nth_element(latencies.begin(),
                   latencies.begin() + static_cast<std::ptrdiff_t>(index),
                   latencies.end());
  return latencies[index];
}

} // namespace bramleylock::measure
