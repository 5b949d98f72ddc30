// Client library: flows of requests over UDP datagrams that the network may
// deliver to any balancer.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "bramleylock/Support/Asio.h"
#include "bramleylock/Support/Names.h"
#include "bramleylock/Support/Random.h"
#include "bramleylock/Wire/Packet.h"

namespace bramleylock::caller {

/// How a call ended.
enum class CallOutcome
{
  Answered,
  /// No target ran the request.
  NotRun,
  /// Refused, but a copy of a repeatable request may have run.
  Refused,
  /// The request may have run.
  Unknown
};

inline constexpr std::array<NameRow<CallOutcome>, 4> kCallOutcomeNames{ {
  { CallOutcome::Answered, "answered" },
  { CallOutcome::NotRun, "not-run" },
  { CallOutcome::Refused, "refused" },
  { CallOutcome::Unknown, "unknown" },
} };

struct CallOptions
{
  std::string work;
  std::string payload;
  Milliseconds deadline{ 5000 };
};

struct CallResult
{
  CallOutcome outcome = CallOutcome::Unknown;
  wire::Reason reason = wire::Reason::None;
  /// Status returned by the target, if answered.
  std::uint32_t status = 0;
  std::string body;
  /// Delay before a retry, if not run or refused.
  std::uint32_t retryAfterMs = 0;
  std::chrono::nanoseconds latency{};
  /// Number of request packets sent, including the first one.
  std::uint32_t sends = 0;
  /// The last known flow token of the request; empty if it never had one.
  std::string token;
};

class Client;

/// A sequence of requests handled by the same owner, which is the balancer that
/// keeps the state of the flow. Calls of one flow may run concurrently.
class Flow
{
public:
  Flow(Client& aClient, std::string aService, std::string aCredential);
  ~Flow();
  Flow(const Flow&) = delete;
  auto operator=(const Flow&) -> Flow& = delete;

  /// Sends a request and waits for its final result or its deadline.
  auto Call(CallOptions aOptions) -> awaitable<CallResult>;

  /// Cancels all calls in progress.
  auto Cancel() -> void;

  auto Id() const -> std::uint64_t;

private:
  friend class Client;
  struct PendingCall;

  auto Receive(wire::Packet& aPacket) -> void;
  auto AcceptOwner(PendingCall& aCall, const wire::Packet& aPacket) -> bool;
  auto ReceiveFailure(PendingCall& aCall, const wire::Packet& aPacket) -> void;
  auto ReceivePart(PendingCall& aCall, wire::Packet& aPacket) -> void;
  auto SendAcknowledgement(PendingCall& aCall) -> void;
  auto SendRequest(PendingCall& aCall) -> void;
  auto MakePacket(wire::PacketType aType, std::uint32_t aSequence,
                  const std::string& aToken) const -> wire::Packet;

  Client& m_client;
  std::string m_service;
  std::string m_credential;
  std::uint64_t m_id;
  std::uint32_t m_nextSequence = 1;
  std::string m_token;
  /// When a packet from the owner was last received.
  Clock::time_point m_lastOwnerPacketAt{};
  std::map<std::uint32_t, std::shared_ptr<PendingCall>> m_pendingCalls;
};

/// A UDP socket to the address of the balancers, shared by many flows.
class Client
{
public:
  Client(asio::io_context& aContext, const Udp::endpoint& aServer);

  /// Stops receiving. Calls in progress end with CallOutcome::Unknown at their
  /// deadlines.
  auto Close() -> void;

  /// The number of received packets that were discarded, such as late answers,
  /// answers of another owner, and malformed packets.
  auto StrayPackets() const -> std::uint64_t;

private:
  friend class Flow;

  auto ReceiveLoop() -> awaitable<void>;
  auto Send(const wire::Packet& aPacket) -> void;
  auto HandleStrayPacket(const wire::Packet& aPacket) -> void;

  asio::io_context& m_context;
  Udp::socket m_socket;
  Udp::endpoint m_server;
  std::map<std::uint64_t, Flow*> m_flows;
  std::uint64_t m_strayPackets = 0;
  Clock::time_point m_lastStrayCancelAt{};
};

} // namespace bramleylock::caller
