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
constexpr std::size_t kGreeting = 1 + 32 + 16 + 24;

auto KeyOf(unsigned char aByte)
{
  ClusterKey key{};
  key.fill(aByte);
  return key;
}

auto Connected(asio::io_context& aContext)
{
  Tcp::acceptor acceptor(aContext,
                         Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  Tcp::socket near(aContext);
  near.connect(acceptor.local_endpoint());
  return std::pair(std::move(near), acceptor.accept());
}

auto Greet(SecureLink& aLink, ClusterKey aKey, bool aDialer,
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
struct Tapped
{
  Tapped()
  {
    auto [dialerEnd, tapNear] = Connected(context);
    auto [tapFar, acceptorEnd] = Connected(context);
    near.emplace(std::move(tapNear));
    far.emplace(std::move(tapFar));
    dialer.emplace(std::move(dialerEnd));
    acceptor.emplace(std::move(acceptorEnd));
    std::error_code first;
    std::error_code second;
    Spawn(context, "dialer", Greet(*dialer, KeyOf(1), true, first));
    Spawn(context, "acceptor", Greet(*acceptor, KeyOf(1), false, second));
    Run();
    Pass(*near, *far);
    Run();
    Pass(*far, *near);
    Run();
    cr_assert(!first && !second);
  }

  auto Run() -> void
  {
    context.restart();
    context.run_for(Milliseconds(100));
  }

  static auto Pass(Tcp::socket& aFrom, Tcp::socket& aTo) -> void
  {
    std::array<char, kGreeting> bytes{};
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
    std::string bytes(near->available(), '\0');
    asio::read(*near, asio::buffer(bytes));
    return bytes;
  }

  /// Delivers aBytes to the acceptor and returns the message that it reads.
  auto Receive(const std::string& aBytes, std::error_code& aError) -> Envelope
  {
    asio::write(*far, asio::buffer(aBytes));
    Envelope message;
    Spawn(context, "read", ReadOne(*acceptor, aError, message));
    Run();
    return message;
  }

  asio::io_context context{ 1 };
  std::optional<Tcp::socket> near;
  std::optional<Tcp::socket> far;
  std::optional<SecureLink> dialer;
  std::optional<SecureLink> acceptor;
};

} // namespace

Test(SecureLink, FramesArriveWhole)
{
  Tapped tapped;
  std::error_code error;
  const auto frame = tapped.Frame("body");
  cr_assert(frame.find("body") == std::string::npos);
  const auto message = tapped.Receive(frame, error);
  cr_assert(!error);
  cr_assert(message.body == "body");
}

Test(SecureLink, MessagesOfOneWriteArriveEachInOrder)
{
  Tapped tapped;
  std::error_code error;
  const auto frames = tapped.Frames({ "first", "", std::string(5000, 'x') });
  cr_assert(tapped.Receive(frames, error).body == "first" && !error);
  cr_assert(tapped.Receive("", error).body.empty() && !error);
  cr_assert(tapped.Receive("", error).body == std::string(5000, 'x') && !error);
}

Test(SecureLink, FramesMayBeCutAnywhereOnTheWay)
{
  Tapped tapped;
  const auto frames = tapped.Frames({ "first", "second" });
  std::error_code error;
  Envelope message;
  Spawn(tapped.context, "read", ReadOne(*tapped.acceptor, error, message));
  for (std::size_t i = 0; i + 1 < frames.size(); ++i) {
    asio::write(*tapped.far, asio::buffer(&frames[i], 1));
    tapped.context.restart();
    tapped.context.run_for(Milliseconds(2));
  }
  cr_assert(!error);
  cr_assert(message.body == "first");
  const auto last = tapped.Receive(frames.substr(frames.size() - 1), error);
  cr_assert(!error);
  cr_assert(last.body == "second");
}

Test(SecureLink, ForgedFrameBehindAGoodOneIsRefused)
{
  Tapped tapped;
  std::error_code error;
  auto frames = tapped.Frames({ "first", "second" });
  frames.back() = static_cast<char>(frames.back() ^ 1);
  cr_assert(tapped.Receive(frames, error).body == "first" && !error);
  tapped.Receive("", error);
  cr_assert(error == LinkError::Authentication);
}

Test(SecureLink, AnotherClustersKeyIsRefusedAtBothEnds)
{
  asio::io_context context(1);
  auto [dialerEnd, acceptorEnd] = Connected(context);
  SecureLink dialer(std::move(dialerEnd));
  SecureLink acceptor(std::move(acceptorEnd));
  std::error_code atDialer;
  std::error_code atAcceptor;
  Spawn(context, "dialer", Greet(dialer, KeyOf(1), true, atDialer));
  Spawn(context, "acceptor", Greet(acceptor, KeyOf(2), false, atAcceptor));
  context.run_for(Milliseconds(500));
  cr_assert(atAcceptor == LinkError::Authentication);
  cr_assert(atDialer == LinkError::Lost);
}

Test(SecureLink, ReplayedFrameIsRefused)
{
  Tapped tapped;
  std::error_code error;
  const auto frame = tapped.Frame("once");
  tapped.Receive(frame, error);
  cr_assert(!error);
  tapped.Receive(frame, error);
  cr_assert(error == LinkError::Authentication);
}

Test(SecureLink, FrameOfAnotherLinkIsRefused)
{
  Tapped first;
  Tapped second;
  std::error_code error;
  second.Receive(first.Frame("elsewhere"), error);
  cr_assert(error == LinkError::Authentication);
}

Test(SecureLink, ChangedFrameIsRefused)
{
  Tapped tapped;
  std::error_code error;
  auto frame = tapped.Frame("body");
  frame.back() = static_cast<char>(frame.back() ^ 1);
  tapped.Receive(frame, error);
  cr_assert(error == LinkError::Authentication);
}

Test(SecureLink, SwappedFramesAreRefused)
{
  Tapped tapped;
  std::error_code error;
  tapped.Frame("first");
  tapped.Receive(tapped.Frame("second"), error);
  cr_assert(error == LinkError::Authentication);
}

Test(SecureLink, TruncatedFrameIsALostLink)
{
  Tapped tapped;
  std::error_code error;
  const auto frame = tapped.Frame("body");
  asio::write(*tapped.far, asio::buffer(frame.substr(0, frame.size() - 1)));
  tapped.far->close();
  Envelope message;
  Spawn(tapped.context, "read", ReadOne(*tapped.acceptor, error, message));
  tapped.Run();
  cr_assert(error == LinkError::Lost);
}

Test(SecureLink, OversizedLengthIsRefusedBeforeItIsRead)
{
  Tapped tapped;
  std::error_code error;
  tapped.Receive(std::string("\xff\xff\xff\xff", 4), error);
  cr_assert(error == LinkError::Oversized);
}

Test(SecureLink, LengthBelowTheCodeIsMalformed)
{
  Tapped tapped;
  std::error_code error;
  tapped.Receive(std::string("\0\0\0\1", 4), error);
  cr_assert(error == LinkError::Malformed);
}

Test(SecureLink, OversizedMessageIsNotSent)
{
  Tapped tapped;
  std::error_code error;
  Spawn(tapped.context, "write",
        WriteAll(*tapped.dialer,
                 { { wire::MessageType::Lists, std::string(3U << 20, 'x') } },
                 error));
  tapped.Run();
  cr_assert(error == LinkError::Oversized);
}
