// The stand-ins of stage-2.hh. Plain sockets and one thread.

#include "stage-2.hh"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>

#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace stage {

using nlohmann::json;

auto Now() -> Ms
{
  using namespace std::chrono;
  static const auto start = steady_clock::now();
  return duration_cast<milliseconds>(steady_clock::now() - start).count();
}

auto UnixMs() -> Ms
{
  using namespace std::chrono;
  return duration_cast<milliseconds>(system_clock::now().time_since_epoch())
    .count();
}

auto Events() -> Loop&
{
  static Loop loop;
  return loop;
}

static FILE* g_record = nullptr;

auto OpenRecord(const std::string& aPath) -> void
{
  g_record = std::fopen(aPath.c_str(), "w");
}

auto Record(const std::string& aLine) -> void
{
  std::fprintf(g_record != nullptr ? g_record : stdout, "%9.3f %s\n",
               static_cast<double>(Now()) / 1000, aLine.c_str());
}

auto Loop::After(Ms aDelay, std::function<void()> aAction) -> void
{
  m_timers.emplace(Now() + aDelay, std::move(aAction));
}

auto Loop::Watch(int aFd, std::function<void()> aReadable) -> void
{
  m_readers[aFd] = std::move(aReadable);
}

auto Loop::Forget(int aFd) -> void
{
  m_readers.erase(aFd);
}

auto Loop::RunUntil(Ms aTime) -> void
{
  while (Now() < aTime) {
    while (!m_timers.empty() && m_timers.begin()->first <= Now()) {
      auto action = std::move(m_timers.begin()->second);
      m_timers.erase(m_timers.begin());
      action();
    }
    std::vector<pollfd> polled;
    for (const auto& [fd, reader] : m_readers) {
      polled.push_back({ fd, POLLIN, 0 });
    }
    Ms wait = aTime - Now();
    if (!m_timers.empty()) {
      wait = std::min(wait, m_timers.begin()->first - Now());
    }
    const int ready = ::poll(polled.data(), polled.size(),
                             static_cast<int>(std::max<Ms>(wait, 0)));
    for (std::size_t i = 0; ready > 0 && i < polled.size(); ++i) {
      const auto found = m_readers.find(polled[i].fd);
      if (polled[i].revents != 0 && found != m_readers.end()) {
        const auto reader = found->second;
        reader();
      }
    }
  }
}

static auto Net16(std::string& aBytes, std::uint16_t aValue) -> void
{
  aBytes.push_back(static_cast<char>(aValue >> 8));
  aBytes.push_back(static_cast<char>(aValue));
}

static auto Net32(std::string& aBytes, std::uint32_t aValue) -> void
{
  Net16(aBytes, static_cast<std::uint16_t>(aValue >> 16));
  Net16(aBytes, static_cast<std::uint16_t>(aValue));
}

static auto Read32(const char* aData) -> std::uint32_t
{
  const auto* bytes = reinterpret_cast<const unsigned char*>(aData);
  return static_cast<std::uint32_t>(bytes[0]) << 24 |
         static_cast<std::uint32_t>(bytes[1]) << 16 |
         static_cast<std::uint32_t>(bytes[2]) << 8 | bytes[3];
}

static auto Read16(const char* aData) -> std::uint16_t
{
  return static_cast<std::uint16_t>(Read32(aData) >> 16);
}

/// A keyed sum over all fields but echo; never 0.
static auto SumOf(const Packet& aPacket) -> std::uint32_t
{
  std::uint64_t hash = 0x9e3779b97f4a7c15ULL;
  const auto mix = [&hash](std::uint64_t aValue) {
    hash ^= aValue;
    hash *= 0xbf58476d1ce4e5b9ULL;
    hash ^= hash >> 29;
  };
  mix(aPacket.dst);
  mix(aPacket.dport);
  mix(aPacket.src);
  mix(aPacket.sport);
  mix(aPacket.flags);
  mix(aPacket.seq);
  mix(aPacket.ack);
  for (const char byte : aPacket.data) {
    mix(static_cast<unsigned char>(byte));
  }
  const auto sum = static_cast<std::uint32_t>(hash >> 16);
  return sum == 0 ? 1 : sum;
}

auto HasSum(const Packet& aPacket) -> bool
{
  return aPacket.sum == SumOf(aPacket);
}

auto Encode(Packet aPacket) -> std::string
{
  std::string bytes;
  Net32(bytes, aPacket.dst);
  Net16(bytes, aPacket.dport);
  Net32(bytes, aPacket.src);
  Net16(bytes, aPacket.sport);
  Net32(bytes, SumOf(aPacket));
  Net32(bytes, aPacket.echo);
  bytes.push_back(static_cast<char>(aPacket.flags));
  bytes.append(3, '\0');
  Net16(bytes, static_cast<std::uint16_t>(aPacket.data.size()));
  Net32(bytes, aPacket.seq);
  Net32(bytes, aPacket.ack);
  return bytes + aPacket.data;
}

