// Replies in JSON with names that come from peers.

#include "bramleylock/Kernel/AdminApi.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

using namespace bramleylock;

/// The status query was cut off when a peer's name was no UTF-8.
Test(AdminReply, NameThatIsNoUtf8IsReplaced)
{
  const auto reply =
    kernel::ReplyJson(200, { { "vm", "\xff" }, { "members", 2 } });
  cr_assert(nlohmann::json::parse(reply.body)["members"] == 2);
}
