// Sending packets to callers, signing flow tokens, and counting reasons.

#include "bramleylock/Flow/Environment.h"

namespace bramleylock::flow {

using wire::Reason;

namespace {

struct ReasonCounter
{
  Reason reason;
  Counter counter;
};

} // namespace

static constexpr std::array<ReasonCounter, 19> kReasonCounters{ {
  { Reason::NotReady, Counter::RefusedNotReady },
  { Reason::Credential, Counter::RefusedCredential },
  { Reason::Service, Counter::RefusedService },
  { Reason::Work, Counter::RefusedWork },
  { Reason::NotAllowed, Counter::RefusedNotAllowed },
  { Reason::Draining, Counter::RefusedDraining },
  { Reason::QueueFull, Counter::RefusedQueueFull },
  { Reason::Deadline, Counter::RefusedDeadline },
  { Reason::NoTarget, Counter::RefusedNoTarget },
  { Reason::TargetShed, Counter::RefusedTargetShed },
  { Reason::PlanRate, Counter::RefusedPlanRate },
  { Reason::PlanConcurrency, Counter::RefusedPlanConcurrency },
  { Reason::TooLarge, Counter::RefusedTooLarge },
  { Reason::Forged, Counter::TokenForged },
  { Reason::ForeignService, Counter::TokenForeignService },
  { Reason::KeyUnknown, Counter::TokenKeyUnknown },
  { Reason::OwnerLost, Counter::UnknownOwnerLost },
  { Reason::TargetLost, Counter::UnknownTargetLost },
  { Reason::FlowForgotten, Counter::UnknownFlowForgotten },
} };

auto CountReason(Metrics& aMetrics, Reason aReason) -> void
{
  for (const auto& [reason, counter] : kReasonCounters) {
    if (reason == aReason) {
      aMetrics.Add(counter);
      return;
    }
  }
}

auto SignFlow(const Environment& aEnvironment, const std::string& aService,
              std::uint64_t aFlow) -> std::string
{
  const auto& self = aEnvironment.members.Self();
  wire::FlowToken token;
  token.service = aService;
  token.failureDomain = self.failureDomain;
  token.owner = self.address;
  token.ownerIncarnation = self.incarnation;
  token.listsRevision = aEnvironment.lists.Revision();
  return aEnvironment.keys.Sign(token, aFlow);
}

auto SendPacket(Environment& aEnvironment, const Udp::endpoint& aCaller,
                const wire::Packet& aPacket) -> void
{
  aEnvironment.metrics.Add(Counter::PacketsSent);
  aEnvironment.send(aCaller, wire::Encode(aPacket));
}

} // namespace bramleylock::flow
