// The peer handshake and sealed frames, on libsodium.
//
// Each end sends an ephemeral public key with a code keyed by the cluster key.
// The session keys mix the key exchange with the cluster key, so a recorded
// handshake is of no use to anyone who cannot finish it. Frames are a 4-byte
// big-endian length and a crypto_secretstream message.

#include "bramleylock/Peer/SecureLink.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <sodium.h>

#include <algorithm>
#include <cassert>
#include <string_view>

namespace bramleylock::peer {

/// The largest sealed frame: the lists of a megabyte and their envelope.
static constexpr std::size_t kFrameLimitBytes = 2U << 20;

static constexpr std::size_t kLengthBytes = 4;

/// Read from the socket at once. Links share the buffer, because an idle link
/// must cost little memory.
static constexpr std::size_t kReadBytes = 65536;
static constexpr std::size_t kHelloMacBytes = 16;
static constexpr unsigned char kLinkVersion = 1;

/// Stands in place of the version where the dialer has no cluster key; its
/// question fills the rest of the greeting, the length first.
static constexpr unsigned char kQuestionVersion = 2;

/// The largest answer to it: the state of 81,000 targets is some 10 MB.
static constexpr std::size_t kAnswerLimitBytes = 32U << 20;

namespace {

struct Greeting
{
  unsigned char version = kLinkVersion;
  std::array<unsigned char, crypto_kx_PUBLICKEYBYTES> publicKey{};
  std::array<unsigned char, kHelloMacBytes> mac{};
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
  /// Bytes that were read; those before taken belong to earlier frames.
  std::string received;
  std::size_t taken = 0;
  std::uint64_t bytesSent = 0;
  std::uint64_t bytesReceived = 0;
  std::string question;
};

SecureLink::SecureLink(Tcp::socket aSocket)
  : m_state(std::make_unique<State>(std::move(aSocket)))
{
}

SecureLink::~SecureLink() = default;

/// The code that proves the cluster key. It covers the public key, the stream
/// header, the role and, for the accepting end, the dialer's public key.
static auto GreetingMac(const ClusterKey& aKey, const Greeting& aGreeting,
                        bool aDialer, const Greeting* aAnswered)
{
  std::array<unsigned char, kHelloMacBytes> mac{};
  crypto_generichash_state state;
  const unsigned char role = aDialer ? 'd' : 'a';
  crypto_generichash_init(&state, aKey.data(), aKey.size(), mac.size());
  crypto_generichash_update(&state, &role, 1);
  crypto_generichash_update(&state, &aGreeting.version, 1);
  crypto_generichash_update(&state, aGreeting.publicKey.data(),
                            aGreeting.publicKey.size());
  crypto_generichash_update(&state, aGreeting.streamHeader.data(),
                            aGreeting.streamHeader.size());
  if (aAnswered != nullptr) {
    crypto_generichash_update(&state, aAnswered->publicKey.data(),
                              aAnswered->publicKey.size());
  }
  crypto_generichash_final(&state, mac.data(), mac.size());
  return mac;
}

static auto MixClusterKey(const ClusterKey& aKey, const SessionKey& aSession)
  -> SessionKey
{
  SessionKey mixed{};
  crypto_generichash(mixed.data(), mixed.size(), aSession.data(),
                     aSession.size(), aKey.data(), aKey.size());
  return mixed;
}

static auto GreetingBuffers(Greeting& aGreeting)
{
  return std::array<asio::mutable_buffer, 4>{
    asio::buffer(&aGreeting.version, 1), asio::buffer(aGreeting.publicKey),
    asio::buffer(aGreeting.mac), asio::buffer(aGreeting.streamHeader)
  };
}

static constexpr std::size_t kGreetingBytes =
  1 + crypto_kx_PUBLICKEYBYTES + kHelloMacBytes +
  crypto_secretstream_xchacha20poly1305_HEADERBYTES;

static auto CheckGreeting(const ClusterKey& aKey, const Greeting& aTheirs,
                          bool aFromDialer, const Greeting* aAnswered) -> bool
{
  const auto mac = GreetingMac(aKey, aTheirs, aFromDialer, aAnswered);
  return aTheirs.version == kLinkVersion &&
         sodium_memcmp(mac.data(), aTheirs.mac.data(), mac.size()) == 0;
}

static_assert(kQuestionLimitBytes + 2 == kGreetingBytes);

/// The question in a greeting, or nothing when its length is not valid.
static auto QuestionOf(const Greeting& aGreeting) -> std::string
{
  std::string bytes;
  bytes.append(aGreeting.publicKey.begin(), aGreeting.publicKey.end());
  bytes.append(aGreeting.mac.begin(), aGreeting.mac.end());
  bytes.append(aGreeting.streamHeader.begin(), aGreeting.streamHeader.end());
  const auto size = static_cast<unsigned char>(bytes.front());
  return size <= kQuestionLimitBytes ? bytes.substr(1, size) : std::string();
}

auto SecureLink::TakeQuestion() -> std::string
{
  return std::move(m_state->question);
}

static auto LengthBytes(std::size_t aLength) -> std::string
{
  std::string bytes(kLengthBytes, '\0');
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    bytes[i] = static_cast<char>(aLength >> (8 * (kLengthBytes - 1 - i)));
  }
  return bytes;
}

auto SecureLink::AnswerQuestion(const std::string& aAnswer,
                                std::error_code& aError) -> awaitable<void>
{
  if (aAnswer.size() > kAnswerLimitBytes) {
    aError = LinkError::Oversized;
    co_return;
  }
  const auto bytes = LengthBytes(aAnswer.size()) + aAnswer;
  boost::system::error_code failure;
  co_await asio::async_write(m_state->socket, asio::buffer(bytes),
                             RedirectError(failure));
  m_state->bytesSent += bytes.size();
  aError = failure ? make_error_code(LinkError::Lost) : std::error_code{};
}

/// Reads an answer piece by piece, so that memory is taken for bytes that came
/// and not for those that were announced.
static auto ReadAnswer(Tcp::socket& aSocket, std::error_code& aError)
  -> awaitable<std::string>
{
  std::array<unsigned char, kLengthBytes> head{};
  boost::system::error_code failure;
  co_await asio::async_read(aSocket, asio::buffer(head),
                            RedirectError(failure));
  std::size_t length = 0;
  for (const auto byte : head) {
    length = (length << 8) | byte;
  }
  if (failure || length > kAnswerLimitBytes) {
    aError = failure ? LinkError::Lost : LinkError::Oversized;
    co_return std::string();
  }
  std::string answer;
  while (answer.size() < length) {
    const auto had = answer.size();
    answer.resize(std::min(length, had + kReadBytes));
    co_await asio::async_read(
      aSocket, asio::buffer(answer.data() + had, answer.size() - had),
      RedirectError(failure));
    if (failure) {
      aError = LinkError::Lost;
      co_return std::string();
    }
  }
  co_return answer;
}

auto AskWithoutKey(const std::string& aAddress, const std::string& aQuestion,
                   Milliseconds aTimeout, std::error_code& aError)
  -> awaitable<std::string>
{
  assert(aQuestion.size() <= kQuestionLimitBytes);
  const auto endpoint = ParseTcpEndpoint(aAddress, aError);
  if (aError) {
    co_return std::string();
  }
  std::string greeting(kGreetingBytes, '\0');
  greeting[0] = static_cast<char>(kQuestionVersion);
  greeting[1] = static_cast<char>(aQuestion.size());
  greeting.replace(2, aQuestion.size(), aQuestion);
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
  co_await asio::async_write(socket, asio::buffer(greeting),
                             RedirectError(failure));
  if (failure) {
    aError = LinkError::Lost;
    co_return std::string();
  }
  co_return co_await ReadAnswer(socket, aError);
}

auto SecureLink::Handshake(const ClusterKey& aKey, bool aDialer,
                           std::error_code& aError) -> awaitable<void>
{
  Greeting mine;
  Greeting theirs;
  std::array<unsigned char, crypto_kx_SECRETKEYBYTES> secret{};
  crypto_kx_keypair(mine.publicKey.data(), secret.data());
  randombytes_buf(mine.streamHeader.data(), mine.streamHeader.size());
  auto& socket = m_state->socket;
  boost::system::error_code failure;
  socket.set_option(Tcp::no_delay(true), failure);
  auto mineBuffers = GreetingBuffers(mine);
  auto theirBuffers = GreetingBuffers(theirs);
  if (!aDialer) {
    co_await asio::async_read(socket, theirBuffers, RedirectError(failure));
    if (!failure && theirs.version == kQuestionVersion) {
      m_state->question = QuestionOf(theirs);
      m_state->bytesReceived += kGreetingBytes;
      aError = LinkError::Question;
      co_return;
    }
    if (failure || !CheckGreeting(aKey, theirs, true, nullptr)) {
      aError = failure ? LinkError::Lost : LinkError::Authentication;
      co_return;
    }
  }
  mine.mac = GreetingMac(aKey, mine, aDialer, aDialer ? nullptr : &theirs);
  co_await asio::async_write(socket, mineBuffers, RedirectError(failure));
  if (failure) {
    aError = LinkError::Lost;
    co_return;
  }
  if (aDialer) {
    co_await asio::async_read(socket, theirBuffers, RedirectError(failure));
    if (failure || !CheckGreeting(aKey, theirs, false, &mine)) {
      // An end that rejects our greeting closes without an answer, which
      // looks the same here as a lost connection; that end counts it.
      aError = failure ? LinkError::Lost : LinkError::Authentication;
      co_return;
    }
  }
  SessionKey receive{};
  SessionKey send{};
  const auto derive =
    aDialer ? crypto_kx_client_session_keys : crypto_kx_server_session_keys;
  if (derive(receive.data(), send.data(), mine.publicKey.data(), secret.data(),
             theirs.publicKey.data()) != 0) {
    aError = LinkError::Authentication;
    co_return;
  }
  // Both stream states start from the header that the sender chose, which the
  // initialiser for the receiving side takes for either direction.
  crypto_secretstream_xchacha20poly1305_init_pull(
    &m_state->sending, mine.streamHeader.data(),
    MixClusterKey(aKey, send).data());
  crypto_secretstream_xchacha20poly1305_init_pull(
    &m_state->receiving, theirs.streamHeader.data(),
    MixClusterKey(aKey, receive).data());
  socket.non_blocking(true, failure);
  m_state->bytesSent += kGreetingBytes;
  m_state->bytesReceived += kGreetingBytes;
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
    // A number and nothing else stands first.
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

/// Appends the sealed frame of aMessage to aFrames.
auto SecureLink::Seal(const Envelope& aMessage, std::string& aFrames)
  -> std::error_code
{
  const auto plain = PackEnvelope(aMessage);
  const auto sealed =
    plain.size() + crypto_secretstream_xchacha20poly1305_ABYTES;
  if (sealed > kFrameLimitBytes) {
    return LinkError::Oversized;
  }
  const auto start = aFrames.size();
  aFrames += LengthBytes(sealed);
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

/// Waits for bytes even if some are there already, so that a peer that sends
/// without a pause leaves other tasks their turn.
auto SecureLink::ReadMore() -> awaitable<std::error_code>
{
  static thread_local std::array<char, kReadBytes> buffer;
  auto& state = *m_state;
  state.received.erase(0, state.taken);
  state.taken = 0;
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

/// The length at the start of aFrames, which has at least kLengthBytes.
static auto FrameLength(std::string_view aFrames, std::error_code& aError)
  -> std::size_t
{
  std::size_t size = 0;
  for (const auto byte : aFrames.substr(0, kLengthBytes)) {
    size = size << 8 | static_cast<unsigned char>(byte);
  }
  if (size > kFrameLimitBytes) {
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
    const auto frames = std::string_view(state.received).substr(state.taken);
    if (frames.size() >= kLengthBytes) {
      size = FrameLength(frames, aError);
      if (aError) {
        co_return Envelope{};
      }
      if (frames.size() >= kLengthBytes + size) {
        break;
      }
    }
    aError = co_await ReadMore();
    if (aError) {
      co_return Envelope{};
    }
  }
  const auto* frame = state.received.data() + state.taken + kLengthBytes;
  state.taken += kLengthBytes + size;
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
