// Named loads for the load model: the most demanding periods of the platform's
// standard day profiles, and deployments with other figures.
#pragma once

#include <vector>

#include "measure/LoadModel.h"

namespace bramleylock::forward {

struct NamedLoad
{
  const char* name;
  LoadOptions options;
};

/// The most demanding periods of the platform's standard day profiles with a
/// flow per request.
auto StressLoads() -> std::vector<NamedLoad>;

/// Load of a day with persistent flows, which uses 60 % of the slots: 240 users
/// who pause for one second between requests of 55 ms, and 80 requests per
/// second in separate flows.
auto PersistentFlowLoad() -> LoadOptions;

/// The load with persistent flows for clients at the given one-way delays. The
/// limit for answers grows by the two round trips of a request with its own
/// flow.
auto DistantClientsLoad(Milliseconds aMinDelay, Milliseconds aMaxDelay)
  -> LoadOptions;

/// From 3 s to 9 s, requests with their own flows use aLoad times all slots.
auto OverloadOf(double aLoad) -> LoadOptions;

/// A burst of 2.4 times the normal traffic while half of the balancers are
/// frozen for three seconds.
auto BurstBesideFrozenBalancers() -> LoadOptions;

/// Calm and faulty periods of deployments that differ from the standard ones in
/// the distance of clients, the duration and spread of requests, the slots and
/// the queues of targets.
auto UnlikeLoads() -> std::vector<NamedLoad>;

} // namespace bramleylock::forward
