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
  explicit Permit(Release aRelease)
    : m_release(std::move(aRelease))
  {
  }
  Permit(Permit&& aOther) noexcept
    : m_release(std::exchange(aOther.m_release, nullptr))
  {
  }
  auto operator=(Permit&& aOther) noexcept -> Permit&
  {
    Finish({});
    m_release = std::exchange(aOther.m_release, nullptr);
    return *this;
  }
  ~Permit() { Finish({}); }

  /// Gives the permit up; later calls do nothing.
  auto Finish(const AdmissionOutcome& aOutcome) -> void
  {
    if (auto release = std::exchange(m_release, nullptr)) {
      release(aOutcome);
    }
  }

private:
  Release m_release;
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
