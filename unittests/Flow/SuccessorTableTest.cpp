// Distribution of the successor records of stopped owners.

#include "unittests/Flow/TestNode.h"

#include <criterion/criterion.h>

using namespace bramleylock;
using namespace bramleylock::flow;

/// More balancers than the summary of a failure domain lists.
static constexpr std::size_t kSouthBalancers = 11;

/// By then, new balancers request records only at the longer interval, so that
/// the test does not depend on these requests.
static constexpr Milliseconds kSettled{ 6500 };
static constexpr Milliseconds kDistributionTime{ 1500 };

Test(SuccessorTable, RecordReachesMembersUnknownToItsOwner)
{
  asio::io_context context(1);
  std::vector<std::unique_ptr<TestNode>> south;
  std::vector<peer::MemberCandidate> hints;
  for (std::size_t i = 0; i < kSouthBalancers; ++i) {
    const auto name = "south-" + std::to_string(i);
    south.push_back(std::make_unique<TestNode>(context, name, "south"));
    hints.push_back({ name, "south", south.back()->self.address });
  }
  TestNode owner(context, "north-0", "north");
  hints.push_back({ "north-0", "north", owner.self.address });
  owner.members.SetCandidates(hints);
  owner.Start();
  for (const auto& node : south) {
    node->members.SetCandidates(hints);
    node->Start();
  }
  context.run_for(kSettled);
  cr_assert_lt(owner.members.AliveMembers().size(), kSouthBalancers);
  const auto from = OwnerOf(owner.self);
  const auto to = OwnerOf(south[0]->self);
  Spawn(context, "announce",
        owner.successors.Announce(to, Clock::now() + kDistributionTime));
  context.run_for(kDistributionTime);
  for (const auto& node : south) {
    cr_assert(node->successors.Resolve(from) == to, "%s",
              node->self.vm.c_str());
  }
}
