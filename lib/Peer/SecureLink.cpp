// The peer handshake and encrypted frames, implemented with libsodium.
//
// Each end sends an ephemeral public key and a message authentication code that
// is keyed with the cluster key. The session keys are derived from the result
// of the key exchange and the cluster key, so a replayed handshake message is
// of no use without the private key that belongs to it. A frame consists of a
// 4-byte big-endian length and a crypto_secretstream message.

#include "bramleylock/Peer/SecureLink.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <sodium.h>

#include <algorithm>
#include <cassert>
#include <string_view>

namespace bramleylock::peer {

/// The largest encrypted frame, which must hold lists of one megabyte and their
/// envelope.
static constexpr std::size_t kMaxFrameBytes = 2U << 20;

static constexpr std::size_t kLengthBytes = 4;

/// The most bytes read from the socket at once. All links share the read
/// buffer, so that an idle link uses little memory.
static constexpr std::size_t kReadBufferBytes = 65536;
static constexpr std::size_t kHandshakeMacBytes = 16;
static constexpr unsigned char kLinkVersion = 1;

/// Sent instead of the version by a dialer that has no cluster key. The rest of
/// its handshake message is the length of its request and the request.
static constexpr unsigned char kKeylessRequestVersion = 2;

/// The largest answer to a request without a cluster key. The state of 81,000
/// targets takes about 10 MB.
static constexpr std::size_t kMaxKeylessAnswerBytes = 32U << 20;

namespace {

struct HandshakeMessage
{
  unsigned char version = kLinkVersion;
  std::array<unsigned char, crypto_kx_PUBLICKEYBYTES> publicKey{};
  std::array<unsigned char, kHandshakeMacBytes> mac{};
  std::array<unsigned char, crypto_secretstream_xchacha20poly1305_HEADERBYTES>
    streamHeader{};
};

using SessionKey = std::array<unsigned char, crypto_kx_SESSIONKEYBYTES>;

} // namespace

struct SecureLink::State
{
  explicit State(Tcp::socket aSocket)
    : socket(std::move(aSocket))
  {
  }

  Tcp::socket socket;
  crypto_secretstream_xchacha20poly1305_state sending{};
  crypto_secretstream_xchacha20poly1305_state receiving{};
  /// Bytes that were read. The first `consumed` bytes belong to frames that
  /// have been processed.
  std::string received;
  std::size_t consumed = 0;
  std::uint64_t bytesSent = 0;
  std::uint64_t bytesReceived = 0;
  std::string keylessRequest;
};

SecureLink::SecureLink(Tcp::socket aSocket)
  : m_state(std::make_unique<State>(std::move(aSocket)))
{
}

SecureLink::~SecureLink() = default;

/// The authentication code that proves possession of the cluster key. It covers
/// the role, the version, the public key, the stream header and, for the
/// accepting end, the dialer's public key.
static auto HandshakeMac(const ClusterKey& aKey,
                         const HandshakeMessage& aHandshake, bool aIsDialer,
                         const HandshakeMessage* aDialerMessage)
{
  std::array<unsigned char, kHandshakeMacBytes> mac{};
  crypto_generichash_state state;
  const unsigned char role = aIsDialer ? 'd' : 'a';
  crypto_generichash_init(&state, aKey.data(), aKey.size(), mac.size());
  crypto_generichash_update(&state, &role, 1);
  crypto_generichash_update(&state, &aHandshake.version, 1);
  crypto_generichash_update(&state, aHandshake.publicKey.data(),
                            aHandshake.publicKey.size());
  crypto_generichash_update(&state, aHandshake.streamHeader.data(),
                            aHandshake.streamHeader.size());
  if (aDialerMessage != nullptr) {
    crypto_generichash_update(&state, aDialerMessage->publicKey.data(),
                              aDialerMessage->publicKey.size());
  }
  crypto_generichash_final(&state, mac.data(), mac.size());
  return mac;
}

static auto DeriveStreamKey(const ClusterKey& aKey, const SessionKey& aSession)
  -> SessionKey
{
  SessionKey mixed{};
  crypto_generichash(mixed.data(), mixed.size(), aSession.data(),
                     aSession.size(), aKey.data(), aKey.size());
  return mixed;
}

static auto HandshakeBuffers(HandshakeMessage& aHandshake)
{
  return std::array<asio::mutable_buffer, 4>{
    asio::buffer(&aHandshake.version, 1), asio::buffer(aHandshake.publicKey),
    asio::buffer(aHandshake.mac), asio::buffer(aHandshake.streamHeader)
  };
}

static constexpr std::size_t kHandshakeBytes =
  1 + crypto_kx_PUBLICKEYBYTES + kHandshakeMacBytes +
  crypto_secretstream_xchacha20poly1305_HEADERBYTES;

static auto VerifyHandshake(const ClusterKey& aKey,
                            const HandshakeMessage& aRemote, bool aFromDialer,
                            const HandshakeMessage* aDialerMessage) -> bool
{
  const auto mac = HandshakeMac(aKey, aRemote, aFromDialer, aDialerMessage);
  return aRemote.version == kLinkVersion &&
         sodium_memcmp(mac.data(), aRemote.mac.data(), mac.size()) == 0;
}

static_assert(kMaxKeylessRequestBytes + 2 == kHandshakeBytes);

/// The request in a handshake message, or an empty string when its length is
/// invalid.
static auto ExtractKeylessRequest(const HandshakeMessage& aHandshake)
  -> std::string
{
  std::string bytes;
  bytes.append(aHandshake.publicKey.begin(), aHandshake.publicKey.end());
  bytes.append(aHandshake.mac.begin(), aHandshake.mac.end());
  bytes.append(aHandshake.streamHeader.begin(), aHandshake.streamHeader.end());
  const auto size = static_cast<unsigned char>(bytes.front());
  return size <= kMaxKeylessRequestBytes ? bytes.substr(1, size)
                                         : std::string();
}

auto SecureLink::TakeKeylessRequest() -> std::string
{
  return std::move(m_state->keylessRequest);
}

static auto EncodeLength(std::size_t aLength) -> std::string
{
  std::string bytes(kLengthBytes, '\0');
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    bytes[i] = static_cast<char>(aLength >> (8 * (kLengthBytes - 1 - i)));
  }
  return bytes;
}

