// Tests fairness, queue limits and slot accounting of FairQueue under overload.

#include "bramleylock/Admission/FairQueue.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace bramleylock;
using namespace bramleylock::admission;
using lists::Urgency;

namespace {

/// A queue with a simulated clock and a fixed request duration of 100 ms.
struct Bench
{
  explicit Bench(double aSlots) { queue.SetShare(aSlots, now); }

  auto Request(const std::string& aPlan, const std::string& aWork,
               Urgency aUrgency, double aWeight = 1) const -> AdmissionRequest
  {
    AdmissionRequest request;
    request.plan = aPlan;
    request.work = aWork;
    request.urgency = aUrgency;
    request.weight = aWeight;
    request.deadline = now + Milliseconds(5000);
    return request;
  }

  /// Offers a request; returns null if the early check refuses it.
  auto Offer(const AdmissionRequest& aRequest) -> std::shared_ptr<Ticket>
  {
    last = queue.CheckEarly(aRequest, now);
    if (last.reason != wire::Reason::None) {
      return nullptr;
    }
    tickets.push_back(queue.Enter(aRequest, now, [] {}));
    return tickets.back();
  }

  /// Advances the clock by 100 ms and finishes all requests that were running.
  auto Step() -> void
  {
    std::vector<std::shared_ptr<Ticket>> running;
    for (const auto& ticket : tickets) {
      if (ticket->state == TicketState::Running) {
        running.push_back(ticket);
      }
    }
    now += Milliseconds(100);
    for (const auto& ticket : running) {
      ++served[ticket->lane->plan];
      queue.Finish(ticket, { false, true, Milliseconds(100) }, now);
    }
    std::erase_if(tickets, [](const auto& aTicket) {
      return aTicket->state != TicketState::Running &&
             aTicket->state != TicketState::Waiting;
    });
  }

  /// Offers aCount copies of each request in every step.
  auto Flood(const std::vector<AdmissionRequest>& aRequests, int aCount,
             int aSteps) -> void
  {
    for (int step = 0; step < aSteps; ++step) {
      for (auto request : aRequests) {
        request.deadline = now + Milliseconds(5000);
        for (int i = 0; i < aCount; ++i) {
          Offer(request);
        }
      }
      Step();
    }
  }

  FairQueue queue;
  Clock::time_point now{ std::chrono::hours(1) };
  std::vector<std::shared_ptr<Ticket>> tickets;
  std::map<std::string, int> served;
  Refusal last;
};

} // namespace

Test(FairQueue, UrgentFloodLeavesOtherPlansWhatTheirWeightEarns)
{
  Bench bench(4);
  for (int step = 0; step < 50; ++step) {
    for (int i = 0; i < 40; ++i) {
      bench.Offer(bench.Request("flood", "book", Urgency::Urgent));
    }
    bench.Offer(bench.Request("other", "export", Urgency::Bulk));
    bench.Step();
  }
  cr_assert_geq(bench.served["other"], 48);
  cr_assert_geq(bench.served["flood"], 140);
}

Test(FairQueue, MoreUrgentClassGoesFirst)
{
  Bench bench(1);
  bench.Flood({ bench.Request("a", "export", Urgency::Bulk) }, 3, 20);
  // The plan is within its share, so that its request does not wait for the
  // export to end.
  const auto urgent = bench.Offer(bench.Request("b", "book", Urgency::Urgent));
  cr_assert(urgent && urgent->state == TicketState::Running);
}

Test(FairQueue, LeastUrgentClassLeavesTheLastSlot)
{
  Bench bench(4);
  bench.Offer(bench.Request("b", "book", Urgency::Urgent));
  bench.Flood({ bench.Request("a", "export", Urgency::Bulk) }, 40, 30);
  cr_assert_eq(bench.queue.Running(), 3);
}

Test(FairQueue, BacklogIsServedByWeight)
{
  Bench bench(6);
  bench.Flood({ bench.Request("heavy", "book", Urgency::Normal, 2),
                bench.Request("light", "book", Urgency::Normal, 1) },
              40, 60);
  const auto ratio = double(bench.served["heavy"]) / bench.served["light"];
  cr_assert(ratio > 1.8 && ratio < 2.2, "ratio %f", ratio);
}

