// The life of a request, written straight down.

#include "bramleylock/Flow/RequestRunner.h"

#include "bramleylock/Flow/FinalWord.h"
#include "bramleylock/Flow/HedgedReader.h"
#include "bramleylock/Flow/RequestTimes.h"

#include <fmt/format.h>

namespace bramleylock::flow {

using admission::AdmissionOutcome;
using lists::Execution;
using target::TargetError;
using target::TargetOutcome;
using wire::PacketType;
using wire::Reason;

/// Attempts at different targets that one request may take. Targets that lose
/// answers are a few of many, so that another one is worth the try; when
/// several shed, the whole service is full.
static constexpr int kAttemptLimit = 6;
static constexpr int kShedLimit = 3;

/// How recently an idle connection must have worked to carry a request that
/// may not be repeated, and one that may. The first is always proven anew,
/// because nothing can be done for it on a connection that has gone silent.
static constexpr Milliseconds kProvenForOnce{ 0 };
static constexpr Milliseconds kProvenForRepeatable{ 100 };

static constexpr std::size_t kReadBytes = 16384;
static constexpr std::uint32_t kShedRetryAfterMs = 250;

namespace {

/// How one attempt ended.
enum class AttemptResult
{
  Finished,
  TryElsewhere
};

class Runner
{
public:
  Runner(Environment& aEnvironment, std::shared_ptr<Flow> aFlow,
         std::shared_ptr<Exchange> aExchange)
    : m_environment(aEnvironment)
    , m_flow(std::move(aFlow))
    , m_exchange(std::move(aExchange))
    , m_final(aEnvironment, *m_flow, *m_exchange)
    , m_reader(aEnvironment, *m_exchange, m_flow->service, m_tried)
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
    times.EndWait();
    m_permit = std::move(admitted.permit);
    m_reader.WatchOverdue(admitted.overdueAfter, [this] { VacatePlace(); });
    if (admitted.refusal != Reason::None) {
      m_final.NotRun(admitted.refusal, admitted.retryAfterMs);
    } else if (m_exchange->cancelled) {
      m_final.NotRun(Reason::Cancelled, 0);
    } else {
      co_await RunAttempts();
    }
    m_permit.Finish(m_outcome);
    times.End(m_bodyEnded, m_mayHaveRun, m_outcome.latency);
    m_exchange->stage = Stage::Done;
    m_flow->active.erase(m_exchange->request.sequence);
    m_flow->lastUsed = Clock::now();
  }

private:
  auto RunAttempts() -> awaitable<void>
  {
    for (int attempt = 0; attempt < kAttemptLimit; ++attempt) {
      if (Clock::now() >= m_exchange->deadline) {
        EndUndecided(Reason::Deadline);
        co_return;
      }
      const auto chosen =
        m_environment.targets.Choose(m_flow->service, m_tried);
      if (!chosen) {
        break;
      }
      m_tried.insert(chosen->address);
      const auto result = co_await Attempt(chosen);
      if (result == AttemptResult::Finished) {
        co_return;
      }
      if (m_sheds >= kShedLimit) {
        break;
      }
      if (!m_environment.retries.Take(m_exchange->plan, m_flow->service)) {
        m_environment.metrics.Add(Counter::RetryBudgetEmpty);
        break;
      }
    }
    EndUndecided(m_failure);
  }

  /// Whether a request may be sent again after it may have run.
  auto Repeatable() const -> bool
  {
    return m_exchange->work.execution == Execution::Repeatable;
  }