auto Decode(const char* aData, std::size_t aSize, Packet& aPacket) -> bool
{
  if (aSize < 34 || Read16(aData + 24) != aSize - 34) {
    return false;
  }
  aPacket.dst = Read32(aData);
  aPacket.dport = Read16(aData + 4);
  aPacket.src = Read32(aData + 6);
  aPacket.sport = Read16(aData + 10);
  aPacket.sum = Read32(aData + 12);
  aPacket.echo = Read32(aData + 16);
  aPacket.flags = static_cast<std::uint8_t>(aData[20]);
  aPacket.seq = Read32(aData + 26);
  aPacket.ack = Read32(aData + 30);
  aPacket.data.assign(aData + 34, aSize - 34);
  return true;
}

auto Ip(const std::string& aText) -> std::uint32_t
{
  in_addr address{};
  ::inet_pton(AF_INET, aText.c_str(), &address);
  return ntohl(address.s_addr);
}

auto IpText(std::uint32_t aIp) -> std::string
{
  in_addr address{ htonl(aIp) };
  char text[INET_ADDRSTRLEN];
  return ::inet_ntop(AF_INET, &address, text, sizeof text);
}

static auto ToAddress(const std::string& aIp, std::uint16_t aPort)
  -> sockaddr_in
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(Ip(aIp));
  address.sin_port = htons(aPort);
  return address;
}

static auto Fail(const std::string& aWhat) -> void
{
  std::fprintf(stderr, "cannot run: %s: %s\n", aWhat.c_str(),
               std::strerror(errno));
  std::exit(2);
}

static auto Bind(int aFd, const std::string& aIp, std::uint16_t aPort) -> void
{
  const auto address = ToAddress(aIp, aPort);
  const int one = 1;
  ::setsockopt(aFd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (::bind(aFd, reinterpret_cast<const sockaddr*>(&address),
             sizeof address) != 0) {
    Fail("bind " + aIp + ":" + std::to_string(aPort));
  }
}

auto BindUdp(const std::string& aIp, std::uint16_t aPort) -> int
{
  const int fd = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  Bind(fd, aIp, aPort);
  const int size = 1 << 20;
  ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
  return fd;
}

auto ListenTcp(const std::string& aIp, std::uint16_t aPort) -> int
{
  const int fd =
    ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  Bind(fd, aIp, aPort);
  if (::listen(fd, 128) != 0) {
    Fail("listen");
  }
  return fd;
}

auto SendUdp(int aFd, const std::string& aIp, std::uint16_t aPort,
             const std::string& aBytes) -> void
{
  const auto address = ToAddress(aIp, aPort);
  ::sendto(aFd, aBytes.data(), aBytes.size(), 0,
           reinterpret_cast<const sockaddr*>(&address), sizeof address);
}

HttpServer::HttpServer(const std::string& aIp, std::uint16_t aPort,
                       std::string aHeaders, Handler aHandler)
  : m_listener(ListenTcp(aIp, aPort))
  , m_headers(std::move(aHeaders))
  , m_handler(std::move(aHandler))
{
  Events().Watch(m_listener, [this] { Accept(); });
}

HttpServer::~HttpServer()
{
  *m_alive = false;
  Events().Forget(m_listener);
  ::close(m_listener);
  for (const auto& [fd, input] : m_input) {
    Events().Forget(fd);
    ::close(fd);
  }
}

auto HttpServer::Accept() -> void
{
  const int fd =
    ::accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (fd < 0) {
    return;
  }
  const int one = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  m_input[fd] = {};
  Events().Watch(fd, [this, fd] { ReadFrom(fd); });
}

auto HttpServer::ReadFrom(int aFd) -> void
{
  char buffer[65536];
  const auto size = ::recv(aFd, buffer, sizeof buffer, 0);
  if (size <= 0) {
    Events().Forget(aFd);
    ::close(aFd);
    m_input.erase(aFd);
    return;
  }
  auto& input = m_input[aFd];
  input.append(buffer, static_cast<std::size_t>(size));
  const auto end = input.find("\r\n\r\n");
  if (end == std::string::npos || m_dark) {
    return;
  }
  std::size_t length = 0;
  auto lower = input.substr(0, end);
  std::transform(lower.begin(), lower.end(), lower.begin(), ::tolower);
  if (const auto at = lower.find("content-length:"); at != std::string::npos) {
    length = std::strtoul(lower.c_str() + at + 15, nullptr, 10);
  }
  if (input.size() < end + 4 + length) {
    return;
  }
  const auto first = input.find(' ');
  const auto second = input.find(' ', first + 1);
  const auto method = input.substr(0, first);
  const auto target = input.substr(first + 1, second - first - 1);
  const auto body = input.substr(end + 4, length);
  input.erase(0, end + 4 + length);
  sockaddr_in peer{};
  socklen_t peerSize = sizeof peer;
  ::getpeername(aFd, reinterpret_cast<sockaddr*>(&peer), &peerSize);
  const auto alive = m_alive;
  m_handler(method, target, body, IpText(ntohl(peer.sin_addr.s_addr)),
            [this, aFd, alive](int aStatus, const std::string& aBody) {
              if (!*alive || !m_input.contains(aFd)) {
                return;
              }
              const auto text = "HTTP/1.1 " + std::to_string(aStatus) +
                                " X\r\nContent-Type: application/json\r\n" +
                                m_headers +
                                "Content-Length: " + std::to_string(aBody.size()) +
                                "\r\n\r\n" + aBody;
              // Answers are small and the loopback window is larger.
              [[maybe_unused]] const auto sent =
                ::send(aFd, text.data(), text.size(), MSG_NOSIGNAL);
            });
}

static const char* const kBase64 =
  "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

auto Base64(const std::string& aBytes) -> std::string
{
  std::string text;
  for (std::size_t i = 0; i < aBytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      group = group << 8 | (i + j < aBytes.size()
                              ? static_cast<unsigned char>(aBytes[i + j])
                              : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      text += i + j > aBytes.size() ? '=' : kBase64[group >> (18 - 6 * j) & 63];
    }
  }
  return text;
}

auto FromBase64(const std::string& aText) -> std::string
{
  std::string bytes;
  std::uint32_t group = 0;
  int bits = 0;
  for (const char letter : aText) {
    const auto* at = std::strchr(kBase64, letter);
    if (letter == '=' || at == nullptr) {
      break;
    }
    group = group << 6 | static_cast<std::uint32_t>(at - kBase64);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      bytes.push_back(static_cast<char>(group >> bits));
    }
  }
  return bytes;
}

