// The race between a call that shows no byte and a second one.

#include "bramleylock/Flow/HedgedReader.h"

#include <cstring>

namespace bramleylock::flow {

using target::TargetOutcome;

/// How long a call may show no byte before a second one is sent.
static constexpr Milliseconds kQuiet{ 1000 };

/// How recently the second call's connection must have worked. Always probing
/// is cheap here, and the second must not meet what the first met.
static constexpr Milliseconds kProvenForRival{ 0 };

/// One read in progress; shared with the coroutine that performs it.
struct HedgedReader::Reading
{
  Reading(Leg aLeg, std::shared_ptr<ConditionVariable> aSignal)
    : leg(std::move(aLeg))
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
    if (leg.connection) {
      leg.connection->Close();
    }
  }

  Leg leg;
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

auto HedgedReader::Hedgeable() const -> bool
{
  return m_exchange.work.execution == lists::Execution::Repeatable;
}

auto HedgedReader::PullHead(std::shared_ptr<Reading> aReading)
  -> awaitable<void>
{
  aReading->head = co_await aReading->leg.connection->ReadHead(aReading->error);
  aReading->Finish();
}

auto HedgedReader::PullBody(std::shared_ptr<Reading> aReading)
  -> awaitable<void>
{
  aReading->size = co_await aReading->leg.connection->ReadSome(
    aReading->buffer.data(), aReading->buffer.size(), aReading->error);
  aReading->Finish();
}

auto HedgedReader::RunRival(Environment& aEnvironment,
                            std::shared_ptr<Reading> aReading,
                            target::TargetCall aCall) -> awaitable<void>
{
  auto connection = co_await aEnvironment.targets.Connect(
    aReading->leg.target, kProvenForRival, aReading->error);
  if (aReading->error) {
    aEnvironment.targets.Report(aReading->leg.target,
                                TargetOutcome::ConnectFailed);
    aReading->Finish();
    co_return;
  }
  if (aReading->abandoned) {
    aReading->Finish();
    co_return;
  }
  aReading->leg.connection = std::move(connection);
  co_await aReading->leg.connection->Send(aCall, aReading->error);
  if (!aReading->error) {
    aReading->head =
      co_await aReading->leg.connection->ReadHead(aReading->error);
  }
  aReading->Finish();
}

auto HedgedReader::StartRival(const MakeCall& aMakeCall)
  -> std::shared_ptr<Reading>
{
  auto other = m_environment.targets.Choose(m_service, m_tried);
  if (!other || !m_environment.targets.TakeHedge()) {
    return nullptr;
  }
  m_tried.insert(other->address);
  m_environment.metrics.Add(Counter::HedgeSent);
  Leg leg{ other, nullptr, target::InFlight(other) };
  auto rival = std::make_shared<Reading>(std::move(leg), m_signal);
  Spawn(m_environment.context, "hedge",
        RunRival(m_environment, rival, aMakeCall()));
  return rival;
}

/// Waits until aReading is done, for aLongest at most.
auto HedgedReader::WaitFor(Reading& aReading, Clock::duration aLongest)
  -> awaitable<void>
{
  const auto until = Clock::now() + aLongest;
  while (!aReading.done && Clock::now() < until) {
    co_await m_signal->WaitUntil(until);
  }
}

auto HedgedReader::WatchOverdue(Clock::duration aAfter, OnOverdue aOnOverdue)
  -> void
{
  m_overdueAfter = aAfter;
  m_onOverdue = std::move(aOnOverdue);
}

/// Waits until aReading is done, however long it takes.
auto HedgedReader::AwaitOverdue(Reading& aReading) -> awaitable<void>
{
  co_await WaitFor(aReading, m_overdueAfter);
  if (aReading.done) {
    co_return;
  }
  m_onOverdue();
  while (!aReading.done) {
    co_await m_signal->Wait();
  }
}

/// Whether the rival won. The first is not cut before that.
auto HedgedReader::Race(std::shared_ptr<Reading> aFirst,
                        std::shared_ptr<Reading> aRival, const Accept& aAccept)
  -> awaitable<bool>
{
  for (;;) {
    const bool firstGood = aFirst->done && !aFirst->error;
    if (firstGood || (aFirst->done && m_exchange.cancelled)) {
      co_return false;
    }
    const bool rivalGood = aRival->done && !aRival->error &&
                           !aRival->abandoned && !aRival->head.notRun &&
                           aAccept(aRival->head);
    if (rivalGood) {
      co_return true;
    }
    if (aFirst->done && aRival->done) {
      co_return false;
    }
    co_await m_signal->Wait();
  }
}

auto HedgedReader::Decide(std::shared_ptr<Reading> aFirst,
                          const MakeCall& aMakeCall, const Accept& aAccept)
  -> awaitable<std::shared_ptr<Reading>>
{
  co_await WaitFor(*aFirst, kQuiet);
  if (aFirst->done) {
    co_return aFirst;
  }
  const auto rival = StartRival(aMakeCall);
  if (!rival) {
    while (!aFirst->done) {
      co_await m_signal->Wait();
    }
    co_return aFirst;
  }
  const bool rivalWon = co_await Race(aFirst, rival, aAccept);
  if (rivalWon) {
    m_environment.metrics.Add(Counter::HedgeWon);
    aFirst->Abandon();
    co_return rival;
  }
  rival->Abandon();
  co_return aFirst;
}

auto HedgedReader::ReadHead(Leg& aLeg, const MakeCall& aMakeCall,
                            std::error_code& aError)
  -> awaitable<target::TargetHead>
{
  const bool watched = m_overdueAfter != Clock::duration::max();
  if (!Hedgeable() && !watched) {
    co_return co_await aLeg.connection->ReadHead(aError);
  }
  const auto first = std::make_shared<Reading>(std::move(aLeg), m_signal);
  Spawn(m_environment.context, "read-head", PullHead(first));
  if (!Hedgeable()) {
    co_await AwaitOverdue(*first);
    aLeg = std::move(first->leg);
    aError = first->error;
    co_return first->head;
  }
  const Accept any = [](const target::TargetHead&) { return true; };
  const auto winner = co_await Decide(first, aMakeCall, any);
  aLeg = std::move(winner->leg);
  aError = winner->error;
  co_return winner->head;
}

auto HedgedReader::ReadSome(Leg& aLeg, char* aData, std::size_t aSize,
                            const MakeCall& aMakeCall, const Accept& aAccept,
                            std::error_code& aError) -> awaitable<BodyRead>
{
  if (!Hedgeable()) {
    const auto size = co_await aLeg.connection->ReadSome(aData, aSize, aError);
    co_return BodyRead{ size, std::nullopt };
  }
  const auto first = std::make_shared<Reading>(std::move(aLeg), m_signal);
  first->buffer = std::move(m_buffer);
  first->buffer.resize(aSize);
  Spawn(m_environment.context, "read-body", PullBody(first));
  const auto winner = co_await Decide(first, aMakeCall, aAccept);
  aLeg = std::move(winner->leg);
  aError = winner->error;
  if (winner != first) {
    co_return BodyRead{ 0, winner->head };
  }
  std::memcpy(aData, winner->buffer.data(), winner->size);
  m_buffer = std::move(winner->buffer);
  co_return BodyRead{ winner->size, std::nullopt };
}

} // namespace bramleylock::flow
