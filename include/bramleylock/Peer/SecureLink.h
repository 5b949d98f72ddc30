// An authenticated, encrypted connection between two balancers.
#pragma once

#include <array>
#include <memory>
#include <string>
#include <system_error>
#include <vector>

#include "bramleylock/Support/Asio.h"
#include "bramleylock/Support/Errors.h"
#include "bramleylock/Wire/Messages.h"

namespace bramleylock::peer {

/// The 32-byte secret that all balancers of a deployment share.
using ClusterKey = std::array<unsigned char, 32>;

enum class LinkError
{
  Connect = 1,
  Authentication,
  Malformed,
  Oversized,
  Lost,
  Silent,
  KeylessRequest
};

inline constexpr std::array<NameRow<LinkError>, 7> kLinkErrorNames{ {
  { LinkError::Connect, "cannot connect to the peer" },
  { LinkError::Authentication,
    "authentication failed: wrong cluster key or altered frame" },
  { LinkError::Malformed, "malformed frame" },
  { LinkError::Oversized, "frame exceeds the size limit" },
  { LinkError::Lost, "connection lost" },
  { LinkError::Silent, "the peer stopped acknowledging messages" },
  { LinkError::KeylessRequest,
    "the peer sent a request without a cluster key" },
} };

/// The type and packed body of one message.
struct Envelope
{
  wire::MessageType type = wire::MessageType::Hello;
  std::string body;
};

/// A link over one TCP connection. Both ends prove that they hold the cluster
/// key. Each direction is a stream of encrypted, authenticated frames that
/// cannot be replayed, reordered or inserted into another link.
class SecureLink
{
public:
  explicit SecureLink(Tcp::socket aSocket);
  ~SecureLink();
  SecureLink(const SecureLink&) = delete;
  auto operator=(const SecureLink&) -> SecureLink& = delete;

  /// Runs the handshake; aIsDialer is true on the connecting end. On the
  /// accepting end, fails with LinkError::KeylessRequest when the peer sends a
  /// request without a cluster key.
  auto Handshake(const ClusterKey& aKey, bool aIsDialer,
                 std::error_code& aError) -> awaitable<void>;

  /// Moves out the request that the peer sent without a cluster key.
  auto TakeKeylessRequest() -> std::string;

  /// Sends the unencrypted answer to a request without a cluster key.
  auto AnswerKeylessRequest(const std::string& aAnswer, std::error_code& aError)
    -> awaitable<void>;

  /// Sends aMessages in order, in one write.
  auto Write(const std::vector<Envelope>& aMessages, std::error_code& aError)
    -> awaitable<void>;

  auto Read(std::error_code& aError) -> awaitable<Envelope>;

  /// Closes the connection; pending operations fail.
  auto Close() -> void;

  /// Bytes sent and received, including framing and the handshake.
  auto BytesSent() const -> std::uint64_t;
  auto BytesReceived() const -> std::uint64_t;

private:
  struct State;

  auto Seal(const Envelope& aMessage, std::string& aFrames) -> std::error_code;
  auto ReadSocket() -> awaitable<std::error_code>;
  std::unique_ptr<State> m_state;
};

/// The longest request that a balancer without a cluster key can send.
inline constexpr std::size_t kMaxKeylessRequestBytes = 71;

/// Sends an unencrypted request to the balancer at aAddress without a cluster
/// key. The answer is not authenticated, so the caller has to trust the address
/// and the network path to it.
auto SendKeylessRequest(const std::string& aAddress,
                        const std::string& aRequest, Milliseconds aTimeout,
                        std::error_code& aError) -> awaitable<std::string>;

} // namespace bramleylock::peer

BRAMLEYLOCK_ERROR_ENUM(bramleylock::peer, LinkError, kLinkErrorNames,
                       "bramleylock.peer");
