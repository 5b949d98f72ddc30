// Tests of the health checks of silent targets, over loopback.

#include "unittests/Forward/TestForward.h"

#include "bramleylock/Forward/SilentTargetProber.h"
#include "bramleylock/Http/Http.h"

#include <criterion/criterion.h>

using namespace bramleylock;
using namespace bramleylock::forward;

namespace {

/// A target "a" whose health check endpoint starts accepting on request.
struct ProbedTarget
{
  explicit ProbedTarget(unsigned aStatus)
    : status(aStatus)
    , prober(context, test.routes, test.targets, test.metrics)
  {
    auto routes = MakeRoutes(2);
    routes.services.push_back({ "proofs", "/health", 0 });
    test.routes.Install(routes, Clock::now());
    server = std::make_unique<http::Server>(
      context, Tcp::endpoint(asio::ip::address_v4::loopback(), 0),
      [this](const http::Request&) -> awaitable<http::Reply> {
        http::Reply reply;
        reply.status = status;
        co_return reply;
      });
    auto record = MakeTarget("a", 5, "proofs");
    record.ip = server->Endpoint().address().to_v4().to_uint();
    record.port = server->Endpoint().port();
    test.targets.Apply(record, Clock::now());
  }

  auto Entry() -> DirectoryEntry& { return *test.targets.Find("a"); }

  /// Reports a retransmitted request as the forwarder does.
  auto ReportUnanswered() -> void
  {
    Entry().stats.openFlows = 1;
    Entry().stats.retransmittedRequests = 1;
    prober.OnRequestUnanswered(Entry());
  }

  auto RunFor(int aMilliseconds) -> void
  {
    context.run_for(Milliseconds(aMilliseconds));
  }

  unsigned status;
  asio::io_context context{ 1 };
  TestForward test;
  SilentTargetProber prober;
  std::unique_ptr<http::Server> server;
};

} // namespace

/// The health check's socket listens but does not accept, so checks get no
/// answer, as with a machine whose process is gone.
Test(SilentTargetProber, TargetIsUnreachableUntilItAnswers)
{
  ProbedTarget target(200);
  target.ReportUnanswered();
  target.RunFor(1200);
  cr_assert(target.Entry().stats.unansweredChecks >= 2);
  cr_assert(IsUnreachable(target.Entry().stats, Clock::now()));
  target.server->Start();
  target.RunFor(2500);
  cr_assert(!IsUnreachable(target.Entry().stats, Clock::now()));
  cr_assert(target.Entry().stats.retransmittedRequests == 0);
  const auto checks = target.test.metrics.Get(Counter::TargetProbes);
  target.RunFor(2000);
  cr_assert(target.test.metrics.Get(Counter::TargetProbes) == checks,
            "no client waits for the target");
}

/// A target that answers with an error status is running and keeps its flows.
Test(SilentTargetProber, TargetThatReportsAnErrorIsReachable)
{
  ProbedTarget target(503);
  target.server->Start();
  target.ReportUnanswered();
  target.RunFor(1000);
  cr_assert(target.test.metrics.Get(Counter::TargetProbes) >= 2);
  cr_assert(target.Entry().stats.unansweredChecks == 0);
  cr_assert(!IsUnreachable(target.Entry().stats, Clock::now()));
}

/// A departed target is checked only while it has open flows.
Test(SilentTargetProber, DepartedTargetIsCheckedWhileItHasOpenFlows)
{
  ProbedTarget target(200);
  target.test.targets.Remove("a", 9, Milliseconds(0), Clock::now());
  target.ReportUnanswered();
  target.RunFor(1200);
  cr_assert(IsUnreachable(target.Entry().stats, Clock::now()));
  target.Entry().stats.openFlows = 0;
  target.RunFor(1000);
  const auto checks = target.test.metrics.Get(Counter::TargetProbes);
  target.RunFor(2500);
  cr_assert(target.test.metrics.Get(Counter::TargetProbes) == checks);
}

/// Unanswered checks from before a pause of the balancer are discarded after
/// it, even if the steady clock barely advanced during the pause.
Test(SilentTargetProber, PauseDiscardsUnansweredChecks)
{
  ProbedTarget target(200);
  auto& stats = target.Entry().stats;
  stats.unansweredChecks = 3;
  stats.lastCheckAt = Clock::now();
  cr_assert(IsUnreachable(stats, Clock::now()));
  target.prober.OnPause();
  cr_assert(!IsUnreachable(stats, Clock::now()));
}

/// An unreachable target remains silent beyond the time for which a single sign
/// of silence holds.
Test(SilentTargetProber, TargetStaysSilentWhileChecksAreUnanswered)
{
  TargetStats stats;
  const Clock::time_point start{ std::chrono::hours(1) };
  cr_assert(MarkSilent(stats, start));
  stats.unansweredChecks = 3;
  stats.lastCheckAt = start + Milliseconds(4500);
  cr_assert(IsSilent(stats, start + Milliseconds(5000)));
  cr_assert(!IsSilent(stats, start + Milliseconds(6501)));
  stats.unansweredChecks = 0;
  cr_assert(!IsSilent(stats, start + Milliseconds(5000)));
}