static auto Parameter(const std::string& aTarget, const std::string& aName)
  -> std::string
{
  auto at = aTarget.find('?' + aName + '=');
  if (at == std::string::npos) {
    at = aTarget.find('&' + aName + '=');
  }
  if (at == std::string::npos) {
    return {};
  }
  const auto begin = at + aName.size() + 2;
  const auto raw = aTarget.substr(begin, aTarget.find('&', begin) - begin);
  std::string text;
  for (std::size_t i = 0; i < raw.size(); ++i) {
    if (raw[i] == '%' && i + 2 < raw.size()) {
      text.push_back(static_cast<char>(
        std::strtol(raw.substr(i + 1, 2).c_str(), nullptr, 16)));
      i += 2;
    } else {
      text.push_back(raw[i]);
    }
  }
  return text;
}

Store::Store(const std::string& aIp, std::uint16_t aPort)
{
  m_server = std::make_unique<HttpServer>(
    aIp, aPort, "Store-Era: 1\r\n",
    [this](const std::string& aMethod, const std::string& aTarget,
           const std::string& aBody, const std::string& aPeerIp,
           HttpServer::Reply aReply) {
      if (onCall) {
        onCall(aPeerIp, aMethod + ' ' + aTarget);
      }
      Events().After(4, [this, aMethod, aTarget, aBody, aReply] {
        Handle(aMethod, aTarget, aBody, aReply);
      });
    });
}

auto Store::Put(const std::string& aKey, const std::string& aValue)
  -> std::uint64_t
{
  Add({ aKey, aValue, m_rev + 1, false });
  return m_rev;
}

auto Store::Remove(const std::string& aKey) -> void
{
  if (m_items.contains(aKey)) {
    Add({ aKey, {}, m_rev + 1, true });
  }
}

auto Store::Add(Event aEvent) -> void
{
  m_rev = aEvent.rev;
  if (aEvent.deleted) {
    m_items.erase(aEvent.key);
  } else {
    m_items[aEvent.key] = aEvent;
  }
  m_events.push_back(std::move(aEvent));
  for (const auto& waiter : m_waiters) {
    const auto events = EventsAfter(waiter->prefix, waiter->after);
    if (!waiter->done && !events.empty()) {
      waiter->done = true;
      waiter->reply(200, events);
    }
  }
  std::erase_if(m_waiters, [](const auto& aWaiter) { return aWaiter->done; });
}

/// Returns the answer to a watch, or nothing if there is no event.
auto Store::EventsAfter(const std::string& aPrefix, std::uint64_t aRev)
  -> std::string
{
  auto rows = json::array();
  for (const auto& event : m_events) {
    if (event.rev <= aRev || !event.key.starts_with(aPrefix)) {
      continue;
    }
    if (event.deleted) {
      rows.push_back(
        { { "key", event.key }, { "rev", event.rev }, { "deleted", true } });
    } else {
      rows.push_back({ { "key", event.key },
                       { "value", Base64(event.value) },
                       { "rev", event.rev },
                       { "created", event.rev },
                       { "lease", 0 } });
    }
  }
  if (rows.empty()) {
    return {};
  }
  return json{ { "events", rows }, { "currentRev", m_rev } }.dump();
}

