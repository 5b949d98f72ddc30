// Figures of the named loads.

#include "measure/ModelLoads.h"

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

auto UnlikeLoads() -> std::vector<NamedLoad>
{
  const Milliseconds near(1);
  const Milliseconds far(40);
  std::vector<NamedLoad> loads{
    { "persistent", PersistentFlowLoad() },
    { "clients_20ms", DistantClientsLoad(Milliseconds(20), Milliseconds(20)) },
    { "clients_40ms", DistantClientsLoad(far, far) },
    { "clients_60ms", DistantClientsLoad(Milliseconds(60), Milliseconds(60)) },
    { "clients_1_to_80ms", DistantClientsLoad(near, Milliseconds(80)) },
    { "clients_40ms_burst", DistantClientsLoad(far, far) },
    { "clients_40ms_outage", DistantClientsLoad(far, far) },
    { "clients_40ms_silent_targets", DistantClientsLoad(far, far) },
    { "clients_40ms_release", DistantClientsLoad(far, far) },
    { "clients_40ms_restarts", DistantClientsLoad(far, far) },
    { "long_requests", LongRequests() },
    { "long_requests_restarts", LongRequests() },
    { "short_requests", ShortRequests() },
    { "long_tail", LongTail() },
    { "one_slot", OneSlot() },
    { "slow_targets", PersistentFlowLoad() },
    { "packet_loss", PersistentFlowLoad() },
    { "burst_beside_frozen", BurstBesideFrozenBalancers() },
    { "overload_1", OverloadOf(1) },
    { "overload_1.5", OverloadOf(1.5) },
    { "overload_2.5", OverloadOf(2.5) },
    { "overload_4", OverloadOf(4) },
  };
  for (auto& [name, options] : loads) {
    const std::string label(name);
    if (label == "clients_40ms_burst") {
      options.requestsPerSecond = 230;
    } else if (label == "clients_40ms_outage") {
      options.outage = Milliseconds(1400);
    } else if (label == "clients_40ms_silent_targets") {
      options.silentTargets = 4;
    } else if (label == "clients_40ms_release") {
      options.replacedTargets = 6;
    } else if (label == "clients_40ms_restarts" ||
               label == "long_requests_restarts") {
      options.rollingRestart = true;
      options.length = Milliseconds(14000);
    } else if (label == "slow_targets") {
      options.slowTargets = 3;
      options.slowFactor = 5;
    } else if (label == "packet_loss") {
      options.lossShare = 0.02;
    }
  }
  return loads;
}

} // namespace bramleylock::forward
