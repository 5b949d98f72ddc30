// Baseline admission policies: "none" without any limit, and "fifo" with one
// bounded queue for each service.

#include "bramleylock/Admission/AdmissionPolicy.h"

#include <deque>
#include <map>

namespace bramleylock::admission {

/// The number of requests that may wait for each slot.
static constexpr std::size_t kMaxWaitingPerSlot = 16;

/// The retry delay returned to a refused caller.
static constexpr std::uint32_t kRetryAfterMs = 200;

namespace {

class NoAdmission : public AdmissionPolicy
{
public:
  explicit NoAdmission(asio::io_context&) {}

  auto Admit(AdmissionRequest) -> awaitable<AdmissionResult> override
  {
    co_return AdmissionResult{};
  }

  auto SetCapacity(const std::string&, double) -> void override {}

  auto Waiting() const -> std::size_t override { return 0; }
};

/// The running count and the waiting requests of one service.
struct ServiceQueue
{
  double slots = 1;
  std::size_t running = 0;
  std::deque<std::shared_ptr<ConditionVariable>> waiting;
};

class FifoAdmission : public AdmissionPolicy
{
public:
  explicit FifoAdmission(asio::io_context& aContext)
    : m_context(aContext)
  {
  }

  auto Admit(AdmissionRequest aRequest) -> awaitable<AdmissionResult> override
  {
    auto& queue = m_queues[aRequest.service];
    AdmissionResult result;
    if (queue.waiting.size() >= kMaxWaitingPerSlot * (queue.slots + 1)) {
      result.refusal = wire::Reason::QueueFull;
      result.retryAfterMs = kRetryAfterMs;
      co_return result;
    }
    auto waiter = std::make_shared<ConditionVariable>(m_context);
    queue.waiting.push_back(waiter);
    while (queue.waiting.front() != waiter ||
           queue.running >= MaxRunning(queue)) {
      if (Clock::now() >= aRequest.deadline) {
        std::erase(queue.waiting, waiter);
        NotifyFront(queue);
        result.refusal = wire::Reason::Deadline;
        result.retryAfterMs = kRetryAfterMs;
        co_return result;
      }
      co_await waiter->WaitUntil(aRequest.deadline);
    }
    queue.waiting.pop_front();
    ++queue.running;
    NotifyFront(queue);
    result.permit = Permit([&queue](const AdmissionOutcome&) {
      --queue.running;
      NotifyFront(queue);
    });
    co_return result;
  }

  auto SetCapacity(const std::string& aService, double aSlots) -> void override
  {
    auto& queue = m_queues[aService];
    queue.slots = aSlots;
    NotifyFront(queue);
  }

  auto Waiting() const -> std::size_t override
  {
    std::size_t waiting = 0;
    for (const auto& [service, queue] : m_queues) {
      waiting += queue.waiting.size();
    }
    return waiting;
  }

private:
  static auto MaxRunning(const ServiceQueue& aQueue) -> std::size_t
  {
    return static_cast<std::size_t>(std::max(1.0, aQueue.slots));
  }

  static auto NotifyFront(ServiceQueue& aQueue) -> void
  {
    if (!aQueue.waiting.empty()) {
      aQueue.waiting.front()->NotifyAll();
    }
  }

  asio::io_context& m_context;
  std::map<std::string, ServiceQueue> m_queues;
};

const Registration<AdmissionRegistry, NoAdmission> kNone("none");
const Registration<AdmissionRegistry, FifoAdmission> kFifo("fifo");

} // namespace

} // namespace bramleylock::admission
