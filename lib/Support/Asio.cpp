// Coroutine helpers over Boost.Asio: sleeping, spawning, condition variables.

#include "bramleylock/Support/Asio.h"

#include "bramleylock/Support/Log.h"

#include <ctime>

namespace bramleylock {

auto BootTime() -> std::chrono::nanoseconds
{
  timespec now{};
  ::clock_gettime(CLOCK_BOOTTIME, &now);
  return std::chrono::seconds(now.tv_sec) +
         std::chrono::nanoseconds(now.tv_nsec);
}

auto Sleep(std::chrono::nanoseconds aDuration) -> awaitable<void>
{
  auto executor = co_await asio::this_coro::executor;
  asio::steady_timer timer(executor);
  timer.expires_after(aDuration);
  boost::system::error_code ignored;
  co_await timer.async_wait(RedirectError(ignored));
}

auto Spawn(asio::io_context& aContext, const char* aName, awaitable<void> aTask)
  -> void
{
  auto report = [aName](const std::exception_ptr& aFailure) {
    if (!aFailure) {
      return;
    }
    try {
      std::rethrow_exception(aFailure);
    } catch (const std::exception& failure) {
      LogError("task-failed", { { "task", aName }, { "why", failure.what() } });
    }
  };
  asio::co_spawn(aContext, std::move(aTask), report);
}

ConditionVariable::ConditionVariable(asio::io_context& aContext)
  : m_timer(aContext)
{
}

auto ConditionVariable::WaitUntil(Clock::time_point aDeadline)
  -> awaitable<void>
{
  // All waiters share one timer, which expires at the earliest deadline.
  // Setting a new expiry wakes the waiters, so a waiter may wake before its own
  // deadline; every caller checks its condition in a loop.
  if (m_timer.expiry() > aDeadline || m_timer.expiry() <= Clock::now()) {
    m_timer.expires_at(aDeadline);
  }
  boost::system::error_code ignored;
  co_await m_timer.async_wait(RedirectError(ignored));
}

auto ConditionVariable::Wait() -> awaitable<void>
{
  if (m_timer.expiry() <= Clock::now()) {
    m_timer.expires_at(Clock::time_point::max());
  }
  boost::system::error_code ignored;
  co_await m_timer.async_wait(RedirectError(ignored));
}

auto ConditionVariable::NotifyAll() -> void
{
  m_timer.cancel();
}

} // namespace bramleylock
