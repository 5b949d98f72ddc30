// Mock platform store whose calls wait until the test completes them.
#pragma once

#include "bramleylock/Lists/PlatformStore.h"

#include <boost/asio/steady_timer.hpp>

#include <list>

namespace bramleylock::lists {

/// Outcome of a call that the test completes.
enum class CallResult
{
  Answered,
  /// The write takes effect, but its answer is lost.
  AnswerLost,
  /// The call never reaches the store.
  NotDelivered
};

class MockStore : public PlatformStore
{
public:
  struct Call
  {
    explicit Call(asio::io_context& aContext)
      : timer(aContext, Clock::time_point::max())
    {
    }
    asio::steady_timer timer;
    bool write = false;
    CallResult callResult = CallResult::Answered;
  };

  explicit MockStore(asio::io_context& aContext)
    : m_context(aContext)
  {
  }

  auto Get(std::string, std::error_code& aError)
    -> awaitable<StoredValue> override
  {
    ++readCalls;
    const auto callResult = co_await AwaitCompletion(false);
    if (callResult == CallResult::NotDelivered) {
      aError = StoreError::Unavailable;
      co_return StoredValue{};
    }
    if (stored.revision == 0) {
      aError = StoreError::NotFound;
      co_return StoredValue{};
    }
    aError.clear();
    co_return stored;
  }

  auto CompareAndSwap(std::string, std::uint64_t aExpected, std::string aValue,
                      std::error_code& aError)
    -> awaitable<std::uint64_t> override
  {
    ++writeCalls;
    const auto callResult = co_await AwaitCompletion(true);
    if (callResult == CallResult::NotDelivered) {
      aError = StoreError::OutcomeUnknown;
      co_return 0;
    }
    if (stored.revision != aExpected) {
      aError = callResult == CallResult::AnswerLost ? StoreError::OutcomeUnknown
                                                    : StoreError::Conflict;
      co_return 0;
    }
    stored = { std::move(aValue), stored.revision + 1 };
    writtenValues.push_back(stored.value);
    if (callResult == CallResult::AnswerLost) {
      aError = StoreError::OutcomeUnknown;
      co_return 0;
    }
    aError.clear();
    co_return stored.revision;
  }

  auto Watch(std::string aKey, std::uint64_t, Milliseconds,
             std::error_code& aError) -> awaitable<StoredValue> override
  {
    co_return co_await Get(std::move(aKey), aError);
  }

  auto ListVms(std::error_code&) -> awaitable<std::vector<PlatformVm>> override
  {
    co_return std::vector<PlatformVm>{};
  }

  /// Completes one waiting call with aFate.
  auto Complete(std::size_t aIndex, CallResult aCallResult) -> void
  {
    auto position = pendingCalls.begin();
    std::advance(position, aIndex);
    const auto call = *position;
    pendingCalls.erase(position);
    call->callResult = aCallResult;
    call->timer.cancel();
  }

  StoredValue stored;
  std::vector<std::string> writtenValues;
  /// Number of calls of Get and Watch.
  std::size_t readCalls = 0;
  /// Number of calls of CompareAndSwap.
  std::size_t writeCalls = 0;
  std::list<Call*> pendingCalls;
  /// Whether calls complete at once with the outcome Answered.
  bool completeImmediately = false;

private:
  auto AwaitCompletion(bool aWrite) -> awaitable<CallResult>
  {
    if (completeImmediately) {
      co_return CallResult::Answered;
    }
    Call call(m_context);
    call.write = aWrite;
    pendingCalls.push_back(&call);
    boost::system::error_code cancelled;
    co_await call.timer.async_wait(RedirectError(cancelled));
    co_return call.callResult;
  }

  asio::io_context& m_context;
};

} // namespace bramleylock::lists
