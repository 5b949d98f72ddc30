// Authorization of request packets against the plan and service lists.

#include "bramleylock/Flow/Authorization.h"

#include "bramleylock/Support/Random.h"

#include <algorithm>

namespace bramleylock::flow {

using wire::Reason;

static auto Check(const Environment& aEnvironment, const wire::Packet& aPacket,
                  Authorization& aResult) -> Reason
{
  const auto lists = aEnvironment.lists.Current();
  if (!lists || aEnvironment.keys.Empty()) {
    return Reason::NotReady;
  }
  const auto dot = aPacket.credential.find('.');
  if (dot == std::string::npos) {
    return Reason::Credential;
  }
  aResult.plan = aPacket.credential.substr(0, dot);
  const auto plan = lists->plans.find(aResult.plan);
  if (plan == lists->plans.end() ||
      !ConstantTimeEqual(Blake2bHex(aPacket.credential.substr(dot + 1)),
                         plan->second.secretHash)) {
    return Reason::Credential;
  }
  const auto service = lists->services.find(aPacket.service);
  if (service == lists->services.end()) {
    return Reason::Service;
  }
  const auto& allowed = service->second.plans;
  if (std::find(allowed.begin(), allowed.end(), aResult.plan) ==
      allowed.end()) {
    return Reason::NotAllowed;
  }
  const auto work = service->second.works.find(aPacket.work);
  if (work == service->second.works.end()) {
    return Reason::Work;
  }
  aResult.work = work->second;
  if (aPacket.payload.size() > wire::kMaxRequestPayloadBytes) {
    return Reason::TooLarge;
  }
  return Reason::None;
}

auto Authorize(const Environment& aEnvironment, const wire::Packet& aPacket)
  -> Authorization
{
  Authorization result;
  result.refusal = Check(aEnvironment, aPacket, result);
  return result;
}

} // namespace bramleylock::flow
