// Helpers that unpack peer messages before they reach their handlers.
#pragma once

#include <functional>
#include <string>
#include <utility>

#include "bramleylock/Peer/PeerLinks.h"
#include "bramleylock/Support/Counters.h"
#include "bramleylock/Support/Log.h"

namespace bramleylock::peer {

/// Counts and logs a message from aSender that cannot be unpacked. The sender
/// may run a different version.
inline auto ReportMalformed(Metrics& aMetrics, const wire::Hello& aSender)
  -> void
{
  aMetrics.Add(Counter::PeerFrameMalformed);
  LogWarning("peer-message-malformed", { { "peer", aSender.vm } });
}

/// Wraps aHandler, which takes a Message, in a handler that takes the packed
/// body. A body that cannot be unpacked is reported as malformed.
template<typename Message, typename Handler>
auto UnpackingHandler(Metrics& aMetrics, Handler aHandler) -> MessageHandler
{
  return [&aMetrics, handler = std::move(aHandler)](const wire::Hello& aSender,
                                                    const std::string& aBody) {
    const auto message = wire::UnpackBody<Message>(aBody);
    if (message) {
      handler(aSender, *message);
    } else {
      ReportMalformed(aMetrics, aSender);
    }
  };
}

/// Sets a handler for aType that receives the unpacked message.
template<typename Message, typename Handler>
auto SetMessageHandler(PeerLinks& aLinks, wire::MessageType aType,
                       Metrics& aMetrics, Handler aHandler) -> void
{
  aLinks.On(aType, UnpackingHandler<Message>(aMetrics, std::move(aHandler)));
}

} // namespace bramleylock::peer
