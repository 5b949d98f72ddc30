// The callers' library: flows of requests over sprayed datagrams.
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
  /// Refused; a copy of a repeatable request may have run all the same.
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
  /// Status of the target, when answered.
  std::uint32_t status = 0;
  std::string body;
  /// When to come back, when not run or refused.
  std::uint32_t retryAfterMs = 0;
  std::chrono::nanoseconds latency{};
  /// Request packets sent, the first included.
  std::uint32_t sends = 0;
  /// The token under which the request was last sent; empty when it had none.
  std::string token;
};

class Client;

/// Requests that share an owner. Calls of one flow may run side by side.
class Flow
{
public:
  Flow(Client& aClient, std::string aService, std::string aCredential);
  ~Flow();
  Flow(const Flow&) = delete;
  auto operator=(const Flow&) -> Flow& = delete;

  /// Sends one request and waits for its final answer or its deadline.
  auto Call(CallOptions aOptions) -> awaitable<CallResult>;

  /// Cancels every call in progress.
  auto Cancel() -> void;

  auto Id() const -> std::uint64_t;

private:
  friend class Client;
  struct Pending;

  auto Receive(wire::Packet& aPacket) -> void;
  auto AdoptToken(Pending& aPending, const wire::Packet& aPacket) -> bool;
  auto ReceiveRefusal(Pending& aPending, const wire::Packet& aPacket) -> void;
  auto ReceivePart(Pending& aPending, wire::Packet& aPacket) -> void;
  auto Acknowledge(Pending& aPending) -> void;
  auto SendRequest(Pending& aPending) -> void;
  auto MakePacket(wire::PacketType aType, std::uint32_t aSequence,
                  const std::string& aToken) const -> wire::Packet;

  Client& m_client;
  std::string m_service;
  std::string m_credential;
  std::uint64_t m_id;
  std::uint32_t m_nextSequence = 1;
  std::string m_token;
  /// When the owner behind m_token was last heard.
  Clock::time_point m_ownerHeard{};
  std::map<std::uint32_t, std::shared_ptr<Pending>> m_pending;
};

/// One socket towards the balancers' address, shared by many flows.
class Client
{
public:
  Client(asio::io_context& aContext, const Udp::endpoint& aServer);

  /// Stops receiving; calls in progress end as unknown at their deadlines.
  auto Close() -> void;

  /// Answers that matched no call, such as late or crossed ones.
  auto Stray() const -> std::uint64_t;

private:
  friend class Flow;

  auto ReceiveLoop() -> awaitable<void>;
  auto Send(const wire::Packet& aPacket) -> void;

  asio::io_context& m_context;
  Udp::socket m_socket;
  Udp::endpoint m_server;
  std::map<std::uint64_t, Flow*> m_flows;
  std::uint64_t m_stray = 0;
};

} // namespace bramleylock::caller
