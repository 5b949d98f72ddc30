// Peer links against altered, replayed, reordered and malformed input.

#include "bramleylock/Peer/SecureLink.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>

using namespace bramleylock;
using namespace bramleylock::peer;

namespace {

/// Size of a handshake message: version, public key, authentication code and
/// stream header.
constexpr std::size_t kHandshakeBytes = 1 + 32 + 16 + 24;

auto KeyFilledWith(unsigned char aByte)
{
  ClusterKey key{};
  key.fill(aByte);
  return key;
}

auto ConnectSockets(asio::io_context& aContext)
{
  Tcp::acceptor acceptor(aContext,
                         Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  Tcp::socket connecting(aContext);
  connecting.connect(acceptor.local_endpoint());
  return std::pair(std::move(connecting), acceptor.accept());
}

auto RunHandshake(SecureLink& aLink, ClusterKey aKey, bool aDialer,
                  std::error_code& aError) -> awaitable<void>
{
  co_await aLink.Handshake(aKey, aDialer, aError);
  if (aError) {
    aLink.Close();
  }
}

auto ReadOne(SecureLink& aLink, std::error_code& aError, Envelope& aMessage)
  -> awaitable<void>
{
  aMessage = co_await aLink.Read(aError);
}

auto WriteAll(SecureLink& aLink, std::vector<Envelope> aMessages,
              std::error_code& aError) -> awaitable<void>
{
  co_await aLink.Write(aMessages, aError);
}

/// Two links whose bytes pass through the test, which can alter them.
struct InterceptedLink
{
  InterceptedLink()
  {
    auto [dialerEnd, dialerTapEnd] = ConnectSockets(context);
    auto [acceptorTapEnd, acceptorEnd] = ConnectSockets(context);
    dialerTap.emplace(std::move(dialerTapEnd));
    acceptorTap.emplace(std::move(acceptorTapEnd));
    dialer.emplace(std::move(dialerEnd));
    acceptor.emplace(std::move(acceptorEnd));
    std::error_code dialerError;
    std::error_code acceptorError;
    Spawn(context, "dialer",
          RunHandshake(*dialer, KeyFilledWith(1), true, dialerError));
    Spawn(context, "acceptor",
          RunHandshake(*acceptor, KeyFilledWith(1), false, acceptorError));
    Run();
    RelayHandshake(*dialerTap, *acceptorTap);
    Run();
    RelayHandshake(*acceptorTap, *dialerTap);
    Run();
    cr_assert(!dialerError && !acceptorError);
  }

  auto Run() -> void
  {
    context.restart();
    context.run_for(Milliseconds(100));
  }

  static auto RelayHandshake(Tcp::socket& aFrom, Tcp::socket& aTo) -> void
  {
    std::array<char, kHandshakeBytes> bytes{};
    asio::read(aFrom, asio::buffer(bytes));
    asio::write(aTo, asio::buffer(bytes));
  }

  /// Returns the frame of one message from the dialer.
  auto Frame(const std::string& aBody) -> std::string
  {
    return Frames({ aBody });
  }

  /// Returns the frames of messages that the dialer sends in one write.
  auto Frames(const std::vector<std::string>& aBodies) -> std::string
  {
    std::error_code error;
    std::vector<Envelope> messages;
    messages.reserve(aBodies.size());
    for (const auto& body : aBodies) {
      messages.push_back({ wire::MessageType::Heartbeat, body });
    }
    Spawn(context, "write", WriteAll(*dialer, messages, error));
    Run();
    std::string bytes(dialerTap->available(), '\0');
    asio::read(*dialerTap, asio::buffer(bytes));
    return bytes;
  }

  /// Delivers aBytes to the acceptor and returns the message that it reads.
  auto Receive(const std::string& aBytes, std::error_code& aError) -> Envelope
  {
    asio::write(*acceptorTap, asio::buffer(aBytes));
    Envelope message;
    Spawn(context, "read", ReadOne(*acceptor, aError, message));
    Run();
    return message;
  }

  asio::io_context context{ 1 };
  std::optional<Tcp::socket> dialerTap;
  std::optional<Tcp::socket> acceptorTap;
  std::optional<SecureLink> dialer;
  std::optional<SecureLink> acceptor;
};

} // namespace

Test(SecureLink, FrameIsEncryptedAndArrivesIntact)
{
  InterceptedLink link;
  std::error_code error;
  const auto frame = link.Frame("body");
  cr_assert(frame.find("body") == std::string::npos);
  const auto message = link.Receive(frame, error);
  cr_assert(!error);
  cr_assert(message.body == "body");
}

Test(SecureLink, MessagesOfOneWriteArriveInOrder)
{
  InterceptedLink link;
  std::error_code error;
  const auto frames = link.Frames({ "first", "", std::string(5000, 'x') });
  cr_assert(link.Receive(frames, error).body == "first" && !error);
  cr_assert(link.Receive("", error).body.empty() && !error);
  cr_assert(link.Receive("", error).body == std::string(5000, 'x') && !error);
}

Test(SecureLink, FramesMayBeSplitAtAnyByte)
{
  InterceptedLink link;
  const auto frames = link.Frames({ "first", "second" });
  std::error_code error;
  Envelope message;
  Spawn(link.context, "read", ReadOne(*link.acceptor, error, message));
  for (std::size_t i = 0; i + 1 < frames.size(); ++i) {
    asio::write(*link.acceptorTap, asio::buffer(&frames[i], 1));
    link.context.restart();
    link.context.run_for(Milliseconds(2));
  }
  cr_assert(!error);
  cr_assert(message.body == "first");
  const auto last = link.Receive(frames.substr(frames.size() - 1), error);
  cr_assert(!error);
  cr_assert(last.body == "second");
}

Test(SecureLink, AlteredFrameAfterAValidOneIsRefused)
{
  InterceptedLink link;
  std::error_code error;
  auto frames = link.Frames({ "first", "second" });
  frames.back() = static_cast<char>(frames.back() ^ 1);
  cr_assert(link.Receive(frames, error).body == "first" && !error);
  link.Receive("", error);
  cr_assert(error == LinkError::Authentication);
}

Test(SecureLink, HandshakeWithAnotherClusterKeyFailsAtBothEnds)
{
  asio::io_context context(1);
  auto [dialerEnd, acceptorEnd] = ConnectSockets(context);
  SecureLink dialer(std::move(dialerEnd));
  SecureLink acceptor(std::move(acceptorEnd));
  std::error_code dialerError;
  std::error_code acceptorError;
  Spawn(context, "dialer",
        RunHandshake(dialer, KeyFilledWith(1), true, dialerError));
  Spawn(context, "acceptor",
        RunHandshake(acceptor, KeyFilledWith(2), false, acceptorError));
  context.run_for(Milliseconds(500));
  cr_assert(acceptorError == LinkError::Authentication);
  cr_assert(dialerError == LinkError::Lost);
}

Test(SecureLink, ReplayedFrameIsRefused)
{
  InterceptedLink link;
  std::error_code error;
  const auto frame = link.Frame("once");
  link.Receive(frame, error);
  cr_assert(!error);
  link.Receive(frame, error);
  cr_assert(error == LinkError::Authentication);
}

Test(SecureLink, FrameOfAnotherLinkIsRefused)
{
  InterceptedLink first;
  InterceptedLink second;
  std::error_code error;
  second.Receive(first.Frame("elsewhere"), error);
  cr_assert(error == LinkError::Authentication);
}

Test(SecureLink, AlteredFrameIsRefused)
{
  InterceptedLink link;
  std::error_code error;
  auto frame = link.Frame("body");
  frame.back() = static_cast<char>(frame.back() ^ 1);
  link.Receive(frame, error);
  cr_assert(error == LinkError::Authentication);
}

Test(SecureLink, ReorderedFramesAreRefused)
{
  InterceptedLink link;
  std::error_code error;
  link.Frame("first");
  link.Receive(link.Frame("second"), error);
  cr_assert(error == LinkError::Authentication);
}

Test(SecureLink, TruncatedFrameIsReportedAsALostConnection)
{
  InterceptedLink link;
  std::error_code error;
  const auto frame = link.Frame("body");
  asio::write(*link.acceptorTap,
              asio::buffer(frame.substr(0, frame.size() - 1)));
  link.acceptorTap->close();
  Envelope message;
  Spawn(link.context, "read", ReadOne(*link.acceptor, error, message));
  link.Run();
  cr_assert(error == LinkError::Lost);
}

Test(SecureLink, OversizedLengthIsRefusedBeforeItIsRead)
{
  InterceptedLink link;
  std::error_code error;
  link.Receive(std::string("\xff\xff\xff\xff", 4), error);
  cr_assert(error == LinkError::Oversized);
}

Test(SecureLink, FrameShorterThanItsAuthenticationTagIsMalformed)
{
  InterceptedLink link;
  std::error_code error;
  link.Receive(std::string("\0\0\0\1", 4), error);
  cr_assert(error == LinkError::Malformed);
}

Test(SecureLink, OversizedMessageIsNotSent)
{
  InterceptedLink link;
  std::error_code error;
  Spawn(link.context, "write",
        WriteAll(*link.dialer,
                 { { wire::MessageType::Lists, std::string(3U << 20, 'x') } },
                 error));
  link.Run();
  cr_assert(error == LinkError::Oversized);
}
