// Odd answers of a target to health checks.

#include "bramleylock/Target/HealthProber.h"
#include "bramleylock/Http/Http.h"
#include "unittests/TestOddInputs.h"

#include <criterion/criterion.h>

using namespace bramleylock;
using namespace bramleylock::target;

/// Longer than a probe on the loopback device takes.
static constexpr Milliseconds kProbeTime{ 300 };

/// Probes a target that answers with aReply; returns how the table then
/// considers it.
static auto ProbedTarget(const http::Reply& aReply) -> Target
{
  asio::io_context context{ 1 };
  http::Server server(
    context, Tcp::endpoint(asio::ip::address_v4::loopback(), 0),
    [&](const http::Request&) -> awaitable<http::Reply> { co_return aReply; });
  server.Start();
  const auto endpoint = server.Endpoint();
  const auto address = FormatEndpoint(endpoint.address(), endpoint.port());
  Metrics metrics;
  TargetTable table("here", nullptr,
                    ChoiceRegistry::Instance().Create("spill-over"), metrics,
                    1);
  table.SetTargets({ { address, "service", "here", false } });
  HealthProber prober(context, table, "self");
  prober.SetBalancers({ { "here", { "self" } } });
  prober.Start();
  context.run_for(kProbeTime);
  return *table.All().at(address);
}

/// The exception ended the probe, so that its result was not recorded.
Test(HealthProber, OddAnswerCountsByItsStatus, .timeout = 30)
{
  for (const auto* body :
       { R"({"draining":"yes"})", R"({"draining":7})", R"({"draining":[]})" }) {
    const auto failed = ProbedTarget({ 500, body, "application/json", {} });
    cr_assert(failed.unhealthyUntil > Clock::now(), "%s", body);
    const auto healthy = ProbedTarget({ 200, body, "application/json", {} });
    cr_assert(healthy.probeDrainingUntil != Clock::time_point{}, "%s", body);
    cr_assert(healthy.unhealthyUntil < Clock::now(), "%s", body);
  }
  for (const auto& body : OddTexts()) {
    const auto failed = ProbedTarget({ 500, body, "application/json", {} });
    cr_assert(failed.unhealthyUntil > Clock::now(), "%.60s", body.c_str());
  }
}

Test(HealthProber, DrainingTargetIsRecognized)
{
  const auto target =
    ProbedTarget({ 200, R"({"draining":true})", "application/json", {} });
  cr_assert(target.probeDrainingUntil > Clock::now());
}
