// How the records of stopped owners reach every balancer.

#include "unittests/Flow/TestNode.h"

#include <criterion/criterion.h>

using namespace bramleylock;
using namespace bramleylock::flow;

/// More balancers than a failure domain's summary names.
static constexpr std::size_t kSouth = 11;

/// Until new balancers ask their peers only now and then.
static constexpr Milliseconds kSettled{ 6500 };
static constexpr Milliseconds kPassedOn{ 1500 };

Test(Continuations, ARecordReachesMembersThatItsOwnerDoesNotKnow)
{
  asio::io_context context(1);
  std::vector<std::unique_ptr<Node>> south;
  std::vector<peer::MemberCandidate> hints;
  for (std::size_t i = 0; i < kSouth; ++i) {
    const auto name = "south-" + std::to_string(i);
    south.push_back(std::make_unique<Node>(context, name, "south"));
    hints.push_back({ name, "south", south.back()->self.address });
  }
  Node owner(context, "north-0", "north");
  hints.push_back({ "north-0", "north", owner.self.address });
  owner.members.SetCandidates(hints);
  owner.Start();
  for (const auto& node : south) {
    node->members.SetCandidates(hints);
    node->Start();
  }
  context.run_for(kSettled);
  cr_assert_lt(owner.members.AliveMembers().size(), kSouth);
  const auto from = OwnerOf(owner.self);
  const auto to = OwnerOf(south[0]->self);
  Spawn(context, "announce",
        owner.continuations.Announce(to, Clock::now() + kPassedOn));
  context.run_for(kPassedOn);
  for (const auto& node : south) {
    cr_assert(node->continuations.Resolve(from) == to, "%s",
              node->self.vm.c_str());
  }
}
