// Distribution of the successor records of stopped owners.

#include "unittests/Flow/TestNode.h"

#include <criterion/criterion.h>

using namespace bramleylock;
using namespace bramleylock::flow;

/// More balancers than the summary of a failure domain lists.
static constexpr std::size_t kSouth = 11;

/// By then, new balancers request records only at the longer interval, so that
/// the test does not depend on these requests.
static constexpr Milliseconds kSettled{ 6500 };
static constexpr Milliseconds kPassedOn{ 1500 };

Test(Continuations, ARecordReachesMembersThatItsOwnerDoesNotKnow)
{
  asio::io_context context(1);
  std::vector<std::unique_ptr<Node>> south;
  std::vector<peer::MemberHint> hints;
  for (std::size_t i = 0; i < kSouth; ++i) {
    const auto name = "south-" + std::to_string(i);
    south.push_back(std::make_unique<Node>(context, name, "south"));
    hints.push_back({ name, "south", south.back()->self.address });
  }
  Node owner(context, "north-0", "north");
  hints.push_back({ "north-0", "north", owner.self.address });
  owner.members.SetHints(hints);
  owner.Start();
  for (const auto& node : south) {
    node->members.SetHints(hints);
    node->Start();
  }
  context.run_for(kSettled);
  cr_assert_lt(owner.members.Alive().size(), kSouth);
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
