// Tests of the datagram socket with datagrams on loopback.

#include "bramleylock/Kernel/PacketSocket.h"

#include <criterion/criterion.h>

#include <thread>

using namespace bramleylock;
using namespace bramleylock::kernel;

static constexpr Milliseconds kWait{ 300 };

namespace {

struct TestSocket
{
  TestSocket()
    : socket(context, metrics)
  {
    std::error_code error;
    socket.Start(
      Udp::endpoint(asio::ip::address_v4::loopback(), 0), 65536,
      [this](char*, std::size_t, Clock::duration aAge, Clock::time_point) {
        ages.push_back(aAge);
      },
      [](Clock::time_point) {},
      [this](Clock::duration aPause, Clock::time_point) {
        pauses.push_back(aPause);
      },
      error);
    cr_assert(!error);
  }

  auto SendDatagram() -> void
  {
    std::error_code error;
    const auto address = ParseUdpEndpoint(socket.Address(), error);
    Udp::socket sender(context, Udp::endpoint(Udp::v4(), 0));
    sender.send_to(asio::buffer("datagram", 8), address);
  }

  asio::io_context context;
  Metrics metrics;
  std::vector<Clock::duration> ages;
  std::vector<Clock::duration> pauses;
  PacketSocket socket;
};

} // namespace

/// After a pause, an old datagram would pass for one that has just arrived.
Test(PacketSocket, DatagramThatWaitedInTheSocketHasItsAge)
{
  TestSocket test;
  test.SendDatagram();
  std::this_thread::sleep_for(kWait);
  test.socket.ReadPending();
  cr_assert_eq(test.ages.size(), 1);
  cr_assert(test.ages[0] >= kWait);
  cr_assert_eq(test.pauses.size(), 1);
  cr_assert(test.pauses[0] >= kWait);
}

Test(PacketSocket, DatagramThatHasJustArrivedHasNoAge)
{
  TestSocket test;
  std::this_thread::sleep_for(kWait);
  const auto sentAt = Clock::now();
  test.SendDatagram();
  test.socket.ReadPending();
  cr_assert_eq(test.ages.size(), 1);
  cr_assert(test.ages[0] <= Clock::now() - sentAt);
}
