// Mock platform store whose calls wait until the test completes them.
#pragma once

#include "bramleylock/Lists/PlatformStore.h"

#include <boost/asio/steady_timer.hpp>

#include <list>

namespace bramleylock::lists {

/// Outcome of a call that the test completes.
enum class CallFate
{
  Answered,
  /// The write takes effect, but its answer is lost.
  AnswerLost,
  /// The call never reaches the store.
  NotArrived
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
    CallFate fate = CallFate::Answered;
  };

  explicit MockStore(asio::io_context& aContext)
    : m_context(aContext)
  {
  }

  auto Get(std::string, std::error_code& aError)
    -> awaitable<StoredValue> override
  {
    ++reads;
    const auto fate = co_await Arrive(false);
    if (fate == CallFate::NotArrived) {
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
    ++writes;
    const auto fate = co_await Arrive(true);
    if (fate == CallFate::NotArrived) {
      aError = StoreError::OutcomeUnknown;
      co_return 0;
    }
    if (stored.revision != aExpected) {
      aError = fate == CallFate::AnswerLost ? StoreError::OutcomeUnknown
                                            : StoreError::Conflict;
      co_return 0;
    }
    stored = { std::move(aValue), stored.revision + 1 };
    written.push_back(stored.value);
    if (fate == CallFate::AnswerLost) {
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
  auto Release(std::size_t aIndex, CallFate aFate) -> void
  {
    auto position = waiting.begin();
    std::advance(position, aIndex);
    const auto call = *position;
    waiting.erase(position);
    call->fate = aFate;
    call->timer.cancel();
  }

  StoredValue stored;
  std::vector<std::string> written;
  /// Number of calls of Get and Watch.
  std::size_t reads = 0;
  /// Number of calls of CompareAndSwap.
  std::size_t writes = 0;
  std::list<Call*> waiting;
  /// Whether calls complete at once with the outcome Answered.
  bool open = false;

private:
  auto Arrive(bool aWrite) -> awaitable<CallFate>
  {
    if (open) {
      co_return CallFate::Answered;
    }
    Call call(m_context);
    call.write = aWrite;
    waiting.push_back(&call);
    boost::system::error_code cancelled;
    co_await call.timer.async_wait(RedirectError(cancelled));
    co_return call.fate;
  }

  asio::io_context& m_context;
};

} // namespace bramleylock::lists
