// Commands that show and drain balancers, rotate keys and create credentials.

#include "tools/bramleylockctl/BalancerCommands.h"

#include "bramleylock/Support/Random.h"

#include <fmt/format.h>

#include <iostream>

namespace bramleylock::ctl {

using nlohmann::json;

auto ShowStatus(const CommandContext& aContext) -> int
{
  return PrintFromEachServer(aContext, "GET", "/status");
}

auto ShowTargets(const CommandContext& aContext) -> int
{
  return PrintFromEachServer(aContext, "GET", "/targets");
}

auto ShowTarget(const CommandContext& aContext) -> int
{
  const auto path = "/targets?id=" + aContext.arguments[1];
  return PrintFromEachServer(aContext, "GET", path.c_str());
}

auto ShowCounters(const CommandContext& aContext) -> int
{
  return PrintFromEachServer(aContext, "GET", "/counters");
}

auto StartDrain(const CommandContext& aContext) -> int
{
  return PrintFromEachServer(aContext, "POST", "/drain");
}

auto RotateKeys(const CommandContext& aContext) -> int
{
  json answer;
  const auto status = CallServer(aContext, aContext.servers.front(), "POST",
                                 "/keys/rotate", "", answer);
  if (status != 202) {
    const auto result = PrintError(answer);
    return status == 409 ? Conflict : result;
  }
  std::cout << answer.dump() << "\n";
  return Success;
}

auto NewCredential(const CommandContext& aContext) -> int
{
  const auto secret = SecureRandomIdentifier();
  fmt::print("credential={}.{}\nsecret_hash={}\n", aContext.arguments[1],
             secret, Blake2bHex(secret));
  return Success;
}

} // namespace bramleylock::ctl
