// The messages that balancers send each other, packed with msgpack.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include <msgpack.hpp>

#include "bramleylock/Support/Names.h"

namespace bramleylock::wire {

enum class MessageType
{
  Hello,
  Acknowledgement,
  ForwardedDatagram,
  Heartbeat,
  Lists,
  Keys,
  ListsRequest,
  HandOver,
  HandOverReply,
  SuccessorRecords,
  SuccessorRecordsReply,
  SuccessorRecordsRequest,
  Probe,
  ProbeAnswer,
  ProbeRequest,
  MemberSync,
  WatcherNotice,
  VmList,
  VmListRequest,
  AllowanceRequest,
  AllowanceGrant,
  Routing,
  RoutingRequest,
  TargetSilence,
  RoutingAnswer,
  ContestedFlows
};

inline constexpr std::array<NameRow<MessageType>, 26> kMessageTypeNames{ {
  { MessageType::Hello, "hello" },
  { MessageType::Acknowledgement, "received" },
  { MessageType::ForwardedDatagram, "forwarded" },
  { MessageType::Heartbeat, "heartbeat" },
  { MessageType::Lists, "lists" },
  { MessageType::Keys, "keys" },
  { MessageType::ListsRequest, "lists-request" },
  { MessageType::HandOver, "hand-over" },
  { MessageType::HandOverReply, "hand-over-reply" },
  { MessageType::SuccessorRecords, "continues" },
  { MessageType::SuccessorRecordsReply, "continues-reply" },
  { MessageType::SuccessorRecordsRequest, "continues-request" },
  { MessageType::Probe, "probe" },
  { MessageType::ProbeAnswer, "probe-answer" },
  { MessageType::ProbeRequest, "probe-request" },
  { MessageType::MemberSync, "member-sync" },
  { MessageType::WatcherNotice, "watcher-notice" },
  { MessageType::VmList, "vms" },
  { MessageType::VmListRequest, "vms-request" },
  { MessageType::AllowanceRequest, "allowance-request" },
  { MessageType::AllowanceGrant, "allowance-grant" },
  { MessageType::Routing, "routing" },
  { MessageType::RoutingRequest, "routing-request" },
  { MessageType::TargetSilence, "target-silence" },
  { MessageType::RoutingAnswer, "routing-answer" },
  { MessageType::ContestedFlows, "contested-flows" },
} };

/// Identifies the sender of a link. It is the first message that the connecting
/// end sends, and is sent again when the sender's identity changes.
struct Hello
{
  std::string vm;
  std::string failureDomain;
  /// "ip:port" of the sender's peer listener.
  std::string address;
  std::uint64_t incarnation = 0;
  /// Class of the VM's processor and network capacity; higher is faster, and 0
  /// is unknown.
  std::uint8_t capacityClass = 0;
  MSGPACK_DEFINE_ARRAY(vm, failureDomain, address, incarnation, capacityClass)
};

/// Acknowledges messages: the number that the accepting end has read on this
/// link.
struct Acknowledgement
{
  std::uint64_t count = 0;
  MSGPACK_DEFINE_ARRAY(count)
};

/// A caller's datagram that is forwarded to the owner of its flow.
struct ForwardedDatagram
{
  /// "ip:port" of the caller.
  std::string caller;
  std::string datagram;
  /// How many times the datagram was forwarded before.
  std::uint32_t hops = 0;
  MSGPACK_DEFINE_ARRAY(caller, datagram, hops)
};

/// Reports that the sender is alive, and its local state.
struct Heartbeat
{
  std::uint64_t listsRevision = 0;
  /// Highest id of the sender's token keys; 0 if it has none.
  std::uint32_t newestKeyId = 0;
  bool draining = false;
  /// Requests in flight by target address.
  std::vector<std::pair<std::string, std::uint32_t>> inFlight;
  /// Requests per second that the sender sends to targets, by service.
  std::vector<std::pair<std::string, float>> requestRates;
  /// Targets whose draining the sender detected itself.
  std::vector<std::string> drainingTargets;
  /// Hash of the lists, which distinguishes lists of the same revision.
  std::uint64_t listsDigest = 0;
  /// Number of running and waiting requests by service. Services without any
  /// are omitted.
  std::vector<std::pair<std::string, std::uint32_t>> demand;
  /// Id of the token key with which the sender signs; 0 if it has none.
  std::uint32_t signingKeyId = 0;
  MSGPACK_DEFINE_ARRAY(listsRevision, newestKeyId, draining, inFlight,
                       requestRates, drainingTargets, listsDigest, demand,
                       signingKeyId)
};

/// The state of a balancer as reported by another one or by itself.
struct MemberRecord
{
  std::string vm;
  std::string failureDomain;
  std::string address;
  std::uint64_t incarnation = 0;
  /// Incremented only by the balancer itself, to replace an earlier record
  /// about it within the same incarnation.
  std::uint64_t refutation = 0;
  /// A peer::MemberState.
  std::uint8_t state = 0;
  bool draining = false;
  /// See Hello.
  std::uint8_t capacityClass = 0;
  MSGPACK_DEFINE_ARRAY(vm, failureDomain, address, incarnation, refutation,
                       state, draining, capacityClass)
};

/// A summary of a failure domain for the other domains.
struct DomainSummary
{
  std::string failureDomain;
  std::uint64_t version = 0;
  /// Hash of the fields below.
  std::uint64_t contentsHash = 0;
  /// Number of live balancers in the domain.
  std::uint32_t aliveCount = 0;
  /// Some of the live balancers, with the domain's relays first. Empty in a
  /// short summary, whose fields other than the version are unchanged.
  std::vector<MemberRecord> members;
  /// The lowest id among the newest token keys of the live balancers.
  std::uint32_t lowestKeyId = 0;
  /// The lowest id among the keys with which the live balancers sign.
  std::uint32_t lowestSigningKeyId = 0;
  MSGPACK_DEFINE_ARRAY(failureDomain, version, contentsHash, aliveCount,
                       members, lowestKeyId, lowestSigningKeyId)
};

/// The body of heartbeats; also part of probes and their answers.
struct Gossip
{
  Heartbeat heartbeat;
  /// Whether the heartbeat includes the requests in flight.
  bool hasInFlight = false;
  /// The sender's refutation number.
  std::uint64_t refutation = 0;
  /// Hash of the members of the sender's failure domain that it considers
  /// alive.
  std::uint64_t digest = 0;
  std::vector<MemberRecord> updates;
  std::vector<DomainSummary> domains;
  MSGPACK_DEFINE_ARRAY(heartbeat, hasInFlight, refutation, digest, updates,
                       domains)
};

/// Asks the receiver to answer.
struct Probe
{
  std::uint64_t sequence = 0;
  Gossip gossip;
  MSGPACK_DEFINE_ARRAY(sequence, gossip)
};

/// Answers a probe, or reports that the balancer at address `probedAddress` has
/// answered an indirect probe.
struct ProbeAnswer
{
  std::uint64_t sequence = 0;
  std::string probedAddress;
  Gossip gossip;
  MSGPACK_DEFINE_ARRAY(sequence, probedAddress, gossip)
};

/// Asks the receiver to probe the balancer at address `probedAddress`.
struct ProbeRequest
{
  std::uint64_t sequence = 0;
  std::string probedAddress;
  MSGPACK_DEFINE_ARRAY(sequence, probedAddress)
};

/// Member records outside of gossip: those of a whole failure domain, for
/// joining and for repairing missed updates, or a single one, for a receiver in
/// another domain or one that was replaced or declared dead.
struct MemberSync
{
  bool answerRequested = false;
  std::vector<MemberRecord> records;
  MSGPACK_DEFINE_ARRAY(answerRequested, records)
};

/// The lists, or the entries that changed after a base revision.
struct ListsMessage
{
  /// The revision that a receiver must have to apply the message; 0 if the
  /// message contains the complete lists.
  std::uint64_t baseRevision = 0;
  std::uint64_t revision = 0;
  /// Digest of the sender's complete lists.
  std::uint64_t digest = 0;
  /// Address of the balancer that first sent the message; empty in an answer to
  /// a ListsRequest.
  std::string origin;
  std::string document;
  MSGPACK_DEFINE_ARRAY(baseRevision, revision, digest, origin, document)
};

/// Heartbeat of a balancer that watches the platform's store, with digests of
/// its data. It is relayed within the watcher's failure domain.
struct WatcherNotice
{
  /// Address and incarnation of the watcher, and the sequence number of the
  /// notice.
  std::string origin;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  /// Whether the store answered the watcher recently.
  bool storeAnswers = false;
  std::uint64_t listsRevision = 0;
  std::uint64_t listsDigest = 0;
  std::uint64_t vmsDigest = 0;
  MSGPACK_DEFINE_ARRAY(origin, incarnation, sequence, storeAnswers,
                       listsRevision, listsDigest, vmsDigest)
};

/// One entry of the VM list.
struct VmEntry
{
  std::string name;
  std::uint8_t role = 0;
  std::string service;
  std::string failureDomain;
  std::string address;
  bool leaving = false;
  MSGPACK_DEFINE_ARRAY(name, role, service, failureDomain, address, leaving)
  auto operator==(const VmEntry&) const -> bool = default;
};

/// Changes to the VM list, or the complete list.
struct VmListMessage
{
  bool complete = false;
  /// Address and incarnation of the balancer that first sent the message, and
  /// the message's sequence number there. An answer to VmListRequest has no
  /// origin.
  std::string origin;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  std::vector<VmEntry> rows;
  /// Addresses that are no longer listed.
  std::vector<std::string> removed;
  MSGPACK_DEFINE_ARRAY(complete, origin, incarnation, sequence, rows, removed)
};

/// Asks for the complete VM list; carries the digest of the sender's list.
struct VmListRequest
{
  std::uint64_t haveDigest = 0;
  MSGPACK_DEFINE_ARRAY(haveDigest)
};

/// Token keys by id, in hexadecimal digits.
struct KeysMessage
{
  std::vector<std::pair<std::uint32_t, std::string>> keys;
  MSGPACK_DEFINE_ARRAY(keys)
};

/// Asks for the receiver's lists and keys.
struct ListsRequest
{
  std::uint64_t haveRevision = 0;
  std::uint64_t haveDigest = 0;
  MSGPACK_DEFINE_ARRAY(haveRevision, haveDigest)
};

/// The owner of a flow as flow tokens name it: one incarnation of a balancer.
struct Owner
{
  /// "ip:port" of its peer listener.
  std::string address;
  std::uint64_t incarnation = 0;
  auto operator==(const Owner& aOther) const -> bool
  {
    return address == aOther.address && incarnation == aOther.incarnation;
  }
  auto operator<(const Owner& aOther) const -> bool
  {
    return std::tie(address, incarnation) <
           std::tie(aOther.address, aOther.incarnation);
  }
  MSGPACK_DEFINE_ARRAY(address, incarnation)
};

/// The final outcome of an at-most-once request of a flow that is handed over.
struct TransferredOutcome
{
  std::uint32_t sequence = 0;
  /// The datagrams that report the outcome to the caller.
  std::vector<std::string> datagrams;
  /// For how much longer the outcome is kept.
  std::uint32_t keepMs = 0;
  MSGPACK_DEFINE_ARRAY(sequence, datagrams, keepMs)
};

/// A repeatable request that the receiver of a hand-over continues.
struct TransferredRequest
{
  /// The request packet. Its `part` is the first part that the caller has not
  /// received.
  std::string datagram;
  std::string plan;
  /// "ip:port" of the caller.
  std::string caller;
  /// The token that the caller uses for this request.
  std::string token;
  std::uint32_t remainingMs = 0;
  std::uint32_t urgency = 0;
  std::uint32_t size = 0;
  MSGPACK_DEFINE_ARRAY(datagram, plan, caller, token, remainingMs, urgency,
                       size)
};

/// The complete state of a flow that is handed over.
struct TransferredFlow
{
  std::uint64_t id = 0;
  std::string plan;
  std::string service;
  /// The highest sequence number whose outcome has been dropped. At-most-once
  /// requests up to it are not run.
  std::uint32_t floor = 0;
  /// Owners before the receiver. Tokens that name them stay valid.
  std::vector<Owner> origins;
  std::vector<TransferredOutcome> outcomes;
  std::vector<TransferredRequest> requests;
  MSGPACK_DEFINE_ARRAY(id, plan, service, floor, origins, outcomes, requests)
};

/// Transfers the ownership of flows to the receiver. The sender does not use
/// the flows again. A batch is resent until it is answered; the receiver
/// applies it once.
struct HandOver
{
  /// The intended incarnation of the receiver. Another incarnation at the same
  /// address must not accept the batch.
  std::uint64_t receiverIncarnation = 0;
  /// Batch number, counted from 1 for each receiver.
  std::uint32_t batch = 0;
  std::vector<TransferredFlow> flows;
  MSGPACK_DEFINE_ARRAY(receiverIncarnation, batch, flows)
};

/// Reports whether the receiver has accepted the batch. A refusal is final.
struct HandOverReply
{
  std::uint64_t receiverIncarnation = 0;
  std::uint32_t batch = 0;
  bool accepted = false;
  MSGPACK_DEFINE_ARRAY(receiverIncarnation, batch, accepted)
};

/// Names `to` as the successor that has taken over the flows of `from`.
struct SuccessorRecord
{
  Owner from;
  Owner to;
  /// For how much longer the record is kept.
  std::uint32_t keepSeconds = 0;
  MSGPACK_DEFINE_ARRAY(from, to, keepSeconds)
};

struct SuccessorRecords
{
  std::vector<SuccessorRecord> records;
  MSGPACK_DEFINE_ARRAY(records)
};

/// Confirms that the sender has stored the successor records of `owners`.
struct SuccessorRecordsReply
{
  std::vector<Owner> owners;
  MSGPACK_DEFINE_ARRAY(owners)
};

/// Asks for the receiver's successor records, unless they have this digest.
struct SuccessorRecordsRequest
{
  std::uint64_t digest = 0;
  MSGPACK_DEFINE_ARRAY(digest)
};

/// Asks for a part of the receiver's allowance for a plan in one period.
struct AllowanceRequest
{
  std::string plan;
  std::uint64_t period = 0;
  std::uint32_t wanted = 0;
  MSGPACK_DEFINE_ARRAY(plan, period, wanted)
};

/// Grants allowance that the sender has already subtracted from its own.
struct AllowanceGrant
{
  std::string plan;
  std::uint64_t period = 0;
  std::uint32_t granted = 0;
  MSGPACK_DEFINE_ARRAY(plan, period, granted)
};

/// Packs the body of a message.
template<typename Message>
auto PackBody(const Message& aMessage) -> std::string
{
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, aMessage);
  return { buffer.data(), buffer.size() };
}

/// Limit on the nesting depth of arrays in a message body. The routes in
/// RoutingUpdate have a depth of seven.
inline constexpr std::size_t kMaxBodyDepth = 12;

/// Unpacking limits for a body of aSize bytes. Without them, a body of a few
/// bytes could announce millions of elements, for which memory would be
/// allocated first.
inline auto BodyUnpackLimits(std::size_t aSize) -> msgpack::unpack_limit
{
  const std::size_t noMaps = 0;
  const std::size_t noExtensions = 0;
  return { aSize, noMaps, aSize, aSize, noExtensions, kMaxBodyDepth };
}

/// Unpacks the body of a message; returns std::nullopt if it is malformed.
template<typename Message>
auto UnpackBody(const std::string& aBody) -> std::optional<Message>
{
  try {
    const auto handle =
      msgpack::unpack(aBody.data(), aBody.size(), nullptr, nullptr,
                      BodyUnpackLimits(aBody.size()));
    return handle.get().template as<Message>();
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

} // namespace bramleylock::wire
