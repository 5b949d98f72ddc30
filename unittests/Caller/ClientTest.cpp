// Tests a client whose request has reached two owners.

#include "bramleylock/Caller/Client.h"

#include "bramleylock/Wire/Packet.h"

#include <criterion/criterion.h>

using namespace bramleylock;
using namespace bramleylock::caller;

namespace {

/// Stands in for the balancers: receives requests and sends scripted packets to
/// the client.
class FakeBalancer
{
public:
  explicit FakeBalancer(asio::io_context& aContext)
    : socket(aContext, Udp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
  {
  }

  auto ReceiveRequest() -> awaitable<wire::Packet>
  {
    std::array<char, 2048> buffer;
    boost::system::error_code failure;
    const auto size = co_await socket.async_receive_from(
      asio::buffer(buffer), caller, RedirectError(failure));
    std::error_code error;
    auto packet = wire::Decode(buffer.data(), size, error);
    co_return packet;
  }

  auto Send(const wire::Packet& aPacket) -> void
  {
    socket.send_to(asio::buffer(wire::Encode(aPacket)), caller);
  }

  Udp::socket socket;
  Udp::endpoint caller;
};

auto MakePart(const wire::Packet& aRequest, const std::string& aToken,
              std::uint32_t aPart) -> wire::Packet
{
  wire::Packet packet;
  packet.type = wire::PacketType::Answer;
  packet.flow = aRequest.flow;
  packet.sequence = aRequest.sequence;
  packet.token = aToken;
  packet.code = 200;
  packet.answerTag = 7;
  packet.part = aPart;
  packet.parts = 2;
  packet.payload =
    aPart == 0 ? std::string(wire::kPartPayloadBytes, 'x') : "end";
  return packet;
}

auto CallOnce(Client& aClient, Flow& aFlow, CallResult& aResult)
  -> awaitable<void>
{
  CallOptions options;
  options.work = "proof";
  options.deadline = Milliseconds(5000);
  aResult = co_await aFlow.Call(options);
  aClient.Close();
}

/// Sends parts from two owners. The client cancels the request at the second
/// one, whose Unknown response must not end the call while the first one is
/// slow.
auto AnswerFromTwoOwners(FakeBalancer& aBalancer) -> awaitable<void>
{
  const auto request = co_await aBalancer.ReceiveRequest();
  aBalancer.Send(MakePart(request, "first", 0));
  aBalancer.Send(MakePart(request, "second", 0));
  co_await Sleep(Milliseconds(1500));
  auto cancelledResponse = MakePart(request, "second", 0);
  cancelledResponse.type = wire::PacketType::Unknown;
  cancelledResponse.code = static_cast<std::uint32_t>(wire::Reason::Cancelled);
  aBalancer.Send(cancelledResponse);
  co_await Sleep(Milliseconds(100));
  aBalancer.Send(MakePart(request, "first", 1));
}

} // namespace

Test(Client, ResponseOfCancelledOwnerDoesNotEndTheCall)
{
  asio::io_context context(1);
  FakeBalancer balancer(context);
  Client client(context, balancer.socket.local_endpoint());
  Flow flow(client, "proofs", "plan.secret");
  CallResult result;
  Spawn(context, "call", CallOnce(client, flow, result));
  Spawn(context, "answer", AnswerFromTwoOwners(balancer));
  context.run_for(std::chrono::seconds(8));
  cr_assert(result.outcome == CallOutcome::Answered);
  cr_assert(result.body == std::string(wire::kPartPayloadBytes, 'x') + "end");
}
