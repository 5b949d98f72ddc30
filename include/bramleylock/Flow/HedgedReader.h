// Reading from a target that may have gone silent.
#pragma once

#include <functional>
#include <optional>
#include <set>
#include <string>

#include "bramleylock/Flow/FlowTable.h"

namespace bramleylock::flow {

/// One call dispatched to one target.
struct Leg
{
  std::shared_ptr<target::Target> target;
  std::shared_ptr<target::TargetConnection> connection;
  target::InFlight inFlight;
};

/// What reading the body gave.
struct BodyRead
{
  /// Bytes read; 0 at the end of the body.
  std::size_t size = 0;
  /// Set when another target's answer took over: its head. Nothing was read.
  std::optional<target::TargetHead> takenOver;
};

/// Reads one answer. When a repeatable call has shown no byte for a while, it
/// is sent to a second target, without cutting the first, and whichever shows
/// bytes first goes on. Silence alone does not tell a dead connection from a
/// long piece of work, and this way it need not.
class HedgedReader
{
public:
  /// Makes the call that continues the answer where it stands.
  using MakeCall = std::function<target::TargetCall()>;
  /// Whether an answer with this head can continue the present one.
  using Accept = std::function<bool(const target::TargetHead&)>;
  /// Told once when a call that cannot be sent again has shown no byte for too
  /// long; the call goes on.
  using OnOverdue = std::function<void()>;

  /// aTried gets the second target; all references outlive the reader.
  HedgedReader(Environment& aEnvironment, const Exchange& aExchange,
               const std::string& aService, std::set<std::string>& aTried);

  /// When to tell that a call is overdue, and whom.
  auto WatchOverdue(Clock::duration aAfter, OnOverdue aOnOverdue) -> void;

  /// Reads the head of aLeg's answer; aLeg is replaced when another target
  /// was faster.
  auto ReadHead(Leg& aLeg, const MakeCall& aMakeCall, std::error_code& aError)
    -> awaitable<target::TargetHead>;

  /// Reads up to aSize bytes of aLeg's body; aLeg is replaced when another
  /// target's answer takes over.
  auto ReadSome(Leg& aLeg, char* aData, std::size_t aSize,
                const MakeCall& aMakeCall, const Accept& aAccept,
                std::error_code& aError) -> awaitable<BodyRead>;

private:
  struct Reading;

  auto Hedgeable() const -> bool;
  static auto PullHead(std::shared_ptr<Reading> aReading) -> awaitable<void>;
  static auto PullBody(std::shared_ptr<Reading> aReading) -> awaitable<void>;
  static auto RunRival(Environment& aEnvironment,
                       std::shared_ptr<Reading> aReading,
                       target::TargetCall aCall) -> awaitable<void>;
  auto StartRival(const MakeCall& aMakeCall) -> std::shared_ptr<Reading>;
  auto WaitFor(Reading& aReading, Clock::duration aLongest) -> awaitable<void>;
  auto AwaitOverdue(Reading& aReading) -> awaitable<void>;
  auto Race(std::shared_ptr<Reading> aFirst, std::shared_ptr<Reading> aRival,
            const Accept& aAccept) -> awaitable<bool>;
  auto Decide(std::shared_ptr<Reading> aFirst, const MakeCall& aMakeCall,
              const Accept& aAccept) -> awaitable<std::shared_ptr<Reading>>;

  Environment& m_environment;
  const Exchange& m_exchange;
  const std::string& m_service;
  std::set<std::string>& m_tried;
  std::shared_ptr<ConditionVariable> m_signal;
  Clock::duration m_overdueAfter = Clock::duration::max();
  OnOverdue m_onOverdue;
  /// Kept between reads of the body.
  std::string m_buffer;
};

} // namespace bramleylock::flow
