// Tests of the health checks of silent targets, over loopback.

#include "unittests/Forward/TestForward.h"

#include "bramleylock/Forward/SilentTargetProber.h"
#include "bramleylock/Http/Http.h"

#include <criterion/criterion.h>

#include <deque>

using namespace bramleylock;
using namespace bramleylock::forward;

namespace {

/// A listener on loopback whose queue of connections is full, so that no
/// further connection is established.
class FullListener
{
public:
  explicit FullListener(asio::io_context& aContext)
    : m_acceptor(aContext)
  {
    m_acceptor.open(Tcp::v4());
    m_acceptor.bind({ asio::ip::address_v4::loopback(), 0 });
    m_acceptor.listen(0);
    for (int i = 0; i < kFillingConnections; ++i) {
      m_filling.emplace_back(aContext).async_connect(
        m_acceptor.local_endpoint(), [](const boost::system::error_code&) {});
    }
  }

  auto Port() const -> std::uint16_t
  {
    return m_acceptor.local_endpoint().port();
  }

private:
  static constexpr int kFillingConnections = 4;

  Tcp::acceptor m_acceptor;
  /// A deque, since sockets must not move while they connect.
  std::deque<Tcp::socket> m_filling;
};

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

  /// Gives the target an address at which connections are not established.
  auto UseFullListener() -> void { SetPort(fullListener.Port()); }

  /// Gives the target an address at which no process listens.
  auto StopListening() -> void
  {
    Tcp::acceptor unused(context, { asio::ip::address_v4::loopback(), 0 });
    SetPort(unused.local_endpoint().port());
  }

  auto ResumeServing() -> void
  {
    server->Start();
    SetPort(server->Endpoint().port());
  }

  /// Adds target "b" of the same failure domain, which has answered a packet
  /// that was sent aLater after now.
  auto AddAnsweringTarget(Clock::duration aLater) -> void
  {
    test.targets.Apply(MakeTarget("b", 6, "proofs"), Clock::now());
    test.targets.Find("b")->stats.answeredSendAt = Clock::now() + aLater;
  }

  auto SetPort(std::uint16_t aPort) -> void
  {
    auto record = Entry().record;
    record.port = aPort;
    ++record.revision.number;
    test.targets.Apply(record, Clock::now());
  }

  unsigned status;
  asio::io_context context{ 1 };
  FullListener fullListener{ context };
  TestForward test;
  SilentTargetProber prober;
  std::unique_ptr<http::Server> server;
};

} // namespace

Test(SilentTargetProber, TargetIsUnreachableUntilItAnswers)
{
  ProbedTarget target(200);
  target.UseFullListener();
  target.AddAnsweringTarget(std::chrono::seconds(2));
  target.ReportUnanswered();
  target.RunFor(1200);
  cr_assert(target.Entry().stats.unreachableChecks >= 2);
  cr_assert(IsUnreachable(target.Entry().stats, Clock::now()));
  target.ResumeServing();
  target.RunFor(2500);
  cr_assert(!IsUnreachable(target.Entry().stats, Clock::now()));
  cr_assert(target.Entry().stats.retransmittedRequests == 0);
  const auto checks = target.test.metrics.Get(Counter::TargetProbes);
  target.RunFor(2000);
  cr_assert(target.test.metrics.Get(Counter::TargetProbes) == checks,
            "no client waits for the target");
}

Test(SilentTargetProber, ClosedPortMakesTargetUnreachable)
{
  ProbedTarget target(200);
  target.StopListening();
  target.ReportUnanswered();
  target.RunFor(1200);
  cr_assert(IsUnreachable(target.Entry().stats, Clock::now()));
}

/// No packet that was sent after the checks has been answered.
Test(SilentTargetProber,
     CongestedBalancerDoesNotTakeServingTargetForUnreachable)
{
  ProbedTarget target(200);
  target.UseFullListener();
  target.AddAnsweringTarget(std::chrono::seconds(-1));
  target.ReportUnanswered();
  target.RunFor(1200);
  cr_assert(target.test.metrics.Get(Counter::TargetProbes) >= 2);
  cr_assert(!IsUnreachable(target.Entry().stats, Clock::now()));
}