auto Store::Handle(const std::string& aMethod, const std::string& aTarget,
                   const std::string& aBody, HttpServer::Reply aReply) -> void
{
  const auto path = aTarget.substr(0, aTarget.find('?'));
  const auto row = [](const Event& aItem) {
    return json{ { "key", aItem.key },
                 { "value", Base64(aItem.value) },
                 { "rev", aItem.rev },
                 { "created", aItem.rev },
                 { "lease", 0 } };
  };
  if (path == "/kv-range") {
    const auto prefix = Parameter(aTarget, "prefix");
    const auto after = Parameter(aTarget, "after");
    auto rows = json::array();
    for (const auto& [key, item] : m_items) {
      if (key.starts_with(prefix) && key > after) {
        rows.push_back(row(item));
      }
    }
    aReply(200, json{ { "items", rows },
                      { "hasMore", false },
                      { "currentRev", m_rev } }
                  .dump());
  } else if (path == "/kv-watch") {
    auto waiter = std::make_shared<Waiter>();
    waiter->prefix = Parameter(aTarget, "prefix");
    waiter->after =
      std::strtoull(Parameter(aTarget, "after").c_str(), nullptr, 10);
    waiter->reply = aReply;
    const auto events = EventsAfter(waiter->prefix, waiter->after);
    const auto waitMs = std::strtoll(Parameter(aTarget, "waitMs").c_str(),
                                     nullptr, 10);
    const auto none = [this] {
      return json{ { "events", json::array() }, { "currentRev", m_rev } }.dump();
    };
    if (!events.empty() || waitMs <= 0) {
      aReply(200, events.empty() ? none() : events);
      return;
    }
    m_waiters.push_back(waiter);
    Events().After(waitMs, [this, waiter, none] {
      if (!waiter->done) {
        waiter->done = true;
        waiter->reply(200, none());
        std::erase(m_waiters, waiter);
      }
    });
  } else if (path == "/kv-txn" && aMethod == "POST") {
    const auto body = json::parse(aBody, nullptr, false);
    bool conflict = false;
    auto rows = json::array();
    for (const auto& expected : body.value("expectRev", json::array())) {
      const auto found = m_items.find(expected.value("key", ""));
      const auto rev = found == m_items.end() ? 0 : found->second.rev;
      conflict = conflict || rev != expected.value("rev", std::uint64_t{ 0 });
      if (found != m_items.end()) {
        rows.push_back(row(found->second));
      }
    }
    if (conflict) {
      aReply(412, json{ { "items", rows } }.dump());
      return;
    }
    for (const auto& put : body.value("puts", json::array())) {
      Put(put.value("key", ""), FromBase64(put.value("value", "")));
    }
    for (const auto& key : body.value("remove", json::array())) {
      Remove(key.get<std::string>());
    }
    aReply(200, json{ { "rev", m_rev } }.dump());
  } else {
    aReply(404, "{}");
  }
}

Host::Host(Store& aStore, HostOptions aOptions)
  : m_store(aStore)
  , m_options(std::move(aOptions))
  , m_random(Ip(m_options.ip) * 7919ULL + m_options.port)
{
  m_udp = BindUdp(m_options.ip, m_options.port);
  Events().Watch(m_udp, [this] { OnDatagram(); });
  m_health = std::make_unique<HttpServer>(
    m_options.ip, m_options.port, "Instance: " + m_options.id + "\r\n",
    [](const std::string&, const std::string&, const std::string&,
       const std::string&,
       HttpServer::Reply aReply) { aReply(200, "{}"); });
}

auto Host::Start(bool aCold) -> void
{
  m_up = true;
  m_health->SetDark(false);
  m_born = UnixMs();
  m_coldUntil = aCold ? Now() + m_options.coldMs : 0;
  m_seq = 0;
  m_busy = 0;
  ++m_generation;
  Beat();
}

auto Host::TurnCold() -> void
{
  m_coldUntil = Now() + m_options.coldMs;
  ++m_generation;
  Beat();
}

auto Host::PowerOff() -> void
{
  m_up = false;
  m_health->SetDark(true);
  m_flows.clear();
  m_queue.clear();
  ++m_generation;
}

auto Host::IsCold() const -> bool
{
  return m_up && Now() < m_coldUntil;
}

/// Writes the entry, and again every 1,200 ms while this lifetime goes on.
auto Host::Beat() -> void
{
  const auto left = std::max<Ms>(0, m_coldUntil - Now());
  // The entry changes only when more than its count changes.
  if (m_seq == 0 || left > 0) {
    const json entry{ { "service", m_options.service },
                      { "addr", m_options.ip + ":" +
                                  std::to_string(m_options.port) },
                      { "zone", m_options.zone },
                      { "version", "v1" },
                      { "slots", m_options.slots },
                      { "state", "ready" },
                      { "coldLeftMs", left },
                      { "seq", ++m_seq },
                      { "born", m_born } };
    m_store.Put("servers/" + m_options.id, entry.dump());
  }
  Events().After(1200, [this, generation = m_generation] {
    if (m_up && generation == m_generation) {
      Beat();
    }
  });
}