auto SecureLink::AnswerKeylessRequest(const std::string& aAnswer,
                                      std::error_code& aError)
  -> awaitable<void>
{
  if (aAnswer.size() > kMaxKeylessAnswerBytes) {
    aError = LinkError::Oversized;
    co_return;
  }
  const auto bytes = EncodeLength(aAnswer.size()) + aAnswer;
  boost::system::error_code failure;
  co_await asio::async_write(m_state->socket, asio::buffer(bytes),
                             RedirectError(failure));
  m_state->bytesSent += bytes.size();
  aError = failure ? make_error_code(LinkError::Lost) : std::error_code{};
}

/// Reads an answer in chunks, so that memory is allocated only for bytes that
/// have arrived and not for the announced length.
static auto ReadAnswer(Tcp::socket& aSocket, std::error_code& aError)
  -> awaitable<std::string>
{
  std::array<unsigned char, kLengthBytes> header{};
  boost::system::error_code failure;
  co_await asio::async_read(aSocket, asio::buffer(header),
                            RedirectError(failure));
  std::size_t length = 0;
  for (const auto byte : header) {
    length = (length << 8) | byte;
  }
  if (failure || length > kMaxKeylessAnswerBytes) {
    aError = failure ? LinkError::Lost : LinkError::Oversized;
    co_return std::string();
  }
  std::string answer;
  while (answer.size() < length) {
    const auto previousSize = answer.size();
    answer.resize(std::min(length, previousSize + kReadBufferBytes));
    co_await asio::async_read(
      aSocket,
      asio::buffer(answer.data() + previousSize, answer.size() - previousSize),
      RedirectError(failure));
    if (failure) {
      aError = LinkError::Lost;
      co_return std::string();
    }
  }
  co_return answer;
}

auto SendKeylessRequest(const std::string& aAddress,
                        const std::string& aRequest, Milliseconds aTimeout,
                        std::error_code& aError) -> awaitable<std::string>
{
  assert(aRequest.size() <= kMaxKeylessRequestBytes);
  const auto endpoint = ParseTcpEndpoint(aAddress, aError);
  if (aError) {
    co_return std::string();
  }
  std::string handshake(kHandshakeBytes, '\0');
  handshake[0] = static_cast<char>(kKeylessRequestVersion);
  handshake[1] = static_cast<char>(aRequest.size());
  handshake.replace(2, aRequest.size(), aRequest);
  const auto context = co_await asio::this_coro::executor;
  Tcp::socket socket(context);
  asio::steady_timer timer(context);
  timer.expires_after(aTimeout);
  timer.async_wait([&socket](const boost::system::error_code& aCancelled) {
    if (!aCancelled) {
      boost::system::error_code ignored;
      socket.close(ignored);
    }
  });
  boost::system::error_code failure;
  co_await socket.async_connect(endpoint, RedirectError(failure));
  if (failure) {
    aError = LinkError::Connect;
    co_return std::string();
  }
  co_await asio::async_write(socket, asio::buffer(handshake),
                             RedirectError(failure));
  if (failure) {
    aError = LinkError::Lost;
    co_return std::string();
  }
  co_return co_await ReadAnswer(socket, aError);
}

