// The typed messages between balancers, packed with msgpack.
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
  Received,
  Forwarded,
  Heartbeat,
  Lists,
  Keys,
  ListsRequest,
  HandOver,
  HandOverReply,
  Continues,
  ContinuesReply,
  ContinuesRequest,
  Probe,
  ProbeAnswer,
  ProbeRequest,
  MemberSync,
  WatcherNotice,
  Vms,
  VmsRequest,
  AllowanceRequest,
  AllowanceGrant,
  Routing,
  RoutingRequest,
  TargetSilence,
  RoutingAnswer
};

inline constexpr std::array<NameRow<MessageType>, 25> kMessageTypeNames{ {
  { MessageType::Hello, "hello" },
  { MessageType::Received, "received" },
  { MessageType::Forwarded, "forwarded" },
  { MessageType::Heartbeat, "heartbeat" },
  { MessageType::Lists, "lists" },
  { MessageType::Keys, "keys" },
  { MessageType::ListsRequest, "lists-request" },
  { MessageType::HandOver, "hand-over" },
  { MessageType::HandOverReply, "hand-over-reply" },
  { MessageType::Continues, "continues" },
  { MessageType::ContinuesReply, "continues-reply" },
  { MessageType::ContinuesRequest, "continues-request" },
  { MessageType::Probe, "probe" },
  { MessageType::ProbeAnswer, "probe-answer" },
  { MessageType::ProbeRequest, "probe-request" },
  { MessageType::MemberSync, "member-sync" },
  { MessageType::WatcherNotice, "watcher-notice" },
  { MessageType::Vms, "vms" },
  { MessageType::VmsRequest, "vms-request" },
  { MessageType::AllowanceRequest, "allowance-request" },
  { MessageType::AllowanceGrant, "allowance-grant" },
  { MessageType::Routing, "routing" },
  { MessageType::RoutingRequest, "routing-request" },
  { MessageType::TargetSilence, "target-silence" },
  { MessageType::RoutingAnswer, "routing-answer" },
} };

/// Who speaks on a link; the first message in each direction.
struct Hello
{
  std::string vm;
  std::string failureDomain;
  /// "ip:port" of the sender's peer listener.
  std::string address;
  std::uint64_t incarnation = 0;
  MSGPACK_DEFINE_ARRAY(vm, failureDomain, address, incarnation)
};

/// Acknowledges the messages that the accepting end has read on this link.
struct Received
{
  std::uint64_t count = 0;
  MSGPACK_DEFINE_ARRAY(count)
};

/// A caller's datagram passed on to the owner of its flow.
struct Forwarded
{
  /// "ip:port" of the caller.
  std::string caller;
  std::string datagram;
  /// How often it was passed on before.
  std::uint32_t hops = 0;
  MSGPACK_DEFINE_ARRAY(caller, datagram, hops)
};

/// Tells that the sender is alive, and what it knows.
struct Heartbeat
{
  std::uint64_t listsRevision = 0;
  std::uint32_t newestKey = 0;
  bool draining = false;
  /// Requests in flight by target address.
  std::vector<std::pair<std::string, std::uint32_t>> inFlight;
  /// Requests a second that the sender sends to targets, by service.
  std::vector<std::pair<std::string, float>> rates;
  /// Targets that the sender itself found to be leaving.
  std::vector<std::string> drainingTargets;
  /// Tells lists of one revision apart.
  std::uint64_t listsDigest = 0;
  /// Requests that run or wait by service; services without any are left out.
  std::vector<std::pair<std::string, std::uint32_t>> demand;
  MSGPACK_DEFINE_ARRAY(listsRevision, newestKey, draining, inFlight, rates,
                       drainingTargets, listsDigest, demand)
};

/// What one balancer says of another, or of itself.
struct MemberRecord
{
  std::string vm;
  std::string failureDomain;
  std::string address;
  std::uint64_t incarnation = 0;
  /// Raised by the balancer itself when its record has to be replaced.
  std::uint64_t refutation = 0;
  /// A peer::MemberState.
  std::uint8_t state = 0;
  bool draining = false;
  MSGPACK_DEFINE_ARRAY(vm, failureDomain, address, incarnation, refutation,
                       state, draining)
};

