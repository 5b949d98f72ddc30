// Reading of answers, with a hedge when a target is unresponsive.

#include "bramleylock/Flow/HedgedReader.h"

#include <cstring>

namespace bramleylock::flow {

using target::TargetOutcome;

/// A hedge is sent when a call has received no bytes for this long.
static constexpr Milliseconds kHedgeDelay{ 1000 };

/// How recently an idle connection must have worked to be used by a hedge
/// without a probe. Zero means that it is always probed: that is cheap here,
/// and the hedge must not fail in the same way as the first call.
static constexpr Milliseconds kMaxSinceSuccessHedge{ 0 };

/// A read in progress, shared with the coroutine that performs it.
struct HedgedReader::PendingRead
{
  PendingRead(DispatchedCall aDispatched,
              std::shared_ptr<ConditionVariable> aSignal)
    : dispatched(std::move(aDispatched))
    , signal(std::move(aSignal))
  {
  }

  auto Finish() -> void
  {
    done = true;
    signal->NotifyAll();
  }

  auto Abandon() -> void
  {
    abandoned = true;
    if (dispatched.connection) {
      dispatched.connection->Close();
    }
  }

  DispatchedCall dispatched;
  std::shared_ptr<ConditionVariable> signal;
  bool done = false;
  bool abandoned = false;
  std::error_code error;
  target::TargetHead head;
  std::string buffer;
  std::size_t size = 0;
};

HedgedReader::HedgedReader(Environment& aEnvironment, const Exchange& aExchange,
                           const std::string& aService,
                           std::set<std::string>& aTried)
  : m_environment(aEnvironment)
  , m_exchange(aExchange)
  , m_service(aService)
  , m_tried(aTried)
  , m_signal(std::make_shared<ConditionVariable>(aEnvironment.context))
{
}

auto HedgedReader::CanHedge() const -> bool
{
  return m_exchange.work.execution == lists::Execution::Repeatable;
}

auto HedgedReader::RunHeadRead(std::shared_ptr<PendingRead> aRead)
  -> awaitable<void>
{
  aRead->head = co_await aRead->dispatched.connection->ReadHead(aRead->error);
  aRead->Finish();
}

auto HedgedReader::RunBodyRead(std::shared_ptr<PendingRead> aRead)
  -> awaitable<void>
{
  aRead->size = co_await aRead->dispatched.connection->ReadSome(
    aRead->buffer.data(), aRead->buffer.size(), aRead->error);
  aRead->Finish();
}

auto HedgedReader::RunHedge(Environment& aEnvironment,
                            std::shared_ptr<PendingRead> aRead,
                            target::TargetCall aCall) -> awaitable<void>
{
  auto connection = co_await aEnvironment.targets.Connect(
    aRead->dispatched.target, kMaxSinceSuccessHedge, aRead->error);
  if (aRead->error) {
    aEnvironment.targets.Report(aRead->dispatched.target,
                                TargetOutcome::ConnectFailed);
    aRead->Finish();
    co_return;
  }
  if (aRead->abandoned) {
    aRead->Finish();
    co_return;
  }
  aRead->dispatched.connection = std::move(connection);
  co_await aRead->dispatched.connection->Send(aCall, aRead->error);
  if (!aRead->error) {
    aRead->head = co_await aRead->dispatched.connection->ReadHead(aRead->error);
  }
  aRead->Finish();
}

auto HedgedReader::StartHedge(const MakeCall& aMakeCall)
  -> std::shared_ptr<PendingRead>
{
  auto other = m_environment.targets.Choose(m_service, m_tried);
  if (!other || !m_environment.targets.TakeHedge()) {
    return nullptr;
  }
  m_tried.insert(other->address);
  m_environment.metrics.Add(Counter::HedgeSent);
  DispatchedCall dispatched{ other, nullptr, target::InFlightGuard(other) };
  auto hedge = std::make_shared<PendingRead>(std::move(dispatched), m_signal);
  Spawn(m_environment.context, "hedge",
        RunHedge(m_environment, hedge, aMakeCall()));
  return hedge;
}

/// Waits until aRead is done, but no longer than aTimeout.
auto HedgedReader::WaitForRead(PendingRead& aRead, Clock::duration aTimeout)
  -> awaitable<void>
{
  const auto deadline = Clock::now() + aTimeout;
  while (!aRead.done && Clock::now() < deadline) {
    co_await m_signal->WaitUntil(deadline);
  }
}

auto HedgedReader::SetInactivityHandler(Clock::duration aInactivityTimeout,
                                        OnInactive aOnInactive) -> void
{
  m_inactivityTimeout = aInactivityTimeout;
  m_onInactive = std::move(aOnInactive);
}

/// Waits until aRead is done, and calls the callback once if the inactivity
/// timeout expires before that.
auto HedgedReader::WaitAndReportInactivity(PendingRead& aRead)
  -> awaitable<void>
{
  co_await WaitForRead(aRead, m_inactivityTimeout);
  if (aRead.done) {
    co_return;
  }
  m_onInactive();
  while (!aRead.done) {
    co_await m_signal->Wait();
  }
}

/// Returns whether the hedge has won. The first call stays open until then.
auto HedgedReader::HedgeWins(std::shared_ptr<PendingRead> aFirst,
                             std::shared_ptr<PendingRead> aHedge,
                             const AcceptHead& aAcceptHead) -> awaitable<bool>
{
  for (;;) {
    const bool firstSucceeded = aFirst->done && !aFirst->error;
    if (firstSucceeded || (aFirst->done && m_exchange.cancelled)) {
      co_return false;
    }
    const bool hedgeSucceeded = aHedge->done && !aHedge->error &&
                                !aHedge->abandoned && !aHedge->head.notRun &&
                                aAcceptHead(aHedge->head);
    if (hedgeSucceeded) {
      co_return true;
    }
    if (aFirst->done && aHedge->done) {
      co_return false;
    }
    co_await m_signal->Wait();
  }
}

auto HedgedReader::ReadWithHedge(std::shared_ptr<PendingRead> aFirst,
                                 const MakeCall& aMakeCall,
                                 const AcceptHead& aAcceptHead)
  -> awaitable<std::shared_ptr<PendingRead>>
{
  co_await WaitForRead(*aFirst, kHedgeDelay);
  if (aFirst->done) {
    co_return aFirst;
  }
  const auto hedge = StartHedge(aMakeCall);
  if (!hedge) {
    while (!aFirst->done) {
      co_await m_signal->Wait();
    }
    co_return aFirst;
  }
  const bool hedgeWon = co_await HedgeWins(aFirst, hedge, aAcceptHead);
  if (hedgeWon) {
    m_environment.metrics.Add(Counter::HedgeWon);
    aFirst->Abandon();
    co_return hedge;
  }
  hedge->Abandon();
  co_return aFirst;
}

auto HedgedReader::ReadHead(DispatchedCall& aDispatched,
                            const MakeCall& aMakeCall, std::error_code& aError)
  -> awaitable<target::TargetHead>
{
  const bool hasInactivityHandler =
    m_inactivityTimeout != Clock::duration::max();
  if (!CanHedge() && !hasInactivityHandler) {
    co_return co_await aDispatched.connection->ReadHead(aError);
  }
  const auto first =
    std::make_shared<PendingRead>(std::move(aDispatched), m_signal);
  Spawn(m_environment.context, "read-head", RunHeadRead(first));
  if (!CanHedge()) {
    co_await WaitAndReportInactivity(*first);
    aDispatched = std::move(first->dispatched);
    aError = first->error;
    co_return first->head;
  }
  const AcceptHead acceptAny = [](const target::TargetHead&) { return true; };
  const auto winner = co_await ReadWithHedge(first, aMakeCall, acceptAny);
  aDispatched = std::move(winner->dispatched);
  aError = winner->error;
  co_return winner->head;
}

auto HedgedReader::ReadSome(DispatchedCall& aDispatched, char* aData,
                            std::size_t aSize, const MakeCall& aMakeCall,
                            const AcceptHead& aAcceptHead,
                            std::error_code& aError) -> awaitable<BodyRead>
{
  if (!CanHedge()) {
    const auto size =
      co_await aDispatched.connection->ReadSome(aData, aSize, aError);
    co_return BodyRead{ size, std::nullopt };
  }
  const auto first =
    std::make_shared<PendingRead>(std::move(aDispatched), m_signal);
  first->buffer = std::move(m_buffer);
  first->buffer.resize(aSize);
  Spawn(m_environment.context, "read-body", RunBodyRead(first));
  const auto winner = co_await ReadWithHedge(first, aMakeCall, aAcceptHead);
  aDispatched = std::move(winner->dispatched);
  aError = winner->error;
  if (winner != first) {
    co_return BodyRead{ 0, winner->head };
  }
  std::memcpy(aData, winner->buffer.data(), winner->size);
  m_buffer = std::move(winner->buffer);
  co_return BodyRead{ winner->size, std::nullopt };
}

} // namespace bramleylock::flow