auto Host::OnDatagram() -> void
{
  char buffer[2048];
  for (;;) {
    sockaddr_in from{};
    socklen_t fromSize = sizeof from;
    const auto size = ::recvfrom(m_udp, buffer, sizeof buffer, 0,
                                 reinterpret_cast<sockaddr*>(&from), &fromSize);
    if (size < 0) {
      return;
    }
    lastBalancer = IpText(ntohl(from.sin_addr.s_addr));
    Packet packet;
    if (!m_up || size < 8 ||
        !Decode(buffer + 8, static_cast<std::size_t>(size) - 8, packet)) {
      continue;
    }
    const auto id = std::strtoull(
      m_options.id.substr(m_options.id.rfind('-') + 1).c_str(), nullptr, 16);
    const auto meant =
      static_cast<std::uint64_t>(Read32(buffer)) << 32 | Read32(buffer + 4);
    if (meant != 0 && meant != id) {
      continue;
    }
    if (!HasSum(packet)) {
      ++foreignPackets;
      continue;
    }
    OnPacket(packet);
  }
}

auto Host::Send(const Packet& aTo, std::uint8_t aFlags, std::uint32_t aSeq,
                std::uint32_t aAck, std::uint32_t aEcho, std::string aData)
  -> void
{
  if (std::uniform_real_distribution<double>(0, 1)(m_random) <
      m_options.loss) {
    return;
  }
  const Packet packet{ aTo.src, aTo.sport, aTo.dst, aTo.dport, 0,
                       aEcho,   aFlags,    aSeq,    aAck,      std::move(aData) };
  SendUdp(m_udp, IpText(aTo.src), m_options.clientPort, Encode(packet));
}

auto Host::RepeatOpening(Key aKey, Packet aPacket, int aTry) -> void
{
  static constexpr Ms kDelays[] = { 200, 400, 800, 1600 };
  const auto generation = m_flows[aKey].generation;
  Events().After(kDelays[std::min(aTry, 3)],
                 [this, aKey, aPacket, aTry, generation] {
                   const auto found = m_flows.find(aKey);
                   if (found == m_flows.end() || found->second.open ||
                       found->second.generation != generation) {
                     return;
                   }
                   if (aTry >= 8) {
                     m_flows.erase(found);
                     return;
                   }
                   Send(aPacket, Syn | Ack, found->second.own,
                        aPacket.seq + 1, found->second.echo, {});
                   RepeatOpening(aKey, aPacket, aTry + 1);
                 });
}

auto Host::OnPacket(const Packet& aPacket) -> void
{
  const Key key{ static_cast<std::uint64_t>(aPacket.src) << 16 | aPacket.sport,
                 static_cast<std::uint64_t>(aPacket.dst) << 16 |
                   aPacket.dport };
  auto found = m_flows.find(key);
  if (aPacket.flags == Syn) {
    if (found == m_flows.end()) {
      if (m_flows.size() >= maxFlows) {
        return;
      }
      auto& flow = m_flows[key];
      flow.own = static_cast<std::uint32_t>(m_random());
      flow.peer = aPacket.seq;
      flow.generation = m_random();
      flow.echo = aPacket.echo;
      if (onOpening) {
        onOpening(*this, aPacket);
      }
      RepeatOpening(key, aPacket, 0);
      found = m_flows.find(key);
    }
    found->second.echo = aPacket.echo;
    if (!found->second.open) {
      Send(aPacket, Syn | Ack, found->second.own, aPacket.seq + 1,
           found->second.echo, {});
    }
    return;
  }
  if ((aPacket.flags & Rst) != 0) {
    if (found != m_flows.end()) {
      m_flows.erase(found);
    }
    return;
  }
  if (found == m_flows.end() ||
      (!found->second.open && aPacket.ack != found->second.own + 1)) {
    // It does not hold this flow: its client took another host.
    const bool ends = (aPacket.flags & Fin) != 0;
    if (!ends) {
      Send(aPacket, Rst, aPacket.ack, aPacket.seq, aPacket.echo, {});
    }
    if (found != m_flows.end()) {
      m_flows.erase(found);
    }
    return;
  }
  auto& flow = found->second;
  flow.open = true;
  flow.echo = aPacket.echo;
  if ((aPacket.flags & Fin) != 0) {
    Send(aPacket, Ack, flow.own + 2, aPacket.seq + 1, flow.echo, {});
    m_flows.erase(found);
    return;
  }
  if (aPacket.data.empty() || flow.requested) {
    return;
  }
  flow.requested = true;
  if (m_busy >= m_options.slots && m_queue.size() >= 8) {
    flow.answer = "503 not-run";
    Answer(key, aPacket, 0);
    return;
  }
  m_queue.emplace_back(key, aPacket);
  RunNext();
}