/// A failure domain as the others need to know it.
struct DomainSummary
{
  std::string failureDomain;
  std::uint64_t version = 0;
  /// Names the rest: a hash of it.
  std::uint64_t contents = 0;
  /// Balancers alive there.
  std::uint32_t alive = 0;
  /// Some of them, its relays first; none for "as before".
  std::vector<MemberRecord> members;
  /// The lowest of the newest token keys that they have.
  std::uint32_t lowestKey = 0;
  MSGPACK_DEFINE_ARRAY(failureDomain, version, contents, alive, members,
                       lowestKey)
};

/// The body of a heartbeat, and of probes and their answers.
struct Gossip
{
  Heartbeat heartbeat;
  /// Whether the heartbeat tells the requests in flight.
  bool whole = false;
  std::uint64_t refutation = 0;
  /// Hash of the members that the sender holds alive in its failure domain.
  std::uint64_t digest = 0;
  std::vector<MemberRecord> updates;
  std::vector<DomainSummary> domains;
  MSGPACK_DEFINE_ARRAY(heartbeat, whole, refutation, digest, updates, domains)
};

/// Asks the receiver to answer.
struct Probe
{
  std::uint64_t sequence = 0;
  Gossip gossip;
  MSGPACK_DEFINE_ARRAY(sequence, gossip)
};

/// Answers a probe, or tells that the balancer at about has answered.
struct ProbeAnswer
{
  std::uint64_t sequence = 0;
  std::string about;
  Gossip gossip;
  MSGPACK_DEFINE_ARRAY(sequence, about, gossip)
};

/// Asks the receiver to probe the balancer at about.
struct ProbeRequest
{
  std::uint64_t sequence = 0;
  std::string about;
  MSGPACK_DEFINE_ARRAY(sequence, about)
};

/// Member records in full, for joining and repair.
struct MemberSync
{
  bool wantAnswer = false;
  std::vector<MemberRecord> records;
  MSGPACK_DEFINE_ARRAY(wantAnswer, records)
};

/// The lists, or the entries that changed after a base revision.
struct ListsMessage
{
  /// Only a receiver that has this revision can take the message; 0 is all.
  std::uint64_t baseRevision = 0;
  std::uint64_t revision = 0;
  /// Digest of the sender's whole lists.
  std::uint64_t digest = 0;
  /// Address of the balancer that started passing it on; empty for an answer.
  std::string origin;
  std::string document;
  MSGPACK_DEFINE_ARRAY(baseRevision, revision, digest, origin, document)
};

/// A watcher's heartbeat and what it holds; passed on within its
/// failure domain.
struct WatcherNotice
{
  /// Address of the watcher, and the number of its notice.
  std::string origin;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  /// Whether the store answered it lately.
  bool storeAnswers = false;
  std::uint64_t listsRevision = 0;
  std::uint64_t listsDigest = 0;
  std::uint64_t vmsDigest = 0;
  MSGPACK_DEFINE_ARRAY(origin, incarnation, sequence, storeAnswers,
                       listsRevision, listsDigest, vmsDigest)
};

/// One row of the VM list.
struct VmRow
{
  std::string name;
  std::uint8_t role = 0;
  std::string service;
  std::string failureDomain;
  std::string address;
  bool leaving = false;
  MSGPACK_DEFINE_ARRAY(name, role, service, failureDomain, address, leaving)
  auto operator==(const VmRow&) const -> bool = default;
};

/// Changes of the VM list, or the whole list.
struct VmsMessage
{
  bool whole = false;
  /// Address of the balancer that started passing it on, and its number there;
  /// an answer to VmsRequest has no origin.
  std::string origin;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  std::vector<VmRow> rows;
  /// Addresses that are no longer listed.
  std::vector<std::string> removed;
  MSGPACK_DEFINE_ARRAY(whole, origin, incarnation, sequence, rows, removed)
};

/// Asks for the whole VM list.
struct VmsRequest
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

/// Asks for the lists and keys that the receiver holds.
struct ListsRequest
{
  std::uint64_t haveRevision = 0;
  std::uint64_t haveDigest = 0;
  MSGPACK_DEFINE_ARRAY(haveRevision, haveDigest)
};

