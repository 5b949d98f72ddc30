// The processing of one request, from admission to the outcome.

#include "bramleylock/Flow/RequestRunner.h"

#include "bramleylock/Flow/HedgedReader.h"
#include "bramleylock/Flow/OutcomeReporter.h"
#include "bramleylock/Flow/RequestTimes.h"

#include <fmt/format.h>

namespace bramleylock::flow {

using admission::AdmissionOutcome;
using lists::Execution;
using target::TargetError;
using target::TargetOutcome;
using wire::PacketType;
using wire::Reason;

/// Limits on the attempts of one request, and on those that end with a target
/// shedding it. Lost answers usually concern a few targets, so another target
/// is likely to succeed; if several targets shed the request, the whole service
/// is likely overloaded.
static constexpr int kMaxAttempts = 6;
static constexpr int kMaxSheds = 3;

/// How recently an idle connection must have worked to be used without a probe,
/// for at-most-once and for repeatable requests. Zero means that the connection
/// is always probed: an at-most-once request that is sent on a dead connection
/// cannot be retried.
static constexpr Milliseconds kMaxSinceSuccessAtMostOnce{ 0 };
static constexpr Milliseconds kMaxSinceSuccessRepeatable{ 100 };

static constexpr std::size_t kReadBufferBytes = 16384;
static constexpr std::uint32_t kShedRetryAfterMs = 250;

namespace {

/// How one attempt ended.
enum class AttemptResult
{
  Finished,
  RetryOtherTarget
};

class Runner
{
public:
  Runner(Environment& aEnvironment, std::shared_ptr<Flow> aFlow,
         std::shared_ptr<Exchange> aExchange)
    : m_environment(aEnvironment)
    , m_flow(std::move(aFlow))
    , m_exchange(std::move(aExchange))
    , m_reporter(aEnvironment, *m_flow, *m_exchange)
    , m_reader(aEnvironment, *m_exchange, m_flow->service, m_triedAddresses)
  {
  }

  auto Run() -> awaitable<void>
  {
    RequestTimes times(m_environment.metrics, m_exchange->work.urgency);
    auto request =
      MakeAdmissionRequest(m_environment, m_exchange->plan, m_flow->service,
                           m_exchange->request, m_exchange->work);
    request.deadline = m_exchange->deadline;
    auto admitted = co_await m_environment.admission.Admit(std::move(request));
    times.EndQueueWait();
    m_permit = std::move(admitted.permit);
    m_reader.SetInactivityHandler(admitted.inactivityTimeout,
                                  [this] { ReleasePermitSlot(); });
    if (admitted.refusal != Reason::None) {
      m_reporter.ReportNotRun(admitted.refusal, admitted.retryAfterMs);
    } else if (m_exchange->cancelled) {
      m_reporter.ReportNotRun(Reason::Cancelled, 0);
    } else {
      co_await RunAttempts();
    }
    m_permit.Finish(m_outcome);
    times.End(m_bodyEnded, m_mayHaveRun, m_outcome.latency);
    m_exchange->stage = Stage::Done;
    m_flow->activeRequests.erase(m_exchange->request.sequence);
    m_flow->lastUsed = Clock::now();
  }

private:
  auto RunAttempts() -> awaitable<void>
  {
    for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
      if (Clock::now() >= m_exchange->deadline) {
        EndUnanswered(Reason::Deadline);
        co_return;
      }
      const auto chosen =
        m_environment.targets.Choose(m_flow->service, m_triedAddresses);
      if (!chosen) {
        break;
      }
      m_triedAddresses.insert(chosen->address);
      const auto result = co_await Attempt(chosen);
      if (result == AttemptResult::Finished) {
        co_return;
      }
      if (m_shedCount >= kMaxSheds) {
        break;
      }
      if (!m_environment.retries.TryWithdraw(m_exchange->plan,
                                             m_flow->service)) {
        m_environment.metrics.Add(Counter::RetryBudgetEmpty);
        break;
      }
    }
    EndUnanswered(m_failure);
  }

  /// Whether the request may be sent again although it may have run already.
  auto IsRepeatable() const -> bool
  {
    return m_exchange->work.execution == Execution::Repeatable;
  }