  auto Attempt(std::shared_ptr<target::Target> aTarget)
    -> awaitable<AttemptResult>
  {
    target::InFlight inFlight(aTarget);
    const auto proven = Repeatable() ? kProvenForRepeatable : kProvenForOnce;
    std::error_code error;
    auto connection =
      co_await m_environment.targets.Connect(aTarget, proven, error);
    if (error) {
      m_environment.targets.Report(aTarget, TargetOutcome::ConnectFailed);
      m_environment.metrics.Add(Counter::RetryConnectFailed);
      m_failure = Reason::NoTarget;
      co_return AttemptResult::TryElsewhere;
    }
    if (m_exchange->cancelled) {
      EndUndecided(Reason::Cancelled);
      co_return AttemptResult::Finished;
    }
    if (Clock::now() >= m_exchange->deadline) {
      EndUndecided(Reason::Deadline);
      co_return AttemptResult::Finished;
    }
    Leg leg{ aTarget, connection, std::move(inFlight) };
    m_exchange->connection = std::move(connection);
    m_exchange->stage = Stage::Dispatched;
    // From here on the target may have run the request.
    m_mayHaveRun = true;
    m_environment.metrics.Add(Counter::RequestsDispatched);
    const auto started = Clock::now();
    const auto call = MakeCall();
    co_await m_exchange->connection->Send(call, error);
    if (error) {
      co_return Lost(aTarget, error);
    }
    const HedgedReader::MakeCall again = [this] { return MakeCall(); };
    const auto head = co_await m_reader.ReadHead(leg, again, error);
    if (error) {
      co_return Lost(leg.target, error);
    }
    m_exchange->connection = leg.connection;
    NoteDraining(leg, head);
    m_outcome.latency = Clock::now() - started;
    if (head.notRun) {
      co_return Shed(leg.target, head);
    }
    m_outcome.answered = true;
    m_environment.retries.Earn(m_exchange->plan, m_flow->service);
    co_return co_await Stream(leg, head);
  }

  /// Frees the place of a request whose target shows no byte. On a connection
  /// that has gone silent it would else keep others waiting to its deadline.
  auto VacatePlace() -> void
  {
    m_environment.metrics.Add(Counter::PermitVacated);
    m_permit.Vacate();
  }

