// Broadcast trees, duplicate detection and byte rate limits.

#include "bramleylock/Peer/FanOut.h"

#include <criterion/criterion.h>

#include <deque>

using namespace bramleylock;
using namespace bramleylock::peer;

Test(FanOut, TreeReachesEachNodeOnce)
{
  std::vector<std::string> nodes;
  nodes.reserve(857);
  for (int i = 0; i < 857; ++i) {
    nodes.push_back("10.0.0." + std::to_string(i));
  }
  std::map<std::string, int> depths{ { nodes[5], 0 } };
  std::deque<std::string> pending{ nodes[5] };
  while (!pending.empty()) {
    const auto node = pending.front();
    pending.pop_front();
    const auto children = ChildrenInTree(TreeRootedAt(nodes[5]), node, nodes);
    cr_assert_leq(children.size(), kFanOut);
    for (const auto& child : children) {
      cr_assert(depths.emplace(child, depths[node] + 1).second);
      cr_assert_leq(depths[child], 7);
      pending.push_back(child);
    }
  }
  cr_assert_eq(depths.size(), nodes.size());
}

Test(FanOut, RepeatedAndOlderMessagesAreNotNew)
{
  SeenMessages seen;
  cr_assert(seen.RecordIfNew("a", 1, 2));
  cr_assert(!seen.RecordIfNew("a", 1, 2));
  cr_assert(!seen.RecordIfNew("a", 1, 1));
  cr_assert(seen.RecordIfNew("a", 2, 1));
  cr_assert(seen.RecordIfNew("b", 1, 1));
}

Test(FanOut, OverdrawnLimiterRejectsUntilItHasRefilled)
{
  ByteRateLimiter limiter(100, 1000);
  const auto start = Clock::now();
  cr_assert(limiter.TryConsume(1100, start));
  cr_assert(!limiter.TryConsume(1, start + Milliseconds(900)));
  cr_assert(limiter.TryConsume(1, start + Milliseconds(1100)));
}
