// The typed messages between balancers, packed with msgpack.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
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
  WatcherWord,
  Vms,
  VmsRequest
};

inline constexpr std::array<NameRow<MessageType>, 10> kMessageTypeNames{ {
  { MessageType::Hello, "hello" },
  { MessageType::Received, "received" },
  { MessageType::Forwarded, "forwarded" },
  { MessageType::Heartbeat, "heartbeat" },
  { MessageType::Lists, "lists" },
  { MessageType::Keys, "keys" },
  { MessageType::ListsRequest, "lists-request" },
  { MessageType::WatcherWord, "watcher-word" },
  { MessageType::Vms, "vms" },
  { MessageType::VmsRequest, "vms-request" },
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
  MSGPACK_DEFINE_ARRAY(caller, datagram)
};

/// Tells that the sender is alive, and what it knows.
struct Heartbeat
{
  std::uint64_t listsRevision = 0;
  std::uint32_t newestKey = 0;
  bool draining = false;
  /// Requests in flight by target address.
  std::vector<std::pair<std::string, std::uint32_t>> inFlight;
  /// Tells lists of one revision apart.
  std::uint64_t listsDigest = 0;
  MSGPACK_DEFINE_ARRAY(listsRevision, newestKey, draining, inFlight,
                       listsDigest)
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

/// A watcher's word that it lives, and what it holds; passed on within its
/// failure domain.
struct WatcherWord
{
  /// Address of the watcher, and the number of its word.
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

/// Packs the body of a message.
template<typename Message>
auto PackBody(const Message& aMessage) -> std::string
{
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, aMessage);
  return { buffer.data(), buffer.size() };
}

/// Unpacks the body of a message; empty when it is malformed.
template<typename Message>
auto UnpackBody(const std::string& aBody) -> std::optional<Message>
{
  try {
    const auto handle = msgpack::unpack(aBody.data(), aBody.size());
    return handle.get().template as<Message>();
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

} // namespace bramleylock::wire