  auto NoteDraining(const Leg& aLeg, const target::TargetHead& aHead) -> void
  {
    if (aHead.draining) {
      m_environment.targets.NoteDraining(aLeg.target);
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
    const auto first = m_exchange->answer ? m_exchange->answer->Base()
                                          : m_exchange->request.part;
    call.offset = std::uint64_t{ first } * wire::kPartPayloadBytes;
    return call;
  }

  auto Shed(const std::shared_ptr<target::Target>& aTarget,
            const target::TargetHead& aHead) -> AttemptResult
  {
    // The target said that it ran nothing, so even an at-most-once request
    // may go to another one.
    m_mayHaveRun = m_everLost;
    m_outcome.shed = true;
    ++m_sheds;
    m_retryAfterMs = std::max(m_retryAfterMs, aHead.retryAfterMs);
    m_failure = Reason::TargetShed;
    m_environment.metrics.Add(Counter::RetryTargetShed);
    m_environment.targets.Report(aTarget, TargetOutcome::Shed);
    m_exchange->connection.reset();
    return AttemptResult::TryElsewhere;
  }

  auto Lost(const std::shared_ptr<target::Target>& aTarget,
            std::error_code aError) -> AttemptResult
  {
    m_exchange->connection.reset();
    m_everLost = true;
    if (m_exchange->cancelled) {
      EndUndecided(Reason::Cancelled);
      return AttemptResult::Finished;
    }
    if (aError == TargetError::Timeout) {
      EndUndecided(Reason::Deadline);
      return AttemptResult::Finished;
    }
    m_environment.targets.Report(aTarget, TargetOutcome::Lost);
    m_failure = Reason::TargetLost;
    if (!Repeatable()) {
      EndUndecided(Reason::TargetLost);
      return AttemptResult::Finished;
    }
    m_environment.metrics.Add(Counter::RetryConnectionLost);
    return AttemptResult::TryElsewhere;
  }

  /// Whether the parts that the caller holds belong to this answer.
  auto Continues(const target::TargetHead& aHead) -> bool
  {
    const auto& request = m_exchange->request;
    return m_exchange->answer ? m_tag == aHead.tag
                              : request.answerTag == aHead.tag;
  }

  /// Starts an answer to the caller; false when it has to start over because
  /// the content has changed.
  auto BeginAnswer(const Leg& aLeg, const target::TargetHead& aHead) -> bool
  {
    const auto first = static_cast<std::uint32_t>(
      Continues(aHead) ? aHead.offset / wire::kPartPayloadBytes : 0);
    if (first == 0 && aHead.offset != 0) {
      m_exchange->connection->Close();
      m_exchange->connection.reset();
      m_exchange->request.part = 0;
      m_exchange->answer.reset();
      m_tried.erase(aLeg.target->address);
      return false;
    }
    m_exchange->answer = std::make_unique<AnswerSender>(
      m_environment, m_final.MakePacket(PacketType::Answer),
      m_exchange->caller);
    m_exchange->answer->SkipTo(first);
    m_body.clear();
    m_tag = aHead.tag;
    m_pushed = std::uint64_t{ first } * wire::kPartPayloadBytes;
    return true;
  }

  /// Passes the body on, without its first aSkip bytes; Finished is the result
  /// at its end too.
  auto PassBody(Leg& aLeg, std::uint64_t aSkip) -> awaitable<AttemptResult>
  {
    std::array<char, kReadBytes> buffer;
    const HedgedReader::MakeCall onwards = [this] {
      auto call = MakeCall();
      call.offset = m_pushed;
      return call;
    };
    const HedgedReader::Accept continues =
      [this](const target::TargetHead& aOther) {
        return aOther.tag == m_tag && aOther.offset <= m_pushed;
      };
    for (;;) {
      std::error_code error;
      const auto read = co_await m_reader.ReadSome(
        aLeg, buffer.data(), buffer.size(), onwards, continues, error);
      if (error) {
        co_return Lost(aLeg.target, error);
      }
      if (read.takenOver) {
        m_exchange->connection = aLeg.connection;
        aSkip = m_pushed - read.takenOver->offset;
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
      m_pushed += size;
      Remember(data, size);
      const bool alive = co_await m_exchange->answer->Push(data, size);
      if (!alive) {
        EndAborted();
        co_return AttemptResult::Finished;
      }
    }
  }

  auto Stream(Leg& aLeg, target::TargetHead aHead) -> awaitable<AttemptResult>
  {
    m_exchange->stage = Stage::Answering;
    const bool goesOn = m_exchange->answer && Continues(aHead);
    if (!goesOn && !BeginAnswer(aLeg, aHead)) {
      co_return AttemptResult::TryElsewhere;
    }
    m_exchange->answer->SetCode(aHead.status, aHead.tag);
    if (aHead.length) {
      m_exchange->answer->SetLength(*aHead.length);
    }
    const auto skip = m_pushed - std::min(m_pushed, aHead.offset);
    const auto passed = co_await PassBody(aLeg, skip);
    if (!m_bodyEnded) {
      co_return passed;
    }
    m_environment.targets.Return(aLeg.target,
                                 std::move(m_exchange->connection));
    m_environment.targets.Report(aLeg.target, TargetOutcome::Answered);
    aLeg = Leg();
    m_permit.Finish(m_outcome);
    co_await FinishAnswer(aHead);
    co_return AttemptResult::Finished;
  }

  auto FinishAnswer(target::TargetHead aHead) -> awaitable<void>
  {
    m_environment.metrics.Add(Counter::RequestsAnswered);
    if (m_pushed <= wire::kPartPayloadBytes && m_exchange->request.part == 0) {
      // A short answer needs no acknowledgement: a caller that misses it sends
      // the request again.
      m_final.Answer(aHead.status, aHead.tag, m_body);
      co_return;
    }
    m_final.KeepParts(aHead.status, aHead.tag, m_body);
    co_await m_exchange->answer->Finish();
  }

  /// Keeps the body of answers that must be repeated to late duplicates.
  auto Remember(const char* aData, std::size_t aSize) -> void
  {
    if (!Repeatable() || m_body.size() + aSize <= wire::kPartPayloadBytes) {
      m_body.append(aData, aSize);
    }
  }

  /// Says "not run" only when no target can have run the request.
  auto EndUndecided(Reason aReason) -> void
  {
    if (m_mayHaveRun) {
      m_final.Unknown(aReason);
      return;
    }
    m_final.NotRun(aReason, std::max(m_retryAfterMs, kShedRetryAfterMs));
  }

  auto EndAborted() -> void
  {
    m_exchange->connection->Close();
    m_exchange->connection.reset();
    m_environment.metrics.Add(Counter::RequestsCancelled);
    if (!Repeatable()) {
      m_final.Unknown(Reason::Cancelled);
    }
  }

  Environment& m_environment;
  std::shared_ptr<Flow> m_flow;
  std::shared_ptr<Exchange> m_exchange;
  admission::Permit m_permit;
  AdmissionOutcome m_outcome;
  FinalWord m_final;
  std::set<std::string> m_tried;
  HedgedReader m_reader;
  Reason m_failure = Reason::NoTarget;
  std::uint32_t m_retryAfterMs = 0;
  int m_sheds = 0;
  bool m_mayHaveRun = false;
  bool m_everLost = false;
  bool m_bodyEnded = false;
  std::uint64_t m_tag = 0;
  std::uint64_t m_pushed = 0;
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