  auto Attempt(std::shared_ptr<target::Target> aTarget)
    -> awaitable<AttemptResult>
  {
    target::InFlightGuard inFlight(aTarget);
    const auto maxSinceSuccess =
      IsRepeatable() ? kMaxSinceSuccessRepeatable : kMaxSinceSuccessAtMostOnce;
    std::error_code error;
    auto connection =
      co_await m_environment.targets.Connect(aTarget, maxSinceSuccess, error);
    if (error) {
      m_environment.targets.Report(aTarget, TargetOutcome::ConnectFailed);
      m_environment.metrics.Add(Counter::RetryConnectFailed);
      m_failure = Reason::NoTarget;
      co_return AttemptResult::RetryOtherTarget;
    }
    if (m_exchange->cancelled) {
      EndUnanswered(Reason::Cancelled);
      co_return AttemptResult::Finished;
    }
    if (Clock::now() >= m_exchange->deadline) {
      EndUnanswered(Reason::Deadline);
      co_return AttemptResult::Finished;
    }
    DispatchedCall dispatched{ aTarget, connection, std::move(inFlight) };
    m_exchange->connection = std::move(connection);
    m_exchange->stage = Stage::Dispatched;
    // From this point on, the target may have run the request.
    m_mayHaveRun = true;
    m_environment.metrics.Add(Counter::RequestsDispatched);
    const auto started = Clock::now();
    const auto call = MakeCall();
    co_await m_exchange->connection->Send(call, error);
    if (error) {
      co_return HandleLost(aTarget, error);
    }
    const HedgedReader::MakeCall makeCall = [this] { return MakeCall(); };
    const auto head = co_await m_reader.ReadHead(dispatched, makeCall, error);
    if (error) {
      co_return HandleLost(dispatched.target, error);
    }
    m_exchange->connection = dispatched.connection;
    RecordDraining(dispatched, head);
    m_outcome.latency = Clock::now() - started;
    if (head.notRun) {
      co_return HandleShed(dispatched.target, head);
    }
    m_outcome.answered = true;
    m_environment.retries.Deposit(m_exchange->plan, m_flow->service);
    co_return co_await StreamAnswer(dispatched, head);
  }

  /// Releases the concurrency slot of a request whose target has sent no bytes.
  /// On a dead connection the request would otherwise block waiting requests
  /// until its deadline.
  auto ReleasePermitSlot() -> void
  {
    m_environment.metrics.Add(Counter::PermitVacated);
    m_permit.ReleaseSlot();
  }

  auto RecordDraining(const DispatchedCall& aDispatched,
                      const target::TargetHead& aHead) -> void
  {
    if (aHead.draining) {
      m_environment.targets.RecordDraining(aDispatched.target);
    }
  }

  auto MakeCall() -> target::TargetCall
  {
    target::TargetCall call;
    call.work = m_exchange->request.work;
    call.plan = m_exchange->plan;
    call.requestId =
      fmt::format("{:016x}-{}", m_flow->id, m_exchange->request.sequence);
    call.body = m_exchange->request.payload;
    call.deadline = m_exchange->deadline;
    const auto first = m_exchange->answer
                         ? m_exchange->answer->FirstUnacknowledged()
                         : m_exchange->request.part;
    call.offset = std::uint64_t{ first } * wire::kPartPayloadBytes;
    return call;
  }

  auto HandleShed(const std::shared_ptr<target::Target>& aTarget,
                  const target::TargetHead& aHead) -> AttemptResult
  {
    // The target reported that it did not run the request, so even an
    // at-most-once request may be sent to another one.
    m_mayHaveRun = m_attemptLost;
    m_outcome.shed = true;
    ++m_shedCount;
    m_retryAfterMs = std::max(m_retryAfterMs, aHead.retryAfterMs);
    m_failure = Reason::TargetShed;
    m_environment.metrics.Add(Counter::RetryTargetShed);
    m_environment.targets.Report(aTarget, TargetOutcome::Shed);
    m_exchange->connection.reset();
    return AttemptResult::RetryOtherTarget;
  }