Test(FairQueue, FloodOfOneKindLeavesThePlansOtherKind)
{
  Bench bench(4);
  for (int step = 0; step < 30; ++step) {
    for (int i = 0; i < 40; ++i) {
      bench.Offer(bench.Request("a", "book", Urgency::Urgent));
    }
    const auto read = bench.Offer(bench.Request("a", "read", Urgency::Normal));
    cr_assert(read, "step %d", step);
    bench.Step();
    cr_assert(read->state != TicketState::Waiting, "step %d", step);
  }
}

Test(FairQueue, FullQueuePushesOutTheLongestLanesNewest)
{
  Bench bench(1);
  const auto flood = bench.Request("flood", "book", Urgency::Urgent);
  std::vector<std::shared_ptr<Ticket>> flooding;
  flooding.reserve(33);
  // These bypass the early check, as happens when the service rate drops after
  // the check.
  for (int i = 0; i < 33; ++i) {
    flooding.push_back(bench.queue.Enter(flood, bench.now, [] {}));
  }
  const auto other = bench.queue.Enter(
    bench.Request("other", "book", Urgency::Urgent), bench.now, [] {});
  cr_assert(other->state == TicketState::Waiting);
  cr_assert(flooding.back()->state == TicketState::PushedOut);
  cr_assert(flooding[1]->state == TicketState::Waiting);
}

Test(FairQueue, RefusesAtOnceWhatCannotMeetItsDeadline)
{
  Bench bench(1);
  bench.Flood({ bench.Request("a", "book", Urgency::Normal) }, 2, 10);
  auto request = bench.Request("a", "book", Urgency::Normal);
  request.deadline = bench.now + Milliseconds(120);
  cr_assert_null(bench.Offer(request).get());
  cr_assert(bench.last.reason == wire::Reason::Deadline);
}

Test(FairQueue, RetryAfterSpreadsCallersAtTheDrainRate)
{
  Bench bench(1);
  bench.Flood({ bench.Request("a", "book", Urgency::Normal) }, 40, 20);
  for (int i = 0; i < 60; ++i) {
    bench.Step();
  }
  bench.Flood({ bench.Request("a", "book", Urgency::Normal) }, 8, 1);
  std::vector<std::uint32_t> waits;
  while (waits.size() < 3) {
    if (!bench.Offer(bench.Request("a", "book", Urgency::Normal))) {
      waits.push_back(bench.last.retryAfterMs);
    }
  }
  const auto place = 100 / bench.queue.Slots();
  for (int i = 1; i < 3; ++i) {
    cr_assert_float_eq(waits[i] - waits[i - 1], place, 2);
  }
}

Test(FairQueue, LongWorkLeavesSlotsToShortWork)
{
  Bench bench(4);
  bench.Offer(bench.Request("a", "read", Urgency::Normal));
  auto request = bench.Request("b", "film", Urgency::Normal);
  request.size = lists::SizeClass::Long;
  bench.Flood({ request }, 10, 10);
  cr_assert_eq(bench.queue.Running(), 3);
}

Test(FairQueue, request_on_a_silent_connection_keeps_no_slot_from_others)
{
  Bench bench(2);
  const auto booking = bench.Request("club", "booking", Urgency::Urgent);
  const auto first = bench.Offer(booking);
  const auto second = bench.Offer(booking);
  cr_assert_eq(first->state, TicketState::Running);
  cr_assert_eq(second->state, TicketState::Running);
  const auto third = bench.Offer(booking);
  cr_assert_eq(third->state, TicketState::Waiting);
  bench.now += bench.queue.OverdueAfter(first);
  bench.queue.Vacate(first, bench.now);
  cr_assert_eq(third->state, TicketState::Running);
  bench.queue.Finish(first, {}, bench.now);
  cr_assert_eq(bench.queue.Running(), 2);
}

Test(FairQueue, work_that_takes_long_is_not_overdue_once_its_hold_is_known)
{
  Bench bench(4);
  const auto booking = bench.Request("club", "booking", Urgency::Urgent);
  const auto slow = bench.Offer(booking);
  const auto before = bench.queue.OverdueAfter(slow);
  bench.now += Milliseconds(4000);
  bench.queue.Vacate(slow, bench.now);
  bench.queue.Finish(slow, { false, true, Milliseconds(4000) }, bench.now);
  const auto next =
    bench.Offer(bench.Request("club", "booking", Urgency::Urgent));
  cr_assert_eq(before, Milliseconds(1000));
  cr_assert_eq(bench.queue.OverdueAfter(next), Milliseconds(16000));
}

