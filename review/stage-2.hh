// A small deployment on loopback addresses for the scripts of this review: the
// platform's store, hosts, clients and routers in one thread, and the
// balancers as processes of their own.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <sys/types.h>

namespace stage {

using Ms = std::int64_t;

/// Milliseconds of the steady clock since the start of the program.
auto Now() -> Ms;
/// Milliseconds since the Unix epoch.
auto UnixMs() -> Ms;

/// Events of file descriptors and timers.
class Loop
{
public:
  auto After(Ms aDelay, std::function<void()> aAction) -> void;
  auto Watch(int aFd, std::function<void()> aReadable) -> void;
  auto Forget(int aFd) -> void;
  auto RunUntil(Ms aTime) -> void;

private:
  std::multimap<Ms, std::function<void()>> m_timers;
  std::map<int, std::function<void()>> m_readers;
};

auto Events() -> Loop&;

/// Writes a line with the time to the record.
auto Record(const std::string& aLine) -> void;
auto OpenRecord(const std::string& aPath) -> void;

/// Fields of the platform's packets.
struct Packet
{
  std::uint32_t dst = 0;
  std::uint16_t dport = 0;
  std::uint32_t src = 0;
  std::uint16_t sport = 0;
  std::uint32_t sum = 0;
  std::uint32_t echo = 0;
  std::uint8_t flags = 0;
  std::uint32_t seq = 0;
  std::uint32_t ack = 0;
  std::string data;
};

enum Flag : std::uint8_t
{
  Rst = 1,
  Syn = 16,
  Fin = 32,
  Ack = 64
};

auto Encode(Packet aPacket) -> std::string;
auto Decode(const char* aData, std::size_t aSize, Packet& aPacket) -> bool;
/// Whether the packet has the keyed sum of a client or host.
auto HasSum(const Packet& aPacket) -> bool;

auto Ip(const std::string& aText) -> std::uint32_t;
auto IpText(std::uint32_t aIp) -> std::string;
auto BindUdp(const std::string& aIp, std::uint16_t aPort) -> int;
auto ListenTcp(const std::string& aIp, std::uint16_t aPort) -> int;
auto SendUdp(int aFd, const std::string& aIp, std::uint16_t aPort,
             const std::string& aBytes) -> void;

/// An HTTP server. The handler answers at once or later by aReply.
class HttpServer
{
public:
  using Reply = std::function<void(int aStatus, const std::string& aBody)>;
  using Handler =
    std::function<void(const std::string& aMethod, const std::string& aTarget,
                       const std::string& aBody, const std::string& aPeerIp,
                       Reply aReply)>;
  HttpServer(const std::string& aIp, std::uint16_t aPort, std::string aHeaders,
             Handler aHandler);
  ~HttpServer();
  /// Without power, connections are neither accepted nor answered.
  auto SetDark(bool aDark) -> void { m_dark = aDark; }

private:
  auto Accept() -> void;
  auto ReadFrom(int aFd) -> void;
  int m_listener = -1;
  bool m_dark = false;
  std::string m_headers;
  Handler m_handler;
  std::map<int, std::string> m_input;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

/// The platform's key-value store; it answers after 4 ms.
class Store
{
public:
  Store(const std::string& aIp, std::uint16_t aPort);
  auto Put(const std::string& aKey, const std::string& aValue) -> std::uint64_t;
  auto Remove(const std::string& aKey) -> void;
  /// Called for each call: the caller's address and the target.
  std::function<void(const std::string&, const std::string&)> onCall;

private:
  struct Event
  {
    std::string key;
    std::string value;
    std::uint64_t rev = 0;
    bool deleted = false;
  };
  struct Waiter
  {
    std::string prefix;
    std::uint64_t after = 0;
    HttpServer::Reply reply;
    bool done = false;
  };
  auto Handle(const std::string& aMethod, const std::string& aTarget,
              const std::string& aBody, HttpServer::Reply aReply) -> void;
  auto EventsAfter(const std::string& aPrefix, std::uint64_t aRev)
    -> std::string;
  auto Add(Event aEvent) -> void;
  std::uint64_t m_rev = 100;
  std::map<std::string, Event> m_items;
  std::vector<Event> m_events;
  std::vector<std::shared_ptr<Waiter>> m_waiters;
  std::unique_ptr<HttpServer> m_server;
};

struct HostOptions
{
  std::string id;
  std::string ip;
  std::uint16_t port = 0;
  std::string service;
  std::string zone;
  std::uint32_t slots = 2;
  Ms workMs = 30;
  /// Port at which clients receive packets.
  std::uint16_t clientPort = 0;
  /// How long it is cold after a start during traffic, and how many times as
  /// long its work takes then.
  Ms coldMs = 0;
  double coldFactor = 1.6;
  /// Share of its packets that the network loses.
  double loss = 0;
};

/// A host of the platform.
class Host
{
public:
  Host(Store& aStore, HostOptions aOptions);
  /// Starts a lifetime under the same id.
  auto Start(bool aCold) -> void;
  /// Turns cold in the same lifetime, and says so in its entry.
  auto TurnCold() -> void;
  /// Loses power: all that it held is gone, and it sends nothing.
  auto PowerOff() -> void;
  auto IsCold() const -> bool;
  auto Options() const -> const HostOptions& { return m_options; }
  /// Most flows that it holds; it sends nothing to the first packets of others.
  std::size_t maxFlows = 2000;
  /// Address of the balancer whose packet arrived last.
  std::string lastBalancer;
  /// Called when it takes the opening packet of a flow.
  std::function<void(Host&, const Packet&)> onOpening;
  /// Called when it begins to work on a request.
  std::function<void(Host&, const std::string& aId)> onRun;
  std::uint64_t foreignPackets = 0;

private:
  struct Flow
  {
    std::uint32_t own = 0;
    std::uint32_t peer = 0;
    std::uint32_t echo = 0;
    bool open = false;
    bool requested = false;
    bool answered = false;
    bool ended = false;
    std::string answer;
    std::uint64_t generation = 0;
  };
  using Key = std::pair<std::uint64_t, std::uint64_t>;
  auto Beat() -> void;
  auto OnDatagram() -> void;
  auto OnPacket(const Packet& aPacket) -> void;
  auto Send(const Packet& aTo, std::uint8_t aFlags, std::uint32_t aSeq,
            std::uint32_t aAck, std::uint32_t aEcho, std::string aData) -> void;
  auto RepeatOpening(Key aKey, Packet aPacket, int aTry) -> void;
  auto Answer(Key aKey, Packet aPacket, int aTry) -> void;
  auto RunNext() -> void;