  auto HandleLost(const std::shared_ptr<target::Target>& aTarget,
                  std::error_code aError) -> AttemptResult
  {
    m_exchange->connection.reset();
    m_attemptLost = true;
    if (m_exchange->cancelled) {
      EndUnanswered(Reason::Cancelled);
      return AttemptResult::Finished;
    }
    if (aError == TargetError::Timeout) {
      EndUnanswered(Reason::Deadline);
      return AttemptResult::Finished;
    }
    m_environment.targets.Report(aTarget, TargetOutcome::Lost);
    m_failure = Reason::TargetLost;
    if (!IsRepeatable()) {
      EndUnanswered(Reason::TargetLost);
      return AttemptResult::Finished;
    }
    m_environment.metrics.Add(Counter::RetryConnectionLost);
    return AttemptResult::RetryOtherTarget;
  }

  /// Whether the parts that the caller already has belong to the answer with
  /// this head.
  auto Continues(const target::TargetHead& aHead) -> bool
  {
    const auto& request = m_exchange->request;
    return m_exchange->answer ? m_answerTag == aHead.tag
                              : request.answerTag == aHead.tag;
  }

  /// Starts sending an answer to the caller. Returns false if the content has
  /// changed and the answer must be requested again from its beginning.
  auto BeginAnswer(const DispatchedCall& aDispatched,
                   const target::TargetHead& aHead) -> bool
  {
    const auto first = static_cast<std::uint32_t>(
      Continues(aHead) ? aHead.offset / wire::kPartPayloadBytes : 0);
    if (first == 0 && aHead.offset != 0) {
      m_exchange->connection->Close();
      m_exchange->connection.reset();
      m_exchange->request.part = 0;
      m_exchange->answer.reset();
      m_triedAddresses.erase(aDispatched.target->address);
      return false;
    }
    m_exchange->answer = std::make_unique<AnswerSender>(
      m_environment, m_reporter.MakePacket(PacketType::Answer),
      m_exchange->caller);
    m_exchange->answer->SetFirstPart(first);
    m_body.clear();
    m_answerTag = aHead.tag;
    m_streamedBytes = std::uint64_t{ first } * wire::kPartPayloadBytes;
    return true;
  }

  /// Streams the body to the caller, without its first aSkip bytes. At the end
  /// of the body, sets m_bodyEnded and returns Finished.
  auto StreamBody(DispatchedCall& aDispatched, std::uint64_t aSkip)
    -> awaitable<AttemptResult>
  {
    std::array<char, kReadBufferBytes> buffer;
    const HedgedReader::MakeCall resumeCall = [this] {
      auto call = MakeCall();
      call.offset = m_streamedBytes;
      return call;
    };
    const HedgedReader::AcceptHead acceptHead =
      [this](const target::TargetHead& aOtherHead) {
        return aOtherHead.tag == m_answerTag &&
               aOtherHead.offset <= m_streamedBytes;
      };
    for (;;) {
      std::error_code error;
      const auto read =
        co_await m_reader.ReadSome(aDispatched, buffer.data(), buffer.size(),
                                   resumeCall, acceptHead, error);
      if (error) {
        co_return HandleLost(aDispatched.target, error);
      }
      if (read.replacementHead) {
        m_exchange->connection = aDispatched.connection;
        aSkip = m_streamedBytes - read.replacementHead->offset;
        continue;
      }
      if (read.size == 0) {
        m_bodyEnded = true;
        co_return AttemptResult::Finished;
      }
      const auto skipped = std::min<std::uint64_t>(aSkip, read.size);
      aSkip -= skipped;
      const auto* data = buffer.data() + skipped;
      const auto size = read.size - skipped;
      m_streamedBytes += size;
      BufferBody(data, size);
      const bool alive = co_await m_exchange->answer->Push(data, size);
      if (!alive) {
        EndAborted();
        co_return AttemptResult::Finished;
      }
    }
  }

  auto StreamAnswer(DispatchedCall& aDispatched, target::TargetHead aHead)
    -> awaitable<AttemptResult>
  {
    m_exchange->stage = Stage::Answering;
    const bool continuesAnswer = m_exchange->answer && Continues(aHead);
    if (!continuesAnswer && !BeginAnswer(aDispatched, aHead)) {
      co_return AttemptResult::RetryOtherTarget;
    }
    m_exchange->answer->SetStatus(aHead.status, aHead.tag);
    if (aHead.length) {
      m_exchange->answer->SetLength(*aHead.length);
    }
    const auto skip = m_streamedBytes - std::min(m_streamedBytes, aHead.offset);
    const auto streamResult = co_await StreamBody(aDispatched, skip);
    if (!m_bodyEnded) {
      co_return streamResult;
    }
    m_environment.targets.Return(aDispatched.target,
                                 std::move(m_exchange->connection));
    m_environment.targets.Report(aDispatched.target, TargetOutcome::Answered);
    aDispatched = DispatchedCall();
    m_permit.Finish(m_outcome);
    co_await FinishAnswer(aHead);
    co_return AttemptResult::Finished;
  }