Test(FairQueue, service_that_turns_quiet_is_not_sent_ever_more_work)
{
  Bench bench(10);
  const auto booking = bench.Request("club", "booking", Urgency::Urgent);
  std::vector<std::shared_ptr<Ticket>> quiet;
  for (int i = 0; i < 30; ++i) {
    const auto ticket = bench.Offer(booking);
    cr_assert_not_null(ticket.get());
    if (ticket->state == TicketState::Running) {
      bench.queue.Vacate(ticket, bench.now);
    }
    quiet.push_back(ticket);
  }
  const auto atTargets =
    std::count_if(quiet.begin(), quiet.end(), [](const auto& aTicket) {
      return aTicket->state != TicketState::Waiting;
    });
  cr_assert_eq(atTargets, 20);
}

Test(FairQueue, WhatIsQueuedWaitsNoLongerThanTheLimit)
{
  Bench bench(4);
  std::vector<std::pair<std::shared_ptr<Ticket>, Clock::time_point>> queued;
  Clock::duration longest{};
  for (int step = 0; step < 100; ++step) {
    // The other plan sends bursts, so that the flood alternates between holding
    // all slots and holding few.
    for (int i = 0; i < 4 && step % 2 == 0; ++i) {
      bench.Offer(bench.Request("other", "read", Urgency::Normal));
    }
    for (int i = 0; i < 40; ++i) {
      const auto ticket =
        bench.Offer(bench.Request("flood", "book", Urgency::Normal));
      // In the first steps the queue has no estimate of the request duration.
      if (ticket && step >= 20) {
        queued.emplace_back(ticket, bench.now);
      }
    }
    bench.Step();
    std::erase_if(queued, [&](const auto& aQueued) {
      const auto& [ticket, since] = aQueued;
      const bool started = ticket->state != TicketState::Waiting;
      longest = std::max(longest, bench.now - since);
      return started;
    });
  }
  // The limit is 1 s; the clock advances in steps of 100 ms, so that one more
  // step is allowed.
  cr_assert_leq(longest, Milliseconds(1100), "waited %ld ms",
                std::chrono::duration_cast<Milliseconds>(longest).count());
}

Test(FairQueue, WorkWithinItsWeightDoesNotWaitForWorkAboveIt)
{
  Bench bench(4);
  for (int step = 0; step < 40; ++step) {
    if (step % 5 == 0) {
      bench.Offer(bench.Request("other", "read", Urgency::Normal));
    }
    bench.Flood({ bench.Request("flood", "book", Urgency::Urgent) }, 40, 1);
  }
  const auto flooding = bench.queue.Running();
  cr_assert_geq(flooding, 4);
  for (int i = 0; i < 3; ++i) {
    const auto ticket =
      bench.Offer(bench.Request("other", "read", Urgency::Normal));
    cr_assert(ticket && ticket->state == TicketState::Running, "burst %d", i);
  }
  cr_assert_eq(bench.queue.Running(), flooding + 3);
}

Test(FairQueue, WorkWithinItsWeightStaysWithinTheSlots)
{
  Bench bench(4);
  // Eight plans, each with credit, together offer more requests than there are
  // slots.
  for (int step = 0; step < 30; ++step) {
    for (int plan = 0; plan < 8; ++plan) {
      bench.Offer(bench.Request(std::to_string(plan), "read", Urgency::Normal));
    }
    cr_assert_leq(static_cast<double>(bench.queue.Running()),
                  bench.queue.Slots());
    bench.Step();
  }
}

Test(FairQueue, UrgentFloodWithSavedCreditLeavesABurstOfOtherWorkAlone)
{
  Bench bench(4);
  const auto offerOther = [&bench] {
    return bench.Offer(bench.Request("other", "export", Urgency::Bulk));
  };
  for (int step = 0; step < 40; ++step) {
    bench.Offer(bench.Request("flood", "book", Urgency::Urgent));
    offerOther();
    bench.Step();
  }
  // The flood uses up its credit until that no longer covers its backlog.
  for (int step = 0; step < 14; ++step) {
    offerOther();
    bench.Flood({ bench.Request("flood", "book", Urgency::Urgent) }, 80, 1);
  }
  std::vector<std::shared_ptr<Ticket>> burst;
  burst.reserve(6);
  for (int i = 0; i < 6; ++i) {
    burst.push_back(offerOther());
  }
  bench.Flood({ bench.Request("flood", "book", Urgency::Urgent) }, 80, 1);
  for (const auto& ticket : burst) {
    cr_assert(ticket && ticket->state != TicketState::Waiting);
  }
}
