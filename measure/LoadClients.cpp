// The clients of the load model: when they send, resend, retry and give up.

#include "measure/LoadModel.h"

#include "measure/PlainPackets.h"

#include <random>

namespace bramleylock::forward {

/// The platform's clients resend data after this time, which doubles with each
/// resend up to kMaxResendDelay.
static constexpr Milliseconds kResendDelay{ 200 };
static constexpr Milliseconds kMaxResendDelay{ 1600 };

static constexpr std::uint32_t kAnswerBytes = 1000;

/// When the burst begins and ends, from the start of the load.
static constexpr Milliseconds kBurstBegin{ 3000 };
static constexpr Milliseconds kBurstEnd{ 9000 };

auto LoadModel::RandomDelay(double aMeanMs) -> std::chrono::nanoseconds
{
  std::exponential_distribution<double> pause(1 / aMeanMs);
  return std::chrono::nanoseconds(static_cast<long>(pause(m_random) * 1e6));
}

auto LoadModel::SendNextRequest() -> void
{
  if (m_now < m_start + m_options.length) {
    const auto rate =
      m_options.requestsPerSecond *
      (IsBetween(kBurstBegin, kBurstEnd) ? m_options.burstFactor : 1);
    ScheduleAfter(RandomDelay(1000 / rate), [this] { SendNextRequest(); });
    m_requests.push_back({ m_now });
    StartAttempt(m_requests.size() - 1);
  }
}

/// Sends a user's next request, in its open flow or in a new one.
auto LoadModel::SendNextUserRequest(std::size_t aUser) -> void
{
  if (m_now >= m_start + m_options.length) {
    return;
  }
  m_requests.push_back({ m_now, aUser });
  const auto request = m_requests.size() - 1;
  const auto port = m_userPorts[aUser];
  if (port == 0) {
    StartAttempt(request);
    return;
  }
  auto& flow = m_flows[port];
  flow.request = request;
  ++flow.sequence;
  m_requests[request].port = port;
  m_requests[request].attempts = 1;
  SendRequest(port, kResendDelay);
}

auto LoadModel::StartAttempt(std::size_t aRequest) -> void
{
  auto& request = m_requests[aRequest];
  // Port 0 stands for no port.
  m_port = static_cast<std::uint16_t>(m_port == 65535 ? 1 : m_port + 1);
  const auto port = m_port;
  request.port = port;
  ++request.attempts;
  m_flows[port] = {};
  m_flows[port].request = aRequest;
  SendOpening(port, 0);
  ScheduleAfter(Milliseconds(200), [=, this] { SendOpening(port, 1); });
  ScheduleAfter(Milliseconds(600), [=, this] { SendOpening(port, 2); });
  ScheduleAfter(Milliseconds(1400), [=, this] {
    if (m_flows[port].request == aRequest && !m_flows[port].open) {
      OnAttemptFailed(port);
    }
  });
}

auto LoadModel::SendOpening(std::uint16_t aPort, int aCopy) -> void
{
  const auto& flow = m_flows[aPort];
  const auto& request = m_requests[flow.request];
  if (request.ended || flow.open || request.port != aPort) {
    return;
  }
  auto opening = OpeningOf(aPort);
  opening.acknowledgement = static_cast<std::uint32_t>(aCopy);
  SendToBalancer(opening);
}

auto LoadModel::OnOpened(std::uint16_t aPort, TargetTag aTag) -> void
{
  auto& flow = m_flows[aPort];
  const auto& request = m_requests[flow.request];
  if (request.ended || flow.open || request.port != aPort) {
    return;
  }
  flow.open = true;
  flow.tag = aTag;
  ++flow.sequence;
  SendRequest(aPort, kResendDelay);
}

/// Sends the request of a flow and resends it until its target has received it.
auto LoadModel::SendRequest(std::uint16_t aPort, Milliseconds aResendDelay)
  -> void
{
  const auto& flow = m_flows[aPort];
  const auto request = flow.request;
  auto requestPacket =
    MakeFollowing(OpeningOf(aPort), flow.tag, flow.acknowledged);
  requestPacket.sequence = flow.sequence;
  requestPacket.carriesData = true;
  SendToBalancer(requestPacket);
  ScheduleAfter(aResendDelay, [=, this] {
    const auto& sent = m_flows[aPort];
    if (m_requests[request].ended || sent.request != request ||
        m_requests[request].port != aPort || sent.received >= sent.sequence) {
      return;
    }
    if (m_now - m_requests[request].sentAt > m_options.deadline) {
      EndRequest(request);
      return;
    }
    SendRequest(aPort, std::min(2 * aResendDelay, kMaxResendDelay));
  });
}

auto LoadModel::OnAnswered(std::uint16_t aPort, const std::string& aTarget,
                           bool aCloses) -> void
{
  auto& flow = m_flows[aPort];
  auto& request = m_requests[flow.request];
  if (!request.ended && request.port == aPort) {
    const auto took = m_now - request.sentAt;
    m_result.answerTimes.push_back(took);
    request.onTime = took <= m_options.onTimeLimit;
    m_result.onTime += request.onTime ? 1 : 0;
    m_result.late += request.onTime ? 0 : 1;
    ++m_result.answersByTarget[aTarget];
    if (request.user != kNoUser) {
      m_userPorts[request.user] = aCloses ? 0 : aPort;
    }
    EndRequest(flow.request);
  }
  flow.acknowledged += kAnswerBytes;
  flow.tag = flow.targetTag;
  auto answer = MakeFollowing(OpeningOf(aPort), flow.tag, flow.acknowledged);
  answer.sequence = flow.sequence + 1;
  answer.ends = request.user == kNoUser || aCloses;
  SendToBalancer(answer);
}

auto LoadModel::EndRequest(std::size_t aRequest) -> void
{
  auto& request = m_requests[aRequest];
  request.ended = true;
  if (request.user != kNoUser) {
    ScheduleAfter(
      RandomDelay(static_cast<double>(m_options.meanThinkTime.count())),
      [this, user = request.user] { SendNextUserRequest(user); });
  }
}

auto LoadModel::OnAttemptFailed(std::uint16_t aPort) -> void
{
  const auto index = m_flows[aPort].request;
  auto& request = m_requests[index];
  if (request.ended || request.port != aPort) {
    return;
  }
  if (request.user != kNoUser) {
    m_userPorts[request.user] = 0;
  }
  if (request.attempts > kRetries ||
      m_now - request.sentAt > m_options.deadline) {
    EndRequest(index);
    return;
  }
  StartAttempt(index);
}

} // namespace bramleylock::forward
