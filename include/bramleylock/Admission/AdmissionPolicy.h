// The decision whether, and when, a request may go to a target.
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

/// A request that asks to be run.
struct AdmissionRequest
{
  std::string plan;
  std::string service;
  std::string work;
  lists::Urgency urgency = lists::Urgency::Normal;
  lists::SizeClass size = lists::SizeClass::Short;
  /// Share of the plan among plans.
  double weight = 1;
  std::size_t bytes = 0;
  Clock::time_point deadline{};
};

/// What became of an admitted request, told with the permit.
struct AdmissionOutcome
{
  /// The target refused for lack of capacity.
  bool shed = false;
  /// The target answered.
  bool answered = false;
  /// From sending the request to the head of the answer.
  std::chrono::nanoseconds latency{};
};

/// The right to run one request; giving it up frees its place.
class Permit
{
public:
  using Release = std::function<void(const AdmissionOutcome&)>;

  Permit() = default;
  /// aVacate frees the place before the end.
  explicit Permit(Release aRelease, std::function<void()> aVacate = nullptr)
    : m_release(std::move(aRelease))
    , m_vacate(std::move(aVacate))
  {
  }
  Permit(Permit&& aOther) noexcept
    : m_release(std::exchange(aOther.m_release, nullptr))
    , m_vacate(std::exchange(aOther.m_vacate, nullptr))
  {
  }
  auto operator=(Permit&& aOther) noexcept -> Permit&
  {
    Finish({});
    m_release = std::exchange(aOther.m_release, nullptr);
    m_vacate = std::exchange(aOther.m_vacate, nullptr);
    return *this;
  }
  ~Permit() { Finish({}); }

  /// Lets another request take the place of one that is taken for lost; its
  /// end is still told by Finish.
  auto Vacate() -> void
  {
    if (auto vacate = std::exchange(m_vacate, nullptr)) {
      vacate();
    }
  }

  /// Gives the permit up; later calls do nothing.
  auto Finish(const AdmissionOutcome& aOutcome) -> void
  {
    m_vacate = nullptr;
    if (auto release = std::exchange(m_release, nullptr)) {
      release(aOutcome);
    }
  }

private:
  Release m_release;
  std::function<void()> m_vacate;
};

/// Why a request is not admitted, and when to come back.
struct Refusal
{
  /// None when the request is not refused.
  wire::Reason reason = wire::Reason::None;
  std::uint32_t retryAfterMs = 0;
};

/// A permit, or why there is none.
struct AdmissionResult
{
  Permit permit;
  wire::Reason refusal = wire::Reason::None;
  std::uint32_t retryAfterMs = 0;
  /// How long the target may show no byte before its slot counts as free.
  Clock::duration overdueAfter = Clock::duration::max();
};

/// Decides over requests. A refusal is final and is given at once when it is
/// decided, together with when to come back.
class AdmissionPolicy
{
public:
  virtual ~AdmissionPolicy() = default;

  /// Whether aRequest would be refused now. It is asked before anything is
  /// kept for the request, so that a refusal costs little.
  virtual auto CheckEarly(const AdmissionRequest&) -> Refusal { return {}; }

  /// Waits for a permit.
  virtual auto Admit(AdmissionRequest aRequest)
    -> awaitable<AdmissionResult> = 0;

  /// The slots of aService that this balancer may use.
  virtual auto SetCapacity(const std::string& aService, double aSlots)
    -> void = 0;

  /// Requests that run or wait, by service.
  virtual auto Demand() const -> std::map<std::string, std::uint32_t>
  {
    return {};
  }

  /// Requests that wait for a permit.
  virtual auto Waiting() const -> std::size_t = 0;
};

using AdmissionRegistry = Registry<AdmissionPolicy, asio::io_context&>;

} // namespace bramleylock::admission