/// One run of a balancer, as flow tokens name it.
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

/// The final word on an at-most-once request of a flow that changes hands.
struct HandedOutcome
{
  std::uint32_t sequence = 0;
  std::vector<std::string> datagrams;
  std::uint32_t keepMs = 0;
  MSGPACK_DEFINE_ARRAY(sequence, datagrams, keepMs)
};

/// A repeatable request that the receiver continues.
struct HandedRequest
{
  /// The request packet; its part is the first that the caller lacks.
  std::string datagram;
  std::string plan;
  /// "ip:port" of the caller.
  std::string caller;
  /// The token that the caller knows for this request.
  std::string token;
  std::uint32_t leftMs = 0;
  std::uint32_t urgency = 0;
  std::uint32_t size = 0;
  MSGPACK_DEFINE_ARRAY(datagram, plan, caller, token, leftMs, urgency, size)
};

/// A whole flow.
struct HandedFlow
{
  std::uint64_t id = 0;
  std::string plan;
  std::string service;
  std::uint32_t floor = 0;
  /// The owners before the receiver; tokens that name them stay good.
  std::vector<Owner> origins;
  std::vector<HandedOutcome> outcomes;
  std::vector<HandedRequest> requests;
  MSGPACK_DEFINE_ARRAY(id, plan, service, floor, origins, outcomes, requests)
};

/// Flows that the sender gives up for good. A batch is sent again until it is
/// answered; the receiver takes it once.
struct HandOver
{
  /// Another incarnation at the receiver's address must not take it.
  std::uint64_t receiverIncarnation = 0;
  /// Numbered from 1 for each receiver.
  std::uint32_t batch = 0;
  std::vector<HandedFlow> flows;
  MSGPACK_DEFINE_ARRAY(receiverIncarnation, batch, flows)
};

/// Whether the receiver holds the batch now. A refusal is final.
struct HandOverReply
{
  std::uint64_t receiverIncarnation = 0;
  std::uint32_t batch = 0;
  bool accepted = false;
  MSGPACK_DEFINE_ARRAY(receiverIncarnation, batch, accepted)
};

/// The flows of `from` continue at `to`.
struct Continuation
{
  Owner from;
  Owner to;
  /// For how much longer the record is kept.
  std::uint32_t keepSeconds = 0;
  MSGPACK_DEFINE_ARRAY(from, to, keepSeconds)
};

struct Continues
{
  std::vector<Continuation> records;
  MSGPACK_DEFINE_ARRAY(records)
};

/// Says that the records of `owners` are kept now.
struct ContinuesReply
{
  std::vector<Owner> owners;
  MSGPACK_DEFINE_ARRAY(owners)
};

/// Asks for records, unless the receiver's have the same digest.
struct ContinuesRequest
{
  std::uint64_t digest = 0;
  MSGPACK_DEFINE_ARRAY(digest)
};

/// Asks for a part of the receiver's allowance of a plan in one period.
struct AllowanceRequest
{
  std::string plan;
  std::uint64_t period = 0;
  std::uint32_t wanted = 0;
  MSGPACK_DEFINE_ARRAY(plan, period, wanted)
};

/// Gives allowance that the sender has already taken off its own.
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

/// Arrays within arrays: the routes of news are seven deep.
inline constexpr std::size_t kDeepestBody = 12;

/// What a body of aSize bytes can hold. A few bytes can claim to be followed by
/// millions of elements, for which memory would be taken first.
inline auto LimitsOfBody(std::size_t aSize) -> msgpack::unpack_limit
{
  const std::size_t noMaps = 0;
  const std::size_t noExtensions = 0;
  return { aSize, noMaps, aSize, aSize, noExtensions, kDeepestBody };
}

/// Unpacks the body of a message; empty when it is malformed.
template<typename Message>
auto UnpackBody(const std::string& aBody) -> std::optional<Message>
{
  try {
    const auto handle = msgpack::unpack(aBody.data(), aBody.size(), nullptr,
                                        nullptr, LimitsOfBody(aBody.size()));
    return handle.get().template as<Message>();
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

} // namespace bramleylock::wire
