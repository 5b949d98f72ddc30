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

auto LoadModel::PauseOf(double aMeanMs) -> std::chrono::nanoseconds
{
  std::exponential_distribution<double> pause(1 / aMeanMs);
  return std::chrono::nanoseconds(static_cast<long>(pause(m_random) * 1e6));
}

auto LoadModel::Ask() -> void
{
  if (m_now < m_start + m_options.length) {
    In(PauseOf(1000 / m_options.requestsPerSecond), [this] { Ask(); });
    m_requests.push_back({ m_now });
    Try(m_requests.size() - 1);
  }
}

/// Sends a user's next request, in its open flow or in a new one.
auto LoadModel::AskAgain(std::size_t aUser) -> void
{
  if (m_now >= m_start + m_options.length) {
    return;
  }
  m_requests.push_back({ m_now, aUser });
  const auto request = m_requests.size() - 1;
  const auto port = m_userPorts[aUser];
  if (port == 0) {
    Try(request);
    return;
  }
  auto& flow = m_flows[port];
  flow.request = request;
  ++flow.sequence;
  m_requests[request].port = port;
  m_requests[request].tries = 1;
  SendRequest(port, kResendDelay);
}

auto LoadModel::Try(std::size_t aRequest) -> void
{
  auto& request = m_requests[aRequest];
  // Port 0 stands for no port.
  m_port = static_cast<std::uint16_t>(m_port == 65535 ? 1 : m_port + 1);
  const auto port = m_port;
  request.port = port;
  ++request.tries;
  m_flows[port] = {};
  m_flows[port].request = aRequest;
  SendOpening(port, 0);
  In(Milliseconds(200), [=, this] { SendOpening(port, 1); });
  In(Milliseconds(600), [=, this] { SendOpening(port, 2); });
  In(Milliseconds(1400), [=, this] {
    if (m_flows[port].request == aRequest && !m_flows[port].open) {
      Failed(port);
    }
  });
}

auto LoadModel::SendOpening(std::uint16_t aPort, int aCopy) -> void
{
  const auto& flow = m_flows[aPort];
  const auto& request = m_requests[flow.request];
  if (request.over || flow.open || request.port != aPort) {
    return;
  }
  auto opening = MakeOpening(aPort, kModelService);
  opening.acknowledgement = static_cast<std::uint32_t>(aCopy);
  Deliver(opening);
}

auto LoadModel::Opened(std::uint16_t aPort, TargetTag aTag) -> void
{
  auto& flow = m_flows[aPort];
  const auto& request = m_requests[flow.request];
  if (request.over || flow.open || request.port != aPort) {
    return;
  }
  flow.open = true;
  flow.tag = aTag;
  ++flow.sequence;
  SendRequest(aPort, kResendDelay);
}

/// Sends the request of a flow and resends it until its target has received it.
auto LoadModel::SendRequest(std::uint16_t aPort, Milliseconds aRepeatAfter)
  -> void
{
  const auto& flow = m_flows[aPort];
  const auto request = flow.request;
  auto asking = MakeFollowing(MakeOpening(aPort, kModelService), flow.tag,
                              flow.acknowledged);
  asking.sequence = flow.sequence;
  asking.carriesData = true;
  Deliver(asking);
  In(aRepeatAfter, [=, this] {
    const auto& sent = m_flows[aPort];
    if (m_requests[request].over || sent.request != request ||
        m_requests[request].port != aPort || sent.received >= sent.sequence) {
      return;
    }
    if (m_now - m_requests[request].asked > m_options.deadline) {
      Over(request);
      return;
    }
    SendRequest(aPort, std::min(2 * aRepeatAfter, kMaxResendDelay));
  });
}

auto LoadModel::Answered(std::uint16_t aPort, const std::string& aTarget,
                         bool aCloses) -> void
{
  auto& flow = m_flows[aPort];
  auto& request = m_requests[flow.request];
  if (!request.over && request.port == aPort) {
    const auto took = m_now - request.asked;
    request.inAim = took <= m_options.aim;
    m_result.inAim += request.inAim ? 1 : 0;
    m_result.late += request.inAim ? 0 : 1;
    ++m_result.byTarget[aTarget];
    if (request.user != kNoUser) {
      m_userPorts[request.user] = aCloses ? 0 : aPort;
    }
    Over(flow.request);
  }
  flow.acknowledged += kAnswerBytes;
  auto answer = MakeFollowing(MakeOpening(aPort, kModelService), flow.tag,
                              flow.acknowledged);
  answer.sequence = flow.sequence + 1;
  answer.ends = request.user == kNoUser || aCloses;
  Deliver(answer);
}

auto LoadModel::Over(std::size_t aRequest) -> void
{
  auto& request = m_requests[aRequest];
  request.over = true;
  if (request.user != kNoUser) {
    In(PauseOf(static_cast<double>(m_options.meanPause.count())),
       [this, user = request.user] { AskAgain(user); });
  }
}

auto LoadModel::Failed(std::uint16_t aPort) -> void
{
  const auto index = m_flows[aPort].request;
  auto& request = m_requests[index];
  if (request.over || request.port != aPort) {
    return;
  }
  if (request.user != kNoUser) {
    m_userPorts[request.user] = 0;
  }
  if (request.tries > kRetries || m_now - request.asked > m_options.deadline) {
    Over(index);
    return;
  }
  Try(index);
}

} // namespace bramleylock::forward