auto Host::RunNext() -> void
{
  while (m_up && m_busy < m_options.slots && !m_queue.empty()) {
    const auto [key, packet] = m_queue.front();
    m_queue.pop_front();
    ++m_busy;
    Record("run " + packet.data + " by " + m_options.id);
    if (onRun) {
      onRun(*this, packet.data);
    }
    const auto work = IsCold() ? static_cast<Ms>(static_cast<double>(
                                   m_options.workMs) *
                                 m_options.coldFactor)
                               : m_options.workMs;
    Events().After(work, [this, key = key, packet = packet, born = m_born] {
      if (!m_up || born != m_born) {
        return;
      }
      --m_busy;
      const auto found = m_flows.find(key);
      if (found != m_flows.end()) {
        found->second.answer = "200 " + packet.data;
        Answer(key, packet, 0);
      }
      RunNext();
    });
  }
}

/// Sends the answer until the client ends the flow.
auto Host::Answer(Key aKey, Packet aPacket, int aTry) -> void
{
  static constexpr Ms kDelays[] = { 200, 400, 800, 1600 };
  const auto found = m_flows.find(aKey);
  if (found == m_flows.end() || aTry > 8) {
    return;
  }
  auto& flow = found->second;
  const auto generation = flow.generation;
  Send(aPacket, Ack | Fin, flow.own + 1,
       aPacket.seq + static_cast<std::uint32_t>(aPacket.data.size()), flow.echo,
       flow.answer);
  Events().After(kDelays[std::min(aTry, 3)],
                 [this, aKey, aPacket, aTry, generation] {
                   const auto known = m_flows.find(aKey);
                   if (known != m_flows.end() &&
                       known->second.generation == generation) {
                     Answer(aKey, aPacket, aTry + 1);
                   }
                 });
}

Balancer::Balancer(BalancerOptions aOptions, std::uint16_t aReadinessPort)
  : m_options(std::move(aOptions))
  , m_readinessPort(aReadinessPort)
{
}

