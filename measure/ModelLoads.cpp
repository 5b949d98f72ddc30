// Figures of the named loads.

#include "measure/ModelLoads.h"

#include <functional>

namespace bramleylock::forward {

auto StressLoads() -> std::vector<NamedLoad>
{
  std::vector<NamedLoad> loads{ { "calm", {} },
                                { "burst", {} },
                                { "silent_targets", {} },
                                { "loss_of_power", {} } };
  loads[1].options.requestsPerSecond = 740;
  loads[2].options.silentTargets = 4;
  loads[3].options.outage = Milliseconds(1800);
  return loads;
}

auto PersistentFlowLoad() -> LoadOptions
{
  LoadOptions options;
  options.users = 240;
  options.requestsPerSecond = 80;
  options.meanWorkMs = 55;
  options.onTimeLimit = Milliseconds(250);
  options.deadline = Milliseconds(4000);
  return options;
}

auto DistantClientsLoad(Milliseconds aMinDelay, Milliseconds aMaxDelay)
  -> LoadOptions
{
  auto options = PersistentFlowLoad();
  options.minClientDelay = aMinDelay;
  options.maxClientDelay = aMaxDelay;
  options.onTimeLimit += 4 * aMaxDelay;
  return options;
}

auto OverloadOf(double aLoad) -> LoadOptions
{
  LoadOptions options;
  const double slots = static_cast<double>(options.targets) * options.slots;
  const double capacity = slots * 1000 / options.meanWorkMs;
  options.burstFactor = aLoad * capacity / options.requestsPerSecond;
  options.length = Milliseconds(12000);
  return options;
}

auto BurstBesideFrozenBalancers() -> LoadOptions
{
  auto options = PersistentFlowLoad();
  options.requestsPerSecond = 150;
  options.users = 200;
  options.burstFactor = 2.4;
  options.frozenBalancers = 4;
  options.length = Milliseconds(13000);
  return options;
}

/// Requests that take 330 ms at targets with twelve slots.
static auto LongRequests() -> LoadOptions
{
  auto options = PersistentFlowLoad();
  options.meanWorkMs = 330;
  options.slots = 12;
  options.queueCapacity = 48;
  options.onTimeLimit = Milliseconds(1500);
  return options;
}

/// Requests of 9 ms at targets with one slot.
static auto ShortRequests() -> LoadOptions
{
  auto options = PersistentFlowLoad();
  options.meanWorkMs = 9;
  options.slots = 1;
  options.onTimeLimit = Milliseconds(100);
  return options;
}

/// 3 % of the requests take fifteen times as long as the others.
static auto LongTail() -> LoadOptions
{
  auto options = PersistentFlowLoad();
  options.longRequestShare = 0.03;
  options.longRequestFactor = 15;
  options.slots = 3;
  options.onTimeLimit = Milliseconds(900);
  return options;
}

/// Targets with one slot that queue two requests.
static auto OneSlot() -> LoadOptions
{
  auto options = PersistentFlowLoad();
  options.targets = 28;
  options.slots = 1;
  options.queueCapacity = 2;
  return options;
}

/// Returns aOptions after aChange.
static auto With(LoadOptions aOptions,
                 const std::function<void(LoadOptions&)>& aChange)
  -> LoadOptions
{
  aChange(aOptions);
  return aOptions;
}

static auto RestartBalancers(LoadOptions& aOptions) -> void
{
  aOptions.rollingRestart = true;
  aOptions.length = Milliseconds(14000);
}

auto UnlikeLoads() -> std::vector<NamedLoad>
{
  const auto at20Ms = DistantClientsLoad(Milliseconds(20), Milliseconds(20));
  const auto at40Ms = DistantClientsLoad(Milliseconds(40), Milliseconds(40));
  const auto at60Ms = DistantClientsLoad(Milliseconds(60), Milliseconds(60));
  const auto mixed = DistantClientsLoad(Milliseconds(1), Milliseconds(80));
  return {
    { "persistent", PersistentFlowLoad() },
    { "clients_20ms", at20Ms },
    { "clients_40ms", at40Ms },
    { "clients_60ms", at60Ms },
    { "clients_1_to_80ms", mixed },
    { "clients_40ms_burst",
      With(at40Ms, [](auto& aOptions) { aOptions.requestsPerSecond = 230; }) },
    { "clients_40ms_outage",
      With(at40Ms,
           [](auto& aOptions) { aOptions.outage = Milliseconds(1400); }) },
    { "clients_40ms_silent_targets",
      With(at40Ms, [](auto& aOptions) { aOptions.silentTargets = 4; }) },
    { "clients_40ms_release",
      With(at40Ms, [](auto& aOptions) { aOptions.replacedTargets = 6; }) },
    { "clients_40ms_restarts", With(at40Ms, RestartBalancers) },
    { "long_requests", LongRequests() },
    { "long_requests_restarts", With(LongRequests(), RestartBalancers) },
    { "short_requests", ShortRequests() },
    { "long_tail", LongTail() },
    { "one_slot", OneSlot() },
    { "slow_targets", With(PersistentFlowLoad(),
                           [](auto& aOptions) {
                             aOptions.slowTargets = 3;
                             aOptions.slowFactor = 5;
                           }) },
    { "packet_loss", With(PersistentFlowLoad(),
                          [](auto& aOptions) { aOptions.lossShare = 0.02; }) },
    { "burst_beside_frozen", BurstBesideFrozenBalancers() },
    { "overload_1", OverloadOf(1) },
    { "overload_1.5", OverloadOf(1.5) },
    { "overload_2.5", OverloadOf(2.5) },
    { "overload_4", OverloadOf(4) },
  };
}

} // namespace bramleylock::forward
