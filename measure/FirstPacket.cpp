// Scenario "first-packet": the caller of slow work receives the owner's
// acceptance before it would resend.

#include "measure/Scenario.h"

#include "bramleylock/Support/Random.h"

#include <fmt/format.h>

#include <optional>

namespace bramleylock::measure {

using wire::Packet;
using wire::PacketType;

/// Exceeds the time after which callers resend a request.
static constexpr int kWorkMs = 300;
static constexpr int kAnswerBytes = 40;
static constexpr std::chrono::seconds kReplyTimeout{ 10 };
static constexpr std::size_t kDatagramBytes = 65536;
static constexpr int kBalancers = 2;
static constexpr int kHosts = 2;

/// Sends one request without a token and does not resend it. Returns the first
/// packet received, or nullopt when none arrives within kReplyTimeout.
static auto FirstReply(const std::string& aServer,
                       const RequestProfile& aProfile, Random& aRandom)
  -> std::optional<Packet>
{
  Packet request;
  request.type = PacketType::Request;
  request.service = aProfile.service;
  request.credential = CredentialOf(aProfile.plan);
  request.work = aProfile.work;
  request.flow = aRandom();
  request.sequence = 1;
  request.deadlineMs = static_cast<std::uint32_t>(aProfile.deadlineMs);
  request.payload = fmt::format("id=first-{} ms={} bytes={}", aProfile.work,
                                kWorkMs, kAnswerBytes);
  asio::io_context context(1);
  Udp::socket socket(context, Udp::endpoint(Udp::v4(), 0));
  std::error_code error;
  socket.send_to(asio::buffer(wire::Encode(request)),
                 ParseUdpEndpoint(aServer, error));
  std::string data(kDatagramBytes, '\0');
  std::optional<Packet> reply;
  socket.async_receive(
    asio::buffer(data),
    [&](const boost::system::error_code& aFailure, std::size_t aSize) {
      if (!aFailure) {
        reply = wire::Decode(data.data(), aSize, error);
      }
    });
  context.run_for(kReplyTimeout);
  return reply;
}

namespace {

class FirstPacket : public Scenario
{
public:
  auto Summary() const -> std::string override
  {
    return "the caller of a slow request gets the owner's reply before it "
           "resends";
  }

  auto Run(const ScenarioOptions& aOptions, Report& aReport) -> void override
  {
    const auto& deployment = *aOptions.deployment;
    Cluster cluster(deployment, { aOptions.seed, {}, kBalancers, kHosts });
    cluster.Start();
    Random random(aOptions.seed);
    for (const auto* shape : { &deployment.reading, &deployment.bulk }) {
      const auto reply = FirstReply(cluster.CallerAddress(), *shape, random);
      const bool accepted =
        reply && reply->type == PacketType::Accepted && !reply->token.empty();
      aReport.Add(shape->work + "_first_reply",
                  reply
                    ? std::string(NameOf(wire::kPacketTypeNames, reply->type))
                    : "none");
      aReport.Require(shape->work + "_first_reply=accepted", accepted);
    }
  }
};

const Registration<ScenarioRegistry, FirstPacket> kRegistration("first-packet");

} // namespace

} // namespace bramleylock::measure
