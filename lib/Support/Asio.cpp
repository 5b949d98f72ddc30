// Helpers over Boost.Asio: sleeping, starting tasks, addresses, wake-ups.

#include "bramleylock/Support/Asio.h"

#include "bramleylock/Support/Log.h"

#include <charconv>

namespace bramleylock {

auto Sleep(std::chrono::nanoseconds aDuration) -> awaitable<void>
{
  auto executor = co_await asio::this_coro::executor;
  asio::steady_timer timer(executor);
  timer.expires_after(aDuration);
  boost::system::error_code ignored;
  co_await timer.async_wait(Into(ignored));
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

template<typename Endpoint>
static auto ParseEndpoint(const std::string& aText, std::error_code& aError)
  -> Endpoint
{
  aError = std::make_error_code(std::errc::invalid_argument);
  const auto colon = aText.rfind(':');
  if (colon == std::string::npos) {
    return {};
  }
  boost::system::error_code failure;
  auto address = asio::ip::make_address(aText.substr(0, colon), failure);
  std::uint16_t port = 0;
  const char* last = aText.data() + aText.size();
  auto parsed = std::from_chars(aText.data() + colon + 1, last, port);
  if (failure || parsed.ec != std::errc{} || parsed.ptr != last) {
    return {};
  }
  aError.clear();
  return { address, port };
}

auto ParseTcpEndpoint(const std::string& aText, std::error_code& aError)
  -> Tcp::endpoint
{
  return ParseEndpoint<Tcp::endpoint>(aText, aError);
}

auto ParseUdpEndpoint(const std::string& aText, std::error_code& aError)
  -> Udp::endpoint
{
  return ParseEndpoint<Udp::endpoint>(aText, aError);
}

auto FormatEndpoint(const asio::ip::address& aAddress, std::uint16_t aPort)
  -> std::string
{
  return aAddress.to_string() + ":" + std::to_string(aPort);
}

Signal::Signal(asio::io_context& aContext)
  : m_timer(aContext)
{
}

auto Signal::WaitUntil(Clock::time_point aDeadline) -> awaitable<void>
{
  // The timer is shared by all waiters and holds the earliest deadline, so a
  // waiter may wake early; every caller waits in a loop over its condition.
  if (m_timer.expiry() > aDeadline || m_timer.expiry() <= Clock::now()) {
    m_timer.expires_at(aDeadline);
  }
  boost::system::error_code ignored;
  co_await m_timer.async_wait(Into(ignored));
}

auto Signal::Wait() -> awaitable<void>
{
  if (m_timer.expiry() <= Clock::now()) {
    m_timer.expires_at(Clock::time_point::max());
  }
  boost::system::error_code ignored;
  co_await m_timer.async_wait(Into(ignored));
}

auto Signal::Notify() -> void
{
  m_timer.cancel();
}

} // namespace bramleylock
