// The datagrams between callers and balancers (docs/CALLERS.md).
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <system_error>
#include <vector>

#include "bramleylock/Support/Errors.h"
#include "bramleylock/Support/Names.h"

namespace bramleylock::wire {

/// The protocol version of this build.
inline constexpr std::uint32_t kProtocolVersion = 1;

/// The largest datagram in either direction.
inline constexpr std::size_t kMaxPacketBytes = 1200;

/// Payload bytes in each part of an answer except the last.
inline constexpr std::size_t kPartPayloadBytes = 1000;

/// The largest request payload.
inline constexpr std::size_t kMaxRequestPayloadBytes = 900;

/// Type of a packet. NotRun guarantees that no target ran the request: with a
/// token the flow's owner states this; without one it applies to the packet
/// without a token, which is never run for at-most-once work. Refused makes no
/// such guarantee, as another copy of a repeatable request may run elsewhere.
/// Moved carries the token for the flow's next requests; requests in progress
/// keep the token they have.
enum class PacketType
{
  Request,
  Acknowledge,
  Cancel,
  Close,
  Answer,
  Opened,
  NotRun,
  Unknown,
  Accepted,
  Refused,
  Moved
};

inline constexpr std::array<NameRow<PacketType>, 11> kPacketTypeNames{ {
  { PacketType::Request, "request" },
  { PacketType::Acknowledge, "acknowledge" },
  { PacketType::Cancel, "cancel" },
  { PacketType::Close, "close" },
  { PacketType::Answer, "answer" },
  { PacketType::Opened, "opened" },
  { PacketType::NotRun, "not-run" },
  { PacketType::Unknown, "unknown" },
  { PacketType::Accepted, "accepted" },
  { PacketType::Refused, "refused" },
  { PacketType::Moved, "moved" },
} };

/// Why a request was not run, or why its outcome is not known.
enum class Reason
{
  None,
  NotReady,
  Credential,
  Service,
  Work,
  NotAllowed,
  Draining,
  QueueFull,
  Deadline,
  NoTarget,
  TargetShed,
  PlanRate,
  TooLarge,
  Forged,
  ForeignService,
  KeyUnknown,
  OwnerLost,
  TargetLost,
  FlowForgotten,
  Cancelled,
  Version,
  PlanConcurrency
};

inline constexpr std::array<NameRow<Reason>, 22> kReasonNames{ {
  { Reason::None, "none" },
  { Reason::NotReady, "not-ready" },
  { Reason::Credential, "credential" },
  { Reason::Service, "service" },
  { Reason::Work, "work" },
  { Reason::NotAllowed, "not-allowed" },
  { Reason::Draining, "draining" },
  { Reason::QueueFull, "queue-full" },
  { Reason::Deadline, "deadline" },
  { Reason::NoTarget, "no-target" },
  { Reason::TargetShed, "target-shed" },
  { Reason::PlanRate, "plan-rate" },
  { Reason::TooLarge, "too-large" },
  { Reason::Forged, "forged" },
  { Reason::ForeignService, "foreign-service" },
  { Reason::KeyUnknown, "key-unknown" },
  { Reason::OwnerLost, "owner-lost" },
  { Reason::TargetLost, "target-lost" },
  { Reason::FlowForgotten, "flow-forgotten" },
  { Reason::Cancelled, "cancelled" },
  { Reason::Version, "version" },
  { Reason::PlanConcurrency, "plan-concurrency" },
} };

/// One datagram. Fields that a type does not use stay at their defaults.
struct Packet
{
  PacketType type = PacketType::Request;
  std::string service;
  /// "<plan>.<secret>"; only from callers.
  std::string credential;
  /// The kind of work, by its name in the service's entry of the lists.
  std::string work;
  std::uint64_t flow = 0;
  std::uint32_t sequence = 0;
  /// Answer: index of this part. Request: the first part to send, to resume an
  /// answer. Acknowledge: the first part not yet received.
  std::uint32_t part = 0;
  /// Answer: number of parts, 0 while it is not known.
  std::uint32_t parts = 0;
  /// Request: milliseconds until the deadline.
  std::uint32_t deadlineMs = 0;
  /// Answer: status from the target. NotRun, Refused and Unknown: a Reason.
  std::uint32_t code = 0;
  /// NotRun, Refused: milliseconds after which the caller may retry.
  std::uint32_t retryAfterMs = 0;
  /// Identifies the content of an answer, so that parts from two executions of
  /// a request are never combined.
  std::uint64_t answerTag = 0;
  std::string token;
  /// Acknowledge: missing parts between `part` and the highest received part.
  std::vector<std::uint32_t> missing;
  std::string payload;
};

enum class PacketError
{
  Malformed = 1,
  Oversized,
  Version
};

inline constexpr std::array<NameRow<PacketError>, 3> kPacketErrorNames{ {
  { PacketError::Malformed, "malformed packet" },
  { PacketError::Oversized, "packet exceeds 1200 bytes" },
  { PacketError::Version, "packet has an unsupported protocol version" },
} };

/// Encodes aPacket as a datagram.
auto Encode(const Packet& aPacket) -> std::string;

/// Parses one datagram. On failure sets aError to a PacketError.
auto Decode(const char* aData, std::size_t aSize, std::error_code& aError)
  -> Packet;

} // namespace bramleylock::wire

BRAMLEYLOCK_ERROR_ENUM(bramleylock::wire, PacketError, kPacketErrorNames,
                       "bramleylock.packet");