Test(SilentTargetProber, TargetThatAnswersBetweenChecksIsNotUnreachable)
{
  ProbedTarget target(200);
  target.UseFullListener();
  target.AddAnsweringTarget(std::chrono::seconds(2));
  target.ReportUnanswered();
  target.RunFor(350);
  cr_assert(target.Entry().stats.unreachableChecks == 1);
  target.Entry().stats.answeredSendAt = Clock::now();
  target.RunFor(550);
  cr_assert(target.Entry().stats.unansweredChecks == 2);
  cr_assert(!IsUnreachable(target.Entry().stats, Clock::now()));
}

/// The target's process accepts connections but never replies.
Test(SilentTargetProber, HungTargetGetsNoNewFlowsWhileChecksAreUnanswered)
{
  ProbedTarget target(200);
  MarkSilent(target.Entry().stats, Clock::now() - std::chrono::seconds(5));
  target.ReportUnanswered();
  target.RunFor(900);
  cr_assert(IsSilent(target.Entry().stats, Clock::now()));
}

Test(SilentTargetProber, AnswerFromAnotherDomainDoesNotMakeTargetUnreachable)
{
  ProbedTarget target(200);
  target.UseFullListener();
  target.AddAnsweringTarget(std::chrono::seconds(2));
  target.test.targets.Find("b")->record.failureDomain = "elsewhere";
  target.ReportUnanswered();
  target.RunFor(1200);
  cr_assert(target.test.metrics.Get(Counter::TargetProbes) >= 2);
  cr_assert(!IsUnreachable(target.Entry().stats, Clock::now()));
}

/// The target's machine accepts connections, but the check waits for a slot.
Test(SilentTargetProber, BusyTargetThatAcceptsConnectionsIsNotUnreachable)
{
  ProbedTarget target(200);
  target.AddAnsweringTarget(std::chrono::seconds(2));
  target.ReportUnanswered();
  target.RunFor(1200);
  cr_assert(target.test.metrics.Get(Counter::TargetProbes) >= 2);
  cr_assert(!IsUnreachable(target.Entry().stats, Clock::now()));
}

/// A target that answers with an error status is running and keeps its flows.
Test(SilentTargetProber, TargetThatReportsAnErrorIsReachable)
{
  ProbedTarget target(503);
  target.server->Start();
  target.ReportUnanswered();
  target.RunFor(1000);
  cr_assert(target.test.metrics.Get(Counter::TargetProbes) >= 2);
  cr_assert(target.Entry().stats.unreachableChecks == 0);
  cr_assert(!IsUnreachable(target.Entry().stats, Clock::now()));
}

/// A departed target is checked only while it has open flows.
Test(SilentTargetProber, DepartedTargetIsCheckedWhileItHasOpenFlows)
{
  ProbedTarget target(200);
  target.StopListening();
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
  stats.unreachableChecks = 3;
  stats.unreachableSince = Clock::now();
  stats.lastCheckAt = Clock::now();
  cr_assert(IsUnreachable(stats, Clock::now()));
  target.prober.OnPause();
  cr_assert(!IsUnreachable(stats, Clock::now()));
}

/// Regression test: a balancer opened new flows to a target that a peer had
/// found healthy and reset them because of its own earlier checks.
Test(SilentTargetProber, HealthyTargetOfPeerIsNotUnreachable)
{
  ProbedTarget target(200);
  auto& stats = target.Entry().stats;
  stats.silentSince = Clock::now();
  stats.unreachableChecks = 3;
  stats.unreachableSince = Clock::now();
  stats.lastCheckAt = Clock::now();
  cr_assert(IsUnreachable(stats, Clock::now()));
  target.prober.ApplyUpdate("entry-2", { target.Entry().tag, false });
  cr_assert(!IsSilent(stats, Clock::now()));
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

/// A health check shows that the target runs, not that it is the same process.
Test(SilentTargetProber, TargetThatWasAwayMayHaveRestarted)
{
  ProbedTarget target(200);
  auto routes = MakeRoutes(3);
  routes.services.push_back({ "proofs", "/health", 0, 2000, 5 });
  target.test.routes.Install(routes, Clock::now());
  target.StopListening();
  MarkSilent(target.Entry().stats, Clock::now());
  target.prober.OnTargetSilent(target.Entry());
  target.RunFor(150);
  target.ResumeServing();
  target.RunFor(1000);
  cr_assert(!IsSilent(target.Entry().stats, Clock::now()));
  cr_assert(target.Entry().MayBeWarmingUp(Clock::now()));
}
