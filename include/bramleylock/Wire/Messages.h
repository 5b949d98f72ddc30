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
  ListsRequest
};

inline constexpr std::array<NameRow<MessageType>, 7> kMessageTypeNames{ {
  { MessageType::Hello, "hello" },
  { MessageType::Received, "received" },
  { MessageType::Forwarded, "forwarded" },
  { MessageType::Heartbeat, "heartbeat" },
  { MessageType::Lists, "lists" },
  { MessageType::Keys, "keys" },
  { MessageType::ListsRequest, "lists-request" },
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
  /// Requests that run or wait by service; services without any are left out.
  std::vector<std::pair<std::string, std::uint32_t>> demand;
  MSGPACK_DEFINE_ARRAY(listsRevision, newestKey, draining, inFlight, demand)
};

/// The lists at a revision.
struct ListsMessage
{
  std::uint64_t revision = 0;
  std::string document;
  MSGPACK_DEFINE_ARRAY(revision, document)
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
  MSGPACK_DEFINE_ARRAY(haveRevision)
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