auto SecureLink::Handshake(const ClusterKey& aKey, bool aIsDialer,
                           std::error_code& aError) -> awaitable<void>
{
  HandshakeMessage local;
  HandshakeMessage remote;
  std::array<unsigned char, crypto_kx_SECRETKEYBYTES> secretKey{};
  crypto_kx_keypair(local.publicKey.data(), secretKey.data());
  randombytes_buf(local.streamHeader.data(), local.streamHeader.size());
  auto& socket = m_state->socket;
  boost::system::error_code failure;
  socket.set_option(Tcp::no_delay(true), failure);
  auto localBuffers = HandshakeBuffers(local);
  auto remoteBuffers = HandshakeBuffers(remote);
  if (!aIsDialer) {
    co_await asio::async_read(socket, remoteBuffers, RedirectError(failure));
    if (!failure && remote.version == kKeylessRequestVersion) {
      m_state->keylessRequest = ExtractKeylessRequest(remote);
      m_state->bytesReceived += kHandshakeBytes;
      aError = LinkError::KeylessRequest;
      co_return;
    }
    if (failure || !VerifyHandshake(aKey, remote, true, nullptr)) {
      aError = failure ? LinkError::Lost : LinkError::Authentication;
      co_return;
    }
  }
  local.mac =
    HandshakeMac(aKey, local, aIsDialer, aIsDialer ? nullptr : &remote);
  co_await asio::async_write(socket, localBuffers, RedirectError(failure));
  if (failure) {
    aError = LinkError::Lost;
    co_return;
  }
  if (aIsDialer) {
    co_await asio::async_read(socket, remoteBuffers, RedirectError(failure));
    if (failure || !VerifyHandshake(aKey, remote, false, &local)) {
      // A peer that rejects this end's handshake message closes the connection
      // without an answer. Here this is indistinguishable from a lost
      // connection; the peer counts it as an authentication failure.
      aError = failure ? LinkError::Lost : LinkError::Authentication;
      co_return;
    }
  }
  SessionKey receive{};
  SessionKey send{};
  const auto derive =
    aIsDialer ? crypto_kx_client_session_keys : crypto_kx_server_session_keys;
  if (derive(receive.data(), send.data(), local.publicKey.data(),
             secretKey.data(), remote.publicKey.data()) != 0) {
    aError = LinkError::Authentication;
    co_return;
  }
  // Each stream state starts from the header that the sender of that direction
  // chose. init_pull is used for both directions because it takes a given
  // header, while init_push would generate one.
  crypto_secretstream_xchacha20poly1305_init_pull(
    &m_state->sending, local.streamHeader.data(),
    DeriveStreamKey(aKey, send).data());
  crypto_secretstream_xchacha20poly1305_init_pull(
    &m_state->receiving, remote.streamHeader.data(),
    DeriveStreamKey(aKey, receive).data());
  socket.non_blocking(true, failure);
  m_state->bytesSent += kHandshakeBytes;
  m_state->bytesReceived += kHandshakeBytes;
  aError.clear();
}

static auto PackEnvelope(const Envelope& aMessage) -> std::string
{
  msgpack::sbuffer buffer(aMessage.body.size() + 16);
  msgpack::packer<msgpack::sbuffer> packer(buffer);
  packer.pack(static_cast<std::uint32_t>(aMessage.type));
  buffer.write(aMessage.body.data(), aMessage.body.size());
  return { buffer.data(), buffer.size() };
}

static auto UnpackEnvelope(const std::string& aText, std::error_code& aError)
  -> Envelope
{
  Envelope message;
  aError = LinkError::Malformed;
  try {
    std::size_t offset = 0;
    // The first object is the type number, so no containers are allowed.
    const msgpack::unpack_limit limits(0, 0, 0, 0, 0, 1);
    const auto handle = msgpack::unpack(aText.data(), aText.size(), offset,
                                        nullptr, nullptr, limits);
    const auto type = handle.get().as<std::uint32_t>();
    message.type = static_cast<wire::MessageType>(type);
    message.body = aText.substr(offset);
  } catch (const std::exception&) {
    return message;
  }
  aError.clear();
  return message;
}

