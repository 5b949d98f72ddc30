// Shared Boost.Asio aliases and coroutine helpers.
#pragma once

// Asio 1.74 uses std::exchange without including <utility> itself.
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <chrono>
#include <functional>
#include <string>
#include <system_error>

namespace bramleylock {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using Udp = asio::ip::udp;
using boost::asio::awaitable;
using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

/// Converts aDuration to seconds, including the fractional part.
inline auto InSeconds(Clock::duration aDuration) -> double
{
  return std::chrono::duration<double>(aDuration).count();
}

/// Returns a coroutine completion token that stores the error in aError instead
/// of throwing.
inline auto RedirectError(boost::system::error_code& aError)
{
  return asio::redirect_error(asio::use_awaitable, aError);
}

/// Suspends the calling coroutine for aDuration.
auto Sleep(std::chrono::nanoseconds aDuration) -> awaitable<void>;

/// Starts aTask on aContext. An exception that escapes from the task is logged
/// under aName and ends only that task.
auto Spawn(asio::io_context& aContext, const char* aName, awaitable<void> aTask)
  -> void;

/// Parses "ip:port"; host names are not resolved.
auto ParseTcpEndpoint(const std::string& aText, std::error_code& aError)
  -> Tcp::endpoint;

/// Parses "ip:port"; host names are not resolved.
auto ParseUdpEndpoint(const std::string& aText, std::error_code& aError)
  -> Udp::endpoint;

/// Formats an endpoint as ParseTcpEndpoint and ParseUdpEndpoint accept it.
auto FormatEndpoint(const asio::ip::address& aAddress, std::uint16_t aPort)
  -> std::string;

/// Condition variable for coroutines that run on one thread. Waiters can wake
/// spuriously, so they check their condition in a loop.
class ConditionVariable
{
public:
  explicit ConditionVariable(asio::io_context& aContext);

  /// Waits for the next notification, at most until aDeadline.
  auto WaitUntil(Clock::time_point aDeadline) -> awaitable<void>;

  /// Waits for the next notification, without a time limit.
  auto Wait() -> awaitable<void>;

  /// Wakes all coroutines that are waiting at the time of the call.
  auto NotifyAll() -> void;

private:
  asio::steady_timer m_timer;
};

/// Returns the time since the machine was started, including the time in which
/// it was suspended. Clock does not advance while the machine is suspended.
auto BootTime() -> std::chrono::nanoseconds;

/// Formats the time from aSince to aNow in whole milliseconds, for log fields.
inline auto FormatElapsedMs(Clock::time_point aSince, Clock::time_point aNow)
  -> std::string
{
  return std::to_string(
    std::chrono::duration_cast<Milliseconds>(aNow - aSince).count());
}

} // namespace bramleylock
