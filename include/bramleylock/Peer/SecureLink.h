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

/// The secret that all balancers of one deployment share, 32 bytes.
using ClusterKey = std::array<unsigned char, 32>;

enum class LinkError
{
  Connect = 1,
  Authentication,
  Malformed,
  Oversized,
  Lost,
  Silent,
  Question
};

inline constexpr std::array<NameRow<LinkError>, 7> kLinkErrorNames{ {
  { LinkError::Connect, "cannot connect to the peer" },
  { LinkError::Authentication, "the peer does not hold the cluster key" },
  { LinkError::Malformed, "malformed frame" },
  { LinkError::Oversized, "frame over the size limit" },
  { LinkError::Lost, "connection lost" },
  { LinkError::Silent, "the peer stopped acknowledging" },
  { LinkError::Question, "the peer has no cluster key and asks a question" },
} };

/// One message as it travels: its type and packed body.
struct Envelope
{
  wire::MessageType type = wire::MessageType::Hello;
  std::string body;
};

/// A link over one TCP connection. Both ends prove the cluster key, and each
/// direction is a stream of sealed frames that cannot be replayed, reordered
/// or joined to another link.
class SecureLink
{
public:
  explicit SecureLink(Tcp::socket aSocket);
  ~SecureLink();
  SecureLink(const SecureLink&) = delete;
  auto operator=(const SecureLink&) -> SecureLink& = delete;

  /// Runs the handshake; aDialer is true on the connecting end. Fails with
  /// Question on the accepting end when the other one asks without a key.
  auto Handshake(const ClusterKey& aKey, bool aDialer, std::error_code& aError)
    -> awaitable<void>;

  /// What the other end asked without a key.
  auto TakeQuestion() -> std::string;

  /// Answers it, in the clear.
  auto AnswerQuestion(const std::string& aAnswer, std::error_code& aError)
    -> awaitable<void>;

  /// Sends aMessages in order, in one write.
  auto Write(const std::vector<Envelope>& aMessages, std::error_code& aError)
    -> awaitable<void>;

  auto Read(std::error_code& aError) -> awaitable<Envelope>;

  /// Closes the connection; pending operations fail.
  auto Close() -> void;

  /// Bytes sent and received, frames and handshake included.
  auto BytesSent() const -> std::uint64_t;
  auto BytesReceived() const -> std::uint64_t;

private:
  struct State;

  auto Seal(const Envelope& aMessage, std::string& aFrames) -> std::error_code;
  auto ReadMore() -> awaitable<std::error_code>;
  std::unique_ptr<State> m_state;
};

/// The longest question of a balancer that has no cluster key, in bytes.
inline constexpr std::size_t kQuestionLimitBytes = 71;

/// Asks the balancer at aAddress without a cluster key, in the clear. Whoever
/// uses the answer trusts the address and the network to it.
auto AskWithoutKey(const std::string& aAddress, const std::string& aQuestion,
                   Milliseconds aTimeout, std::error_code& aError)
  -> awaitable<std::string>;

} // namespace bramleylock::peer

BRAMLEYLOCK_ERROR_ENUM(bramleylock::peer, LinkError, kLinkErrorNames,
                       "bramleylock.peer");
