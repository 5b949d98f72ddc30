// Finds the target of a packet from the tag of a first packet. That tag shows
// which target answered the client last. If the first packet went to several
// targets, this may not be the one at which the client opened the flow.

#include "bramleylock/Forward/Forwarder.h"

#include "bramleylock/Support/Log.h"

#include <fmt/format.h>

#include <utility>

namespace bramleylock::forward {

/// Time for which targets repeat their answer to a first packet, rounded up.
static constexpr std::chrono::seconds kLateAnswerPeriod{ 10 };

auto Forwarder::SetContestedFlowListener(ContestedFlowListener aListener)
  -> void
{
  m_contestedFlowListener = std::move(aListener);
}

auto Forwarder::SetContestedFlowsKnownFrom(Clock::time_point aFrom) -> void
{
  m_contestedFlowsKnownFrom = aFrom;
}

auto Forwarder::OnContestedFlow(const ContestedFlow& aFlow) -> void
{
  m_contestedFlows.Record(aFlow);
}

/// Records that the first packet aPacket goes to another target than a copy of
/// it, or may do so because a peer handled that copy.
auto Forwarder::ContestFlow(const Packet& aPacket, Clock::time_point aNow)
  -> void
{
  const ContestedFlow flow{ aPacket.flow, aPacket.sequence, 0, aNow };
  if (!m_contestedFlows.Record(flow)) {
    return;
  }
  m_metrics.Add(Counter::FlowsContested);
  m_contestedFlowNews.push_back(flow);
}

auto Forwarder::HasOpeningTagOf(const Packet& aPacket,
                                const ContestedFlow& aFlow) -> bool
{
  return m_targets.Lookup(OpeningTag(aPacket.tag, aFlow.openingSequence),
                          aPacket.flow.service, m_routes) != nullptr;
}

/// Returns whether the client has opened the flow of the first packet aPacket
/// by another copy of it.
auto Forwarder::IsSettled(const Packet& aPacket) const -> bool
{
  const auto* contested = m_contestedFlows.Find(aPacket.flow);
  return contested != nullptr && contested->target != 0 &&
         contested->openingSequence == aPacket.sequence;
}

/// Records that the client opened a contested flow at aTarget: aPacket is the
/// first one after the handshake.
auto Forwarder::SettleContestedFlow(const Packet& aPacket,
                                    const DirectoryEntry& aTarget) -> void
{
  const auto* known = m_contestedFlows.Find(aPacket.flow);
  if (known == nullptr || known->target != 0 ||
      !HasOpeningTagOf(aPacket, *known)) {
    return;
  }
  auto flow = *known;
  flow.target = aTarget.tag;
  m_contestedFlows.Record(flow);
  m_contestedFlowNews.push_back(flow);
  if (ShouldLog(LogLevel::Info, "contested-flow-settled")) {
    LogInfo("contested-flow-settled", { { "flow", FormatFlow(flow.id) },
                                        { "target", aTarget.record.id } });
  }
}

auto Forwarder::SendContestedFlowNews() -> void
{
  if (!m_contestedFlowNews.empty()) {
    m_contestedFlowListener(std::exchange(m_contestedFlowNews, {}));
  }
}

/// Returns the sequence number of the first packet of the flow of aPacket. The
/// first packets of a request may overtake each other, so a balancer that has
/// just sent the first packet uses that one. Otherwise, aPacket has to be the
/// packet after it.
auto Forwarder::OpeningSequenceOf(const Packet& aPacket,
                                  const TrackedFlow* aFlow,
                                  Clock::time_point aNow) const -> std::uint32_t
{
  const auto opening =
    aFlow != nullptr && aNow - aFlow->firstSentAt < kFirstPacketLifetime
      ? m_codec.Decode(aFlow->firstPacket.data(), aFlow->firstPacket.size())
      : std::nullopt;
  return opening ? opening->sequence : aPacket.sequence - 1;
}

/// Returns the target that the tag of aPacket named when the client sent it for
/// the first time, if that is known to have been dropped here; otherwise null.
/// aPacket has to be the one after the first packet of its flow, whose sequence
/// number is aOpeningSequence.
auto Forwarder::TargetOfFirstSending(const Packet& aPacket,
                                     std::uint32_t aOpeningSequence,
                                     Clock::time_point aNow) -> DirectoryEntry*
{
  if (aPacket.sequence != aOpeningSequence + 1) {
    return nullptr;
  }
  const auto tag = m_uncertainPackets.Record(aPacket, aNow);
  return tag == 0 ? nullptr
                  : m_targets.Lookup(OpeningTag(tag, aOpeningSequence),
                                     aPacket.flow.service, m_routes);
}

/// Returns the target of a packet with the tag of a first packet of the
/// contested flow aContested. As long as no balancer has reported where the
/// flow opened, the tag is correct only in the first packet after the
/// handshake.
auto Forwarder::TargetOfContested(const Packet& aPacket,
                                  const ContestedFlow& aContested,
                                  const TrackedFlow* aFlow,
                                  Clock::time_point aNow) -> TargetOfTag
{
  const auto& service = aPacket.flow.service;
  auto* tagged = m_targets.Lookup(
    OpeningTag(aPacket.tag, aContested.openingSequence), service, m_routes);
  if (aContested.target == 0 && aFlow != nullptr) {
    return { tagged, false };
  }
  if (aContested.target == 0) {
    auto* first =
      TargetOfFirstSending(aPacket, aContested.openingSequence, aNow);
    // No client repeats a packet as soon as this after its flow has opened.
    const bool isFirst = aNow - aContested.since < kMinRepetitionDelay;
    auto* target = first == nullptr && isFirst ? tagged : first;
    return { target, target == nullptr };
  }
  auto* target = m_targets.Lookup(aContested.target, service, m_routes);
  if (target != tagged) {
    m_metrics.Add(Counter::PacketTagCorrected);
    if (ShouldLog(LogLevel::Info, "tag-corrected")) {
      LogInfo("tag-corrected",
              { { "flow", FormatFlow(aPacket.flow) },
                { "answered", tagged->record.id },
                { "target",
                  target == nullptr ? std::string() : target->record.id } });
    }
  }
  return { target, target == nullptr };
}

/// Returns the target that the tag of aPacket names. Only the packets of the
/// first request may carry the tag of a first packet. In a later packet, that
/// tag is from a late answer of another target that also got the first packet,
/// and that target would reset the flow. The same holds for a repetition of the
/// first request if the flow is contested.
auto Forwarder::TargetOf(const Packet& aPacket, const TrackedFlow* aFlow,
                         Clock::time_point aNow) -> TargetOfTag
{
  const auto* contested = m_contestedFlows.Find(aPacket.flow);
  if (contested != nullptr && HasOpeningTagOf(aPacket, *contested)) {
    return TargetOfContested(aPacket, *contested, aFlow, aNow);
  }
  const auto& service = aPacket.flow.service;
  const auto openingTag =
    OpeningTag(aPacket.tag, OpeningSequenceOf(aPacket, aFlow, aNow));
  auto* target = m_targets.Lookup(openingTag, service, m_routes);
  if (target == nullptr) {
    return { m_targets.Lookup(aPacket.tag, service, m_routes), false };
  }
  // A peer may have found that the flow is contested before this balancer heard
  // its peers.
  const bool mayBeContested =
    aFlow == nullptr && aNow - kLateAnswerPeriod < m_contestedFlowsKnownFrom;
  if (mayBeContested) {
    target = TargetOfFirstSending(aPacket, aPacket.sequence - 1, aNow);
  }
  return { target, target == nullptr };
}

} // namespace bramleylock::forward