/// Appends the encrypted frame of aMessage to aFrames.
auto SecureLink::Seal(const Envelope& aMessage, std::string& aFrames)
  -> std::error_code
{
  const auto plain = PackEnvelope(aMessage);
  const auto sealed =
    plain.size() + crypto_secretstream_xchacha20poly1305_ABYTES;
  if (sealed > kMaxFrameBytes) {
    return LinkError::Oversized;
  }
  const auto start = aFrames.size();
  aFrames += EncodeLength(sealed);
  aFrames.resize(start + kLengthBytes + sealed);
  crypto_secretstream_xchacha20poly1305_push(
    &m_state->sending,
    reinterpret_cast<unsigned char*>(aFrames.data() + start + kLengthBytes),
    nullptr, reinterpret_cast<const unsigned char*>(plain.data()), plain.size(),
    nullptr, 0, 0);
  return {};
}

auto SecureLink::Write(const std::vector<Envelope>& aMessages,
                       std::error_code& aError) -> awaitable<void>
{
  std::string frames;
  for (const auto& message : aMessages) {
    aError = Seal(message, frames);
    if (aError) {
      co_return;
    }
  }
  boost::system::error_code failure;
  co_await asio::async_write(m_state->socket, asio::buffer(frames),
                             RedirectError(failure));
  m_state->bytesSent += frames.size();
  aError = failure ? make_error_code(LinkError::Lost) : std::error_code{};
}

/// Reads more bytes from the socket. Suspends even if some are available, so
/// that a peer that sends continuously does not starve other tasks.
auto SecureLink::ReadSocket() -> awaitable<std::error_code>
{
  static thread_local std::array<char, kReadBufferBytes> buffer;
  auto& state = *m_state;
  state.received.erase(0, state.consumed);
  state.consumed = 0;
  if (state.received.empty()) {
    state.received.shrink_to_fit();
  }
  boost::system::error_code failure;
  co_await state.socket.async_wait(Tcp::socket::wait_read,
                                   RedirectError(failure));
  if (failure) {
    co_return LinkError::Lost;
  }
  const auto size = state.socket.read_some(asio::buffer(buffer), failure);
  if (failure && failure != asio::error::would_block) {
    co_return LinkError::Lost;
  }
  state.received.append(buffer.data(), size);
  co_return std::error_code{};
}

/// Decodes the frame length at the start of aFrames, which must hold at least
/// kLengthBytes.
static auto DecodeFrameLength(std::string_view aFrames, std::error_code& aError)
  -> std::size_t
{
  std::size_t size = 0;
  for (const auto byte : aFrames.substr(0, kLengthBytes)) {
    size = size << 8 | static_cast<unsigned char>(byte);
  }
  if (size > kMaxFrameBytes) {
    aError = LinkError::Oversized;
  } else if (size < crypto_secretstream_xchacha20poly1305_ABYTES) {
    aError = LinkError::Malformed;
  }
  return size;
}

auto SecureLink::Read(std::error_code& aError) -> awaitable<Envelope>
{
  auto& state = *m_state;
  std::size_t size = 0;
  aError.clear();
  for (;;) {
    const auto frames = std::string_view(state.received).substr(state.consumed);
    if (frames.size() >= kLengthBytes) {
      size = DecodeFrameLength(frames, aError);
      if (aError) {
        co_return Envelope{};
      }
      if (frames.size() >= kLengthBytes + size) {
        break;
      }
    }
    aError = co_await ReadSocket();
    if (aError) {
      co_return Envelope{};
    }
  }
  const auto* frame = state.received.data() + state.consumed + kLengthBytes;
  state.consumed += kLengthBytes + size;
  state.bytesReceived += kLengthBytes + size;
  std::string plain(size - crypto_secretstream_xchacha20poly1305_ABYTES, '\0');
  if (crypto_secretstream_xchacha20poly1305_pull(
        &state.receiving, reinterpret_cast<unsigned char*>(plain.data()),
        nullptr, nullptr, reinterpret_cast<const unsigned char*>(frame), size,
        nullptr, 0) != 0) {
    aError = LinkError::Authentication;
    co_return Envelope{};
  }
  co_return UnpackEnvelope(plain, aError);
}

auto SecureLink::Close() -> void
{
  boost::system::error_code ignored;
  m_state->socket.close(ignored);
}

auto SecureLink::BytesSent() const -> std::uint64_t
{
  return m_state->bytesSent;
}

auto SecureLink::BytesReceived() const -> std::uint64_t
{
  return m_state->bytesReceived;
}

} // namespace bramleylock::peer
