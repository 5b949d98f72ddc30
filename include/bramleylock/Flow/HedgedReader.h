// Reads answers from targets and hedges requests to unresponsive ones.
#pragma once

#include <functional>
#include <optional>
#include <set>
#include <string>

#include "bramleylock/Flow/FlowTable.h"

namespace bramleylock::flow {

/// One call that was dispatched to one target.
struct DispatchedCall
{
  std::shared_ptr<target::Target> target;
  std::shared_ptr<target::TargetConnection> connection;
  target::InFlightGuard inFlight;
};

/// The result of reading from an answer's body.
struct BodyRead
{
  /// Bytes read; 0 at the end of the body.
  std::size_t size = 0;
  /// The head of the hedge's answer, set if that answer replaces the first one.
  /// No bytes were read then.
  std::optional<target::TargetHead> replacementHead;
};

/// Reads one answer. If a repeatable call receives no bytes for a while, a
/// hedge is sent: the same call to a second target, with the first one kept
/// open. The first of the two to receive bytes is continued and the other one
/// closed. Hedging avoids having to decide whether a silent target is
/// unreachable or is only taking long.
class HedgedReader
{
public:
  /// Makes a call that continues the answer from the current position.
  using MakeCall = std::function<target::TargetCall()>;
  /// Whether an answer with this head can continue the current answer.
  using AcceptHead = std::function<bool(const target::TargetHead&)>;
  /// Called once if a call that cannot be hedged has received no bytes of the
  /// answer's head within the inactivity timeout. The call continues.
  using OnInactive = std::function<void()>;

  /// The address of a hedge's target is added to aTried. The referenced objects
  /// must outlive the reader.
  HedgedReader(Environment& aEnvironment, const Exchange& aExchange,
               const std::string& aService, std::set<std::string>& aTried);

  /// Sets the inactivity timeout of calls that cannot be hedged, and the
  /// callback for its expiry.
  auto SetInactivityHandler(Clock::duration aInactivityTimeout,
                            OnInactive aOnInactive) -> void;

  /// Reads the head of the answer to aDispatched. If a hedge was faster,
  /// aDispatched is replaced by it.
  auto ReadHead(DispatchedCall& aDispatched, const MakeCall& aMakeCall,
                std::error_code& aError) -> awaitable<target::TargetHead>;

  /// Reads up to aSize bytes of the body of the answer to aDispatched. If a
  /// hedge was faster, aDispatched is replaced by it.
  auto ReadSome(DispatchedCall& aDispatched, char* aData, std::size_t aSize,
                const MakeCall& aMakeCall, const AcceptHead& aAcceptHead,
                std::error_code& aError) -> awaitable<BodyRead>;

private:
  struct PendingRead;

  auto CanHedge() const -> bool;
  static auto RunHeadRead(std::shared_ptr<PendingRead> aRead)
    -> awaitable<void>;
  static auto RunBodyRead(std::shared_ptr<PendingRead> aRead)
    -> awaitable<void>;
  static auto RunHedge(Environment& aEnvironment,
                       std::shared_ptr<PendingRead> aRead,
                       target::TargetCall aCall) -> awaitable<void>;
  auto StartHedge(const MakeCall& aMakeCall) -> std::shared_ptr<PendingRead>;
  auto WaitForRead(PendingRead& aRead, Clock::duration aTimeout)
    -> awaitable<void>;
  auto WaitAndReportInactivity(PendingRead& aRead) -> awaitable<void>;
  auto HedgeWins(std::shared_ptr<PendingRead> aFirst,
                 std::shared_ptr<PendingRead> aHedge,
                 const AcceptHead& aAcceptHead) -> awaitable<bool>;
  auto ReadWithHedge(std::shared_ptr<PendingRead> aFirst,
                     const MakeCall& aMakeCall, const AcceptHead& aAcceptHead)
    -> awaitable<std::shared_ptr<PendingRead>>;

  Environment& m_environment;
  const Exchange& m_exchange;
  const std::string& m_service;
  std::set<std::string>& m_tried;
  std::shared_ptr<ConditionVariable> m_signal;
  Clock::duration m_inactivityTimeout = Clock::duration::max();
  OnInactive m_onInactive;
  /// The read buffer, reused between reads of the body.
  std::string m_buffer;
};

} // namespace bramleylock::flow
