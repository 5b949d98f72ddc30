// Messages of peers, unpacked for their handlers.
#pragma once

#include <functional>
#include <string>
#include <utility>

#include "bramleylock/Peer/PeerLinks.h"
#include "bramleylock/Support/Counters.h"
#include "bramleylock/Support/Log.h"

namespace bramleylock::peer {

/// Counts and logs a message of aSender that cannot be used; its version may be
/// another.
inline auto NoteMalformed(Metrics& aMetrics, const wire::Hello& aSender) -> void
{
  aMetrics.Add(Counter::PeerFrameMalformed);
  LogWarning("peer-message-malformed", { { "peer", aSender.vm } });
}

/// Wraps aHandler, which takes a Message, into one that takes its body. A body
/// that is none is noted as malformed.
template<typename Message, typename Handler>
auto Unpacked(Metrics& aMetrics, Handler aHandler) -> MessageHandler
{
  return [&aMetrics, handler = std::move(aHandler)](const wire::Hello& aSender,
                                                    const std::string& aBody) {
    const auto message = wire::UnpackBody<Message>(aBody);
    if (message) {
      handler(aSender, *message);
    } else {
      NoteMalformed(aMetrics, aSender);
    }
  };
}

/// Sets the handler of aType to one that gets the message itself.
template<typename Message, typename Handler>
auto Receive(PeerLinks& aLinks, wire::MessageType aType, Metrics& aMetrics,
             Handler aHandler) -> void
{
  aLinks.On(aType, Unpacked<Message>(aMetrics, std::move(aHandler)));
}

} // namespace bramleylock::peer
