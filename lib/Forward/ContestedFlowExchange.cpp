// Converts contested flows to peer messages and back.

#include "bramleylock/Forward/ContestedFlowExchange.h"

#include "bramleylock/Peer/Receive.h"

namespace bramleylock::forward {

static auto RecordOf(const ContestedFlow& aFlow) -> ContestedFlowRecord
{
  return { aFlow.id.client.ip,    aFlow.id.client.port,  aFlow.id.service.ip,
           aFlow.id.service.port, aFlow.openingSequence, aFlow.target };
}

static auto FlowOf(const ContestedFlowRecord& aRecord, Clock::time_point aNow)
  -> ContestedFlow
{
  return { { { aRecord.clientIp, aRecord.clientPort },
             { aRecord.serviceIp, aRecord.servicePort } },
           aRecord.openingSequence,
           aRecord.target,
           aNow };
}

auto ExchangeContestedFlows(Forwarder& aForwarder, peer::Broadcast& aBroadcast,
                            Metrics& aMetrics) -> void
{
  aForwarder.SetContestedFlowListener(
    [&aBroadcast](const std::vector<ContestedFlow>& aFlows) {
      ContestedFlowsUpdate update;
      for (const auto& flow : aFlows) {
        update.flows.push_back(RecordOf(flow));
      }
      aBroadcast.SendToAll(wire::MessageType::ContestedFlows,
                           wire::PackBody(update));
    });
  aBroadcast.On(wire::MessageType::ContestedFlows,
                peer::UnpackingHandler<ContestedFlowsUpdate>(
                  aMetrics, [&aForwarder](const wire::Hello&,
                                          const ContestedFlowsUpdate& aUpdate) {
                    const auto now = Clock::now();
                    for (const auto& record : aUpdate.flows) {
                      aForwarder.OnContestedFlow(FlowOf(record, now));
                    }
                  }));
}

} // namespace bramleylock::forward
