// Admission policy "fair": one weighted fair queue for each service.

#include "bramleylock/Admission/FairQueue.h"

namespace bramleylock::admission {

namespace {

class FairAdmission : public AdmissionPolicy
{
public:
  explicit FairAdmission(asio::io_context& aContext)
    : m_context(aContext)
  {
  }

  auto CheckEarly(const AdmissionRequest& aRequest) -> Refusal override
  {
    return QueueOf(aRequest.service)->CheckEarly(aRequest, Clock::now());
  }

  auto Admit(AdmissionRequest aRequest) -> awaitable<AdmissionResult> override
  {
    const auto queue = QueueOf(aRequest.service);
    AdmissionResult result;
    // The check is repeated, because many requests can pass the early check
    // before the first of them is added to the queue.
    const auto refusal = queue->CheckEarly(aRequest, Clock::now());
    if (refusal.reason != wire::Reason::None) {
      result.refusal = refusal.reason;
      result.retryAfterMs = refusal.retryAfterMs;
      co_return result;
    }
    auto stateChanged = std::make_shared<ConditionVariable>(m_context);
    const auto ticket = queue->Enqueue(
      aRequest, Clock::now(), [stateChanged] { stateChanged->NotifyAll(); });
    while (ticket->state == TicketState::Waiting &&
           Clock::now() < aRequest.deadline) {
      co_await stateChanged->WaitUntil(aRequest.deadline);
    }
    if (ticket->state == TicketState::Running) {
      result.permit = Permit(
        [queue, ticket](const AdmissionOutcome& aOutcome) {
          queue->Finish(ticket, aOutcome, Clock::now());
        },
        [queue, ticket] { queue->ReleaseSlot(ticket, Clock::now()); });
      result.inactivityTimeout = queue->InactivityTimeout(ticket);
      co_return result;
    }
    result.refusal = wire::Reason::QueueFull;
    if (ticket->state == TicketState::Waiting) {
      queue->RemoveWaiting(ticket);
      result.refusal = wire::Reason::Deadline;
    }
    result.retryAfterMs = queue->RetryAfterMs(ticket, Clock::now());
    co_return result;
  }

  auto SetCapacity(const std::string& aService, double aSlots) -> void override
  {
    QueueOf(aService)->SetShare(aSlots, Clock::now());
  }

  auto Demand() const -> std::map<std::string, std::uint32_t> override
  {
    std::map<std::string, std::uint32_t> demand;
    for (const auto& [service, queue] : m_queues) {
      demand[service] =
        static_cast<std::uint32_t>(queue->Running() + queue->Waiting());
    }
    return demand;
  }

  auto Waiting() const -> std::size_t override
  {
    std::size_t waiting = 0;
    for (const auto& [service, queue] : m_queues) {
      waiting += queue->Waiting();
    }
    return waiting;
  }

private:
  auto QueueOf(const std::string& aService) -> std::shared_ptr<FairQueue>
  {
    auto& queue = m_queues[aService];
    if (!queue) {
      queue = std::make_shared<FairQueue>();
    }
    return queue;
  }

  asio::io_context& m_context;
  std::map<std::string, std::shared_ptr<FairQueue>> m_queues;
};

const Registration<AdmissionRegistry, FairAdmission> kFair("fair");

} // namespace

} // namespace bramleylock::admission