  Store& m_store;
  HostOptions m_options;
  bool m_up = false;
  Ms m_born = 0;
  Ms m_coldUntil = 0;
  std::uint64_t m_seq = 0;
  std::uint64_t m_generation = 0;
  int m_udp = -1;
  std::unique_ptr<HttpServer> m_health;
  std::map<Key, Flow> m_flows;
  std::uint32_t m_busy = 0;
  std::deque<std::pair<Key, Packet>> m_queue;
  std::mt19937_64 m_random;
};

struct BalancerOptions
{
  std::string name;
  std::string ip;
  std::string zone;
  std::string program;
  std::string settings;
  std::string log;
};

/// A balancer process and its place in the rotation.
class Balancer
{
public:
  Balancer(BalancerOptions aOptions, std::uint16_t aReadinessPort);
  auto Start() -> void;
  auto Signal(int aSignal) -> void;
  /// Starts again aDelay after the process has ended.
  auto RestartAfterEnd(Ms aDelay) -> void;
  auto IsRunning() -> bool;
  auto InRotation() const -> bool { return m_misses < 2; }
  auto Options() const -> const BalancerOptions& { return m_options; }
  auto Probe() -> void;
  std::function<void(Balancer&, bool aIn)> onRotation;
  /// Whether the machine is gone for good, or not there yet.
  bool absent = false;
  /// Whether the whole system starts for the first time.
  bool bootstrap = true;

private:
  auto Missed() -> void;
  BalancerOptions m_options;
  std::uint16_t m_readinessPort;
  pid_t m_pid = 0;
  int m_misses = 2;
};

/// Outcome of a client's attempt.
enum class Outcome
{
  Answered,
  NeverOpened,
  ResetBeforeOpen,
  ResetByHost,
  ResetByOtherHost,
  ResetByBalancer,
  NoAnswer
};

auto OutcomeName(Outcome aOutcome) -> std::string;

/// When the client last sent the opening packet that a host takes now.
auto OpeningSentAt(const Packet& aPacket) -> Ms;

struct Attempt
{
  std::string id;
  std::uint16_t port = 0;
  std::string routeIp;
  std::uint16_t routePort = 0;
  std::uint32_t seq = 0;
  std::uint32_t echo = 0;
  std::uint32_t hostSeq = 0;
  std::string host;
  Ms startedAt = 0;
  Ms openedAt = 0;
  bool open = false;
  bool done = false;
  int sends = 0;
  std::string zone;
  std::function<void(Attempt&, Outcome)> onEnd;
};

/// Clients of one zone at one address, and the routers in front of them.
class Clients
{
public:
  Clients(std::string aIp, std::uint16_t aPort, std::string aZone,
          std::vector<Balancer*> aBalancers, std::uint64_t aSeed);
  auto Request(const std::string& aId, const std::string& aRouteIp,
               std::uint16_t aRoutePort, Ms aBudget,
               std::function<void(Attempt&, Outcome)> aOnEnd) -> void;
  /// The balancer to which the routers send packets of an attempt.
  auto Route(const Attempt& aAttempt) -> Balancer*;
  auto Address() const -> const std::string& { return m_ip; }

private:
  auto OnDatagram() -> void;
  auto SendSyn(std::shared_ptr<Attempt> aAttempt, int aCopy) -> void;
  auto SendRequest(std::shared_ptr<Attempt> aAttempt, Ms aDelay) -> void;
  auto Send(const Attempt& aAttempt, std::uint8_t aFlags, std::uint32_t aSeq,
            std::uint32_t aAck, const std::string& aData) -> void;
  auto End(Attempt& aAttempt, Outcome aOutcome) -> void;

  std::string m_ip;
  std::uint16_t m_port;
  std::string m_zone;
  std::vector<Balancer*> m_balancers;
  std::mt19937_64 m_random;
  int m_udp = -1;
  std::uint16_t m_nextPort = 20000;
  std::map<std::uint16_t, std::shared_ptr<Attempt>> m_attempts;
};

/// Settings of a balancer, as the platform fills in the template.
struct SettingsOptions
{
  std::string name;
  std::string zone;
  std::string ip;
  std::uint16_t packets = 0;
  std::uint16_t readiness = 0;
  std::uint16_t control = 0;
  std::string seeds;
  std::string store;
  Ms drainMs = 3000;
  std::string extra;
};
auto WriteSettings(const std::string& aPath, const SettingsOptions& aOptions)
  -> void;

/// A port that is free on all loopback addresses that the program uses.
auto FreePort() -> std::uint16_t;
/// The second byte of the loopback addresses of this run.
auto Net() -> std::string;

auto Base64(const std::string& aBytes) -> std::string;
auto FromBase64(const std::string& aText) -> std::string;

} // namespace stage
