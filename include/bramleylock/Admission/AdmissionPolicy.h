// Interface of the policies that decide whether and when a request may be sent
// to a target.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "bramleylock/Lists/PlanLists.h"
#include "bramleylock/Support/Asio.h"
#include "bramleylock/Support/Registry.h"
#include "bramleylock/Wire/Packet.h"

namespace bramleylock::admission {

/// The properties of a request that admission depends on.
struct AdmissionRequest
{
  std::string plan;
  std::string service;
  std::string work;
  lists::Urgency urgency = lists::Urgency::Normal;
  lists::SizeClass size = lists::SizeClass::Short;
  /// Weight of the plan relative to the other plans.
  double weight = 1;
  std::size_t bytes = 0;
  Clock::time_point deadline{};
};

/// The result of an admitted request, reported when its permit ends.
struct AdmissionOutcome
{
  /// The target refused the request for lack of capacity.
  bool shed = false;
  /// The target answered.
  bool answered = false;
  /// Time from sending the request to receiving the head of the answer.
  std::chrono::nanoseconds latency{};
};

/// The right to run one request. Ending the permit frees its slot.
class Permit
{
public:
  using FinishHandler = std::function<void(const AdmissionOutcome&)>;

  Permit() = default;
  /// aReleaseSlot frees the slot while the request is still running.
  explicit Permit(FinishHandler aOnFinish,
                  std::function<void()> aReleaseSlot = nullptr)
    : m_onFinish(std::move(aOnFinish))
    , m_releaseSlot(std::move(aReleaseSlot))
  {
  }
  Permit(Permit&& aOther) noexcept
    : m_onFinish(std::exchange(aOther.m_onFinish, nullptr))
    , m_releaseSlot(std::exchange(aOther.m_releaseSlot, nullptr))
  {
  }
  auto operator=(Permit&& aOther) noexcept -> Permit&
  {
    Finish({});
    m_onFinish = std::exchange(aOther.m_onFinish, nullptr);
    m_releaseSlot = std::exchange(aOther.m_releaseSlot, nullptr);
    return *this;
  }
  ~Permit() { Finish({}); }

  /// Frees the slot of a request that is presumed lost, so that another request
  /// can use it. The end of the request is still reported through Finish.
  auto ReleaseSlot() -> void
  {
    if (auto releaseSlot = std::exchange(m_releaseSlot, nullptr)) {
      releaseSlot();
    }
  }

  /// Ends the permit and reports the outcome. Later calls have no effect.
  auto Finish(const AdmissionOutcome& aOutcome) -> void
  {
    m_releaseSlot = nullptr;
    if (auto onFinish = std::exchange(m_onFinish, nullptr)) {
      onFinish(aOutcome);
    }
  }

private:
  FinishHandler m_onFinish;
  std::function<void()> m_releaseSlot;
};

/// The reason why a request is not admitted, and when to retry.
struct Refusal
{
  /// Reason::None if the request is not refused.
  wire::Reason reason = wire::Reason::None;
  std::uint32_t retryAfterMs = 0;
};

/// A permit, or the reason why none was granted.
struct AdmissionResult
{
  Permit permit;
  wire::Reason refusal = wire::Reason::None;
  std::uint32_t retryAfterMs = 0;
  /// How long the target may send no bytes before the slot of the request is
  /// freed.
  Clock::duration inactivityTimeout = Clock::duration::max();
};

/// Admits or refuses requests. A refusal is final and is returned as soon as it
/// is decided, together with the time after which the caller should retry.
class AdmissionPolicy
{
public:
  virtual ~AdmissionPolicy() = default;

  /// Checks whether aRequest would be refused now. Called before any state is
  /// allocated for the request, which keeps refusals cheap.
  virtual auto CheckEarly(const AdmissionRequest&) -> Refusal { return {}; }

  /// Waits for a permit.
  virtual auto Admit(AdmissionRequest aRequest)
    -> awaitable<AdmissionResult> = 0;

  /// Sets how many slots of aService this balancer may use.
  virtual auto SetCapacity(const std::string& aService, double aSlots)
    -> void = 0;

  /// The number of running and waiting requests of each service.
  virtual auto Demand() const -> std::map<std::string, std::uint32_t>
  {
    return {};
  }

  /// The number of requests that are waiting for a permit.
  virtual auto Waiting() const -> std::size_t = 0;
};

using AdmissionRegistry = Registry<AdmissionPolicy, asio::io_context&>;

} // namespace bramleylock::admission
