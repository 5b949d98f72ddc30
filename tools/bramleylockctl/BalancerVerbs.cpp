// The commands on balancers and their keys.

#include "tools/bramleylockctl/BalancerVerbs.h"

#include "bramleylock/Support/Random.h"

#include <fmt/format.h>

#include <iostream>

namespace bramleylock::ctl {

using nlohmann::json;

auto ShowStatus(const Session& aSession) -> int
{
  return PrintEach(aSession, "GET", "/status");
}

auto ShowTargets(const Session& aSession) -> int
{
  return PrintEach(aSession, "GET", "/targets");
}

auto ShowTarget(const Session& aSession) -> int
{
  const auto path = "/targets?id=" + aSession.words[1];
  return PrintEach(aSession, "GET", path.c_str());
}

auto ShowCounters(const Session& aSession) -> int
{
  return PrintEach(aSession, "GET", "/counters");
}

auto StartDrain(const Session& aSession) -> int
{
  return PrintEach(aSession, "POST", "/drain");
}

auto RotateKeys(const Session& aSession) -> int
{
  json answer;
  const auto status = Call(aSession, aSession.servers.front(), "POST",
                           "/keys/rotate", "", answer);
  if (status != 202) {
    const auto result = PrintError(answer);
    return status == 409 ? Conflict : result;
  }
  std::cout << answer.dump() << "\n";
  return Success;
}

auto NewCredential(const Session& aSession) -> int
{
  const auto secret = SecureRandomIdentifier();
  fmt::print("credential={}.{}\nsecret_hash={}\n", aSession.words[1], secret,
             Blake2bHex(secret));
  return Success;
}

} // namespace bramleylock::ctl