auto Balancer::Start() -> void
{
  Record("start " + m_options.name);
  if (!bootstrap) {
    // The platform fills in the settings anew at every start.
    std::ifstream file(m_options.settings);
    std::string text;
    for (std::string line; std::getline(file, line);) {
      text += line.starts_with("first_start") ? "" : line + "\n";
    }
    file.close();
    std::ofstream(m_options.settings) << text;
  }
  m_pid = ::fork();
  if (m_pid == 0) {
    // The balancers end with this program.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log =
      ::open(m_options.log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(log, 1);
    ::dup2(log, 2);
    ::execl(m_options.program.c_str(), m_options.program.c_str(), "--config",
            m_options.settings.c_str(), nullptr);
    ::_exit(127);
  }
}

auto Balancer::Signal(int aSignal) -> void
{
  if (m_pid > 0) {
    Record("signal " + std::to_string(aSignal) + " to " + m_options.name);
    ::kill(m_pid, aSignal);
  }
}

auto Balancer::IsRunning() -> bool
{
  int status = 0;
  if (m_pid > 0 && ::waitpid(m_pid, &status, WNOHANG) == m_pid) {
    Record("end of " + m_options.name + ", status " + std::to_string(status));
    m_pid = 0;
  }
  return m_pid > 0;
}

auto Balancer::RestartAfterEnd(Ms aDelay) -> void
{
  if (IsRunning()) {
    Events().After(20, [this, aDelay] { RestartAfterEnd(aDelay); });
    return;
  }
  Events().After(aDelay, [this] { Start(); });
}

auto Balancer::Missed() -> void
{
  ++m_misses;
  if (m_misses == 2 && onRotation) {
    onRotation(*this, false);
  }
}

/// Asks for readiness twice a second; two misses end the rotation.
auto Balancer::Probe() -> void
{
  Events().After(500, [this] { Probe(); });
  IsRunning();
  const int fd =
    ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const auto address = ToAddress(m_options.ip, m_readinessPort);
  const int connected = ::connect(
    fd, reinterpret_cast<const sockaddr*>(&address), sizeof address);
  if (connected != 0 && errno != EINPROGRESS) {
    ::close(fd);
    Missed();
    return;
  }
  static const std::string request =
    "GET /ready HTTP/1.1\r\nHost: balancer\r\nConnection: close\r\n\r\n";
  auto done = std::make_shared<bool>(false);
  const auto finish = [this, fd, done](bool aReady) {
    if (*done) {
      return;
    }
    *done = true;
    Events().Forget(fd);
    ::close(fd);
    if (!aReady) {
      Missed();
      return;
    }
    const bool wasOut = m_misses >= 2;
    m_misses = 0;
    if (wasOut && onRotation) {
      onRotation(*this, true);
    }
  };
  // A loopback connection is established at once.
  Events().After(5, [fd, done] {
    if (!*done) {
      [[maybe_unused]] const auto sent =
        ::send(fd, request.data(), request.size(), MSG_NOSIGNAL);
    }
  });
  Events().Watch(fd, [fd, finish] {
    char buffer[512];
    const auto size = ::recv(fd, buffer, sizeof buffer, 0);
    finish(size > 12 && std::string(buffer + 9, 3) == "200");
  });
  Events().After(450, [finish] { finish(false); });
}

Clients::Clients(std::string aIp, std::uint16_t aPort, std::string aZone,
                 std::vector<Balancer*> aBalancers, std::uint64_t aSeed)
  : m_ip(std::move(aIp))
  , m_port(aPort)
  , m_zone(std::move(aZone))
  , m_balancers(std::move(aBalancers))
  , m_random(aSeed)
  , m_udp(BindUdp(m_ip, aPort))
{
  Events().Watch(m_udp, [this] { OnDatagram(); });
}

/// The routers use the nodes of the clients' zone that are in rotation, all of
/// them if fewer than half are, and those of other zones if none is.
auto Clients::Route(const Attempt& aAttempt) -> Balancer*
{
  std::vector<Balancer*> all;
  std::vector<Balancer*> rotation;
  std::vector<Balancer*> others;
  for (auto* balancer : m_balancers) {
    if (balancer->absent) {
      continue;
    }
    if (balancer->Options().zone == m_zone) {
      all.push_back(balancer);
      if (balancer->InRotation()) {
        rotation.push_back(balancer);
      }
    } else if (balancer->InRotation()) {
      others.push_back(balancer);
    }
  }
  auto* nodes = &rotation;
  if (rotation.empty()) {
    nodes = &others;
  } else if (rotation.size() * 2 < all.size()) {
    nodes = &all;
  }
  if (nodes->empty()) {
    return nullptr;
  }
  std::uint64_t hash = Ip(m_ip) * 0x9e3779b97f4a7c15ULL;
  for (const std::uint64_t part :
       { std::uint64_t{ aAttempt.port }, std::uint64_t{ Ip(aAttempt.routeIp) },
         std::uint64_t{ aAttempt.routePort } }) {
    hash = (hash ^ part) * 0xbf58476d1ce4e5b9ULL;
    hash ^= hash >> 31;
  }
  return (*nodes)[hash % nodes->size()];
}

auto Clients::Send(const Attempt& aAttempt, std::uint8_t aFlags,
                   std::uint32_t aSeq, std::uint32_t aAck,
                   const std::string& aData) -> void
{
  auto* balancer = Route(aAttempt);
  if (balancer == nullptr) {
    return;
  }
  const Packet packet{ Ip(aAttempt.routeIp),
                       aAttempt.routePort,
                       Ip(m_ip),
                       aAttempt.port,
                       0,
                       aAttempt.echo,
                       aFlags,
                       aSeq,
                       aAck,
                       aData };
  SendUdp(m_udp, balancer->Options().ip, m_port, Encode(packet));
}

auto Clients::Request(const std::string& aId, const std::string& aRouteIp,
                      std::uint16_t aRoutePort, Ms aBudget,
                      std::function<void(Attempt&, Outcome)> aOnEnd) -> void
{
  auto attempt = std::make_shared<Attempt>();
  attempt->id = aId;
  attempt->port = m_nextPort = m_nextPort == 64000 ? 20000 : m_nextPort + 1;
  attempt->routeIp = aRouteIp;
  attempt->routePort = aRoutePort;
  attempt->seq = static_cast<std::uint32_t>(m_random());
  attempt->startedAt = Now();
  attempt->zone = m_zone;
  attempt->onEnd = std::move(aOnEnd);
  m_attempts[attempt->port] = attempt;
  Record("sent " + aId + " from port " + std::to_string(attempt->port));
  SendSyn(attempt, 0);
  Events().After(aBudget, [this, attempt] {
    if (!attempt->done) {
      End(*attempt, Outcome::NoAnswer);
    }
  });
}

static std::map<std::pair<std::string, std::uint16_t>, Ms> g_synSentAt;

auto OpeningSentAt(const Packet& aPacket) -> Ms
{
  return g_synSentAt[{ IpText(aPacket.src), aPacket.sport }];
}

auto OutcomeName(Outcome aOutcome) -> std::string
{
  switch (aOutcome) {
    case Outcome::Answered:
      return "answered";
    case Outcome::NeverOpened:
      return "never opened";
    case Outcome::ResetBeforeOpen:
      return "reset before it was open";
    case Outcome::ResetByHost:
      return "ended by its host";
    case Outcome::ResetByOtherHost:
      return "reset by a host that does not hold it";
    case Outcome::ResetByBalancer:
      return "reset by a balancer";
    case Outcome::NoAnswer:
      return "no answer";
  }
  return {};
}

auto Clients::SendSyn(std::shared_ptr<Attempt> aAttempt, int aCopy) -> void
{
  if (aAttempt->open || aAttempt->done) {
    return;
  }
  static constexpr Ms kIntervals[] = { 200, 400, 800 };
  if (aCopy == 3) {
    End(*aAttempt, Outcome::NeverOpened);
    return;
  }
  g_synSentAt[{ m_ip, aAttempt->port }] = Now();
  Send(*aAttempt, Syn, aAttempt->seq, static_cast<std::uint32_t>(aCopy), {});
  Events().After(kIntervals[aCopy], [this, aAttempt, aCopy] {
    SendSyn(aAttempt, aCopy + 1);
  });
}

auto Clients::SendRequest(std::shared_ptr<Attempt> aAttempt, Ms aDelay) -> void
{
  if (aAttempt->done) {
    return;
  }
  ++aAttempt->sends;
  Send(*aAttempt, Ack, aAttempt->seq + 1, aAttempt->hostSeq + 1, aAttempt->id);
  Events().After(aDelay, [this, aAttempt, aDelay] {
    SendRequest(aAttempt, std::min<Ms>(2 * aDelay, 1600));
  });
}

auto Clients::End(Attempt& aAttempt, Outcome aOutcome) -> void
{
  aAttempt.done = true;
  Record(aAttempt.id + ": " + OutcomeName(aOutcome));
  if (aAttempt.onEnd) {
    aAttempt.onEnd(aAttempt, aOutcome);
  }
  m_attempts.erase(aAttempt.port);
}

auto Clients::OnDatagram() -> void
{
  char buffer[2048];
  for (;;) {
    sockaddr_in from{};
    socklen_t fromSize = sizeof from;
    const auto size = ::recvfrom(m_udp, buffer, sizeof buffer, 0,
                                 reinterpret_cast<sockaddr*>(&from), &fromSize);
    if (size < 0) {
      return;
    }
    Packet packet;
    if (!Decode(buffer, static_cast<std::size_t>(size), packet)) {
      continue;
    }
    const auto found = m_attempts.find(packet.dport);
    if (found == m_attempts.end()) {
      continue;
    }
    const auto attempt = found->second;
    const auto sender = IpText(ntohl(from.sin_addr.s_addr));
    if ((packet.flags & Rst) != 0) {
      const bool byBalancer = packet.sum == 0;
      const auto distance = static_cast<std::int32_t>(
        packet.seq - (attempt->hostSeq + 1));
      if (!attempt->open) {
        End(*attempt, Outcome::ResetBeforeOpen);
      } else if (std::abs(static_cast<long>(distance)) <= 76800) {
        attempt->host += " reset by " + sender;
        End(*attempt, byBalancer ? Outcome::ResetByBalancer
                      : attempt->host.starts_with(sender + " ")
                        ? Outcome::ResetByHost
                        : Outcome::ResetByOtherHost);
      }
      continue;
    }
    if (!HasSum(packet)) {
      continue;
    }
    attempt->echo = packet.echo;
    if ((packet.flags & Syn) != 0) {
      if (!attempt->open) {
        attempt->open = true;
        attempt->openedAt = Now();
        attempt->host = sender;
        attempt->hostSeq = packet.seq;
        SendRequest(attempt, 200);
      }
      continue;
    }
    if (!packet.data.empty() && attempt->open && sender == attempt->host) {
      Send(*attempt, Ack | Fin,
           attempt->seq + 1 + static_cast<std::uint32_t>(attempt->id.size()),
           packet.seq + static_cast<std::uint32_t>(packet.data.size()), {});
      End(*attempt, packet.data.starts_with("200 ") ? Outcome::Answered
                                                    : Outcome::ResetByHost);
    }
  }
}

auto WriteSettings(const std::string& aPath, const SettingsOptions& aOptions)
  -> void
{
  const auto at = [&aOptions](std::uint16_t aPort) {
    return "\"" + aOptions.ip + ":" + std::to_string(aPort) + "\"\n";
  };
  FILE* file = std::fopen(aPath.c_str(), "w");
  const std::string text =
    "[vm]\nname = \"" + aOptions.name + "\"\nfailure_domain = \"" +
    aOptions.zone +
    "\"\ncpu_share = 0.055\nlink_mbps = 1000.0\n\n[listen]\npackets = " +
    at(aOptions.packets) + "status = " + at(aOptions.readiness) +
    "metrics = \"" + aOptions.ip + ":9464\"\npeers = " + at(aOptions.control) +
    "receive_buffer_bytes = 1048576\n\n[peers]\nseeds = \"" + aOptions.seeds +
    "\"\n\n[platform]\naddress = \"" + aOptions.store +
    "\"\n\n[plugins]\ndata_path = \"forward\"\npacket_codec = \"bandeiras\"\n"
    "state_source = \"bandeiras\"\n\n[forward]\nlongest_flow_seconds = 60\n"
    "drain_notice_ms = " +
    std::to_string(aOptions.drainMs) + "\n" + aOptions.extra +
    "first_start = \"yes\"\n";
  std::fputs(text.c_str(), file);
  std::fclose(file);
}

auto Net() -> std::string
{
  static const std::string net =
    "127." + std::to_string(20 + ::getpid() % 200) + ".";
  return net;
}

auto FreePort() -> std::uint16_t
{
  static std::uint16_t next =
    static_cast<std::uint16_t>(20000 + ::getpid() * 37 % 9000);
  return next++;
}

} // namespace stage