  auto FinishAnswer(target::TargetHead aHead) -> awaitable<void>
  {
    m_environment.metrics.Add(Counter::RequestsAnswered);
    if (m_streamedBytes <= wire::kPartPayloadBytes &&
        m_exchange->request.part == 0) {
      // An answer of one part is not acknowledged: a caller that does not
      // receive it retransmits the request.
      m_reporter.SendAnswer(aHead.status, aHead.tag, m_body);
      co_return;
    }
    m_reporter.RecordAnswer(aHead.status, aHead.tag, m_body);
    co_await m_exchange->answer->Finish();
  }

  /// Buffers the body of answers that are recorded for late duplicates, and of
  /// those that fit into one part.
  auto BufferBody(const char* aData, std::size_t aSize) -> void
  {
    if (!IsRepeatable() || m_body.size() + aSize <= wire::kPartPayloadBytes) {
      m_body.append(aData, aSize);
    }
  }

  /// Ends a request without an answer. Reports it as not run only if no target
  /// can have run it, else as unknown.
  auto EndUnanswered(Reason aReason) -> void
  {
    if (m_mayHaveRun) {
      m_reporter.ReportUnknown(aReason);
      return;
    }
    m_reporter.ReportNotRun(aReason,
                            std::max(m_retryAfterMs, kShedRetryAfterMs));
  }

  auto EndAborted() -> void
  {
    m_exchange->connection->Close();
    m_exchange->connection.reset();
    m_environment.metrics.Add(Counter::RequestsCancelled);
    if (!IsRepeatable()) {
      m_reporter.ReportUnknown(Reason::Cancelled);
    }
  }

  Environment& m_environment;
  std::shared_ptr<Flow> m_flow;
  std::shared_ptr<Exchange> m_exchange;
  admission::Permit m_permit;
  AdmissionOutcome m_outcome;
  OutcomeReporter m_reporter;
  std::set<std::string> m_triedAddresses;
  HedgedReader m_reader;
  Reason m_failure = Reason::NoTarget;
  std::uint32_t m_retryAfterMs = 0;
  int m_shedCount = 0;
  bool m_mayHaveRun = false;
  bool m_attemptLost = false;
  bool m_bodyEnded = false;
  std::uint64_t m_answerTag = 0;
  std::uint64_t m_streamedBytes = 0;
  std::string m_body;
};

} // namespace

auto DeadlineOf(const wire::Packet& aPacket, const lists::Work& aWork)
  -> Clock::time_point
{
  const auto limit =
    aPacket.deadlineMs != 0 ? aPacket.deadlineMs : aWork.deadlineMs;
  return Clock::now() + Milliseconds(limit);
}

auto MakeAdmissionRequest(const Environment& aEnvironment,
                          const std::string& aPlan, const std::string& aService,
                          const wire::Packet& aPacket, const lists::Work& aWork)
  -> admission::AdmissionRequest
{
  admission::AdmissionRequest request;
  request.plan = aPlan;
  request.service = aService;
  request.work = aPacket.work;
  request.urgency = aWork.urgency;
  request.size = aWork.size;
  request.bytes = aPacket.payload.size();
  request.deadline = DeadlineOf(aPacket, aWork);
  const auto lists = aEnvironment.lists.Current();
  const auto plan = lists->plans.find(aPlan);
  request.weight = plan == lists->plans.end() ? 1 : plan->second.weight;
  return request;
}

auto RunRequest(Environment& aEnvironment, std::shared_ptr<Flow> aFlow,
                std::shared_ptr<Exchange> aExchange) -> awaitable<void>
{
  Runner runner(aEnvironment, std::move(aFlow), std::move(aExchange));
  co_await runner.Run();
}

} // namespace bramleylock::flow
