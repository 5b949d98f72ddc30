// Shared declarations of the stand-ins.
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include <sys/types.h>

#include <nlohmann/json.hpp>

using nlohmann::json;
using Clock = std::chrono::steady_clock;

enum : std::uint8_t
{
  kRst = 1,
  kBounced = 2,
  kSyn = 16,
  kFin = 32,
  kAck = 64
};

inline constexpr int kPacketPort = 8172, kReadinessPort = 8167,
                     kControlPort = 8166, kHostPort = 8080, kStorePort = 8169;
inline constexpr int kLongPort = 8443, kReportPort = 9443;
/// The deployment's bounds stableWindowMs, maxFlowS and drainMs.
inline constexpr double kStableWindowS = 4.0, kMaxFlowS = 60.0;
/// Items on a page of the store, as in the site files.
inline constexpr std::size_t kPageItems = 50;
inline constexpr double kDrainS = 3.0;

double Now();
std::uint64_t UnixMs();
void SleepS(double aSeconds);
void Record(const char* aFormat, ...) __attribute__((format(printf, 1, 2)));

struct Packet
{
  std::uint32_t dst = 0;
  std::uint16_t dport = 0;
  std::uint32_t src = 0;
  std::uint16_t sport = 0;
  std::uint32_t sum = 0, echo = 0;
  std::uint8_t flags = 0;
  std::uint32_t seq = 0, ack = 0;
  std::string data;
  bool valid = false;
};

struct FlowKey
{
  std::uint32_t clientIp = 0;
  std::uint16_t clientPort = 0;
  std::uint32_t routeIp = 0;
  std::uint16_t routePort = 0;
  auto operator<=>(const FlowKey&) const = default;
};

class World;

class Store
{
public:
  Store(std::uint32_t aIp, int aPort);
  bool Listens() const;
  /// Listens on a further address, by which the calls of aNode are known.
  void ListenFor(const std::string& aNode, std::uint32_t aIp, int aPort);
  /// The node whose watch waited longest for events last: the one that reads
  /// for the others.
  std::string Watcher();
  /// The next call of each of aNodes that begins with aStart arrives aSeconds
  /// late.
  void DelayNext(const std::set<std::string>& aNodes, const std::string& aStart,
                 double aSeconds);
  void Write(const std::string& aKey, const std::string& aValue);
  void Remove(const std::string& aKey);

private:
  struct Item
  {
    std::string value;
    std::uint64_t rev = 0, created = 0;
  };
  struct Event
  {
    std::uint64_t rev = 0;
    std::string key;
    Item item;
    bool deleted = false;
  };
  void Accept(int aListener, std::string aNode);
  void Answer(int aFd, const std::string& aHead, const std::string& aBody);
  void WriteLocked(const std::string& aKey, const std::string& aValue);
  static json Row(const std::string& aKey, const Item& aItem);

  int m_listener;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, Item> m_items;
  std::deque<Event> m_history;
  std::uint64_t m_revision = 100;
  std::string m_watcher, m_delayedStart;
  std::set<std::string> m_delayedNodes;
  double m_delayS = 0;
};

struct Sent
{
  std::uint8_t flags = 0;
  std::uint32_t seq = 0, end = 0;
  std::string data;
  double dueAt = 0, interval = 0;
  int tries = 0;
};

struct HostFlow
{
  std::uint32_t ownIsn = 0, next = 0, clientNext = 0, echo = 0;
  bool open = false;
  double openedAt = 0, answerAt = 0;
  std::string requestId;
  std::vector<Sent> unacked;
};

class Host
{
public:
  Host(World& aWorld, std::string aId, std::string aService, std::string aZone,
       std::uint32_t aIp);
  void Start();
  void Crash();
  /// Reports that the host is leaving; it goes on to accept SYNs.
  void Drain();
  /// Ends and removes the host's entry.
  void Leave();
  /// Writes the host's entry in the store, as at each heartbeat.
  void Beat();
  json Entry();

  std::string id, service, zone;
  std::uint32_t ip;
  std::mutex mutex;
  std::map<FlowKey, HostFlow> flows;
  bool alive = false;
  int lifetime = 0;
  std::uint64_t born = 0;
  double startedAt = 0;
  /// Deviation of the time of day on the host's machine.
  std::int64_t clockOffsetMs = 0;
  bool draining = false;
  /// When the store had accepted the report; 0 before.
  double drainAckedAt = 0;
  /// Whether this lifetime has registered; it then writes each heartbeat.
  std::atomic<bool> registered{ false };
  /// Share of the datagrams to clients that are lost on this host's link.
  double loss = 0;

private:
  void Loop(int aFd, int aLifetime);
  void Health(int aFd, int aLifetime);
  void Take(const char* aData, std::size_t aSize, std::uint32_t aFrom);
  void Tick();
  void Send(const FlowKey& aKey, const HostFlow& aFlow, std::uint8_t aFlags,
            std::uint32_t aSeq, const std::string& aData);
  void Transmit(const FlowKey& aKey, HostFlow& aFlow, std::uint8_t aFlags,
                std::uint32_t aSeq, std::uint32_t aEnd, std::string aData);

  World& m_world;
  int m_udp = -1, m_tcp = -1;
  std::uint64_t m_beats = 0;
  std::mt19937 m_random;
};

enum class ClientState
{
  Opening,
  Open,
  Ended
};

struct ClientFlow
{
  std::uint16_t port = 0;
  std::uint32_t routeIp = 0;
  std::uint16_t routePort = 0;
  ClientState state = ClientState::Opening;
  std::uint32_t isn = 0, next = 0, hostIsn = 0, hostNext = 0, echo = 0,
                hostIp = 0, requestSeq = 0;
  int copies = 0, requestsLeft = 0, requestNumber = 0, hostLifetime = 0;
  double openedAt = 0, copyAt = 0, resendAt = 0, interval = 0, askedAt = 0,
         nextAskAt = 0, pauseS = 0;
  bool waiting = false, acked = false;
  std::string requestId, request;
  Host* host = nullptr;
};

class Client
{
public:
  Client(World& aWorld, std::uint32_t aIp);
  /// Opens a flow that carries aRequests requests, with aPauseS between them.
  void OpenFlow(std::uint32_t aRouteIp, std::uint16_t aRoutePort, int aRequests,
                double aPauseS);

  std::mutex mutex;
  std::map<std::uint16_t, std::shared_ptr<ClientFlow>> flows;
  int opened = 0, completed = 0, answered = 0, refused = 0, neverOpened = 0,
      timedOut = 0;

private:
  void Loop();
  void Tick();
  void Take(const char* aData, std::size_t aSize, std::uint32_t aFrom);
  void SendPacket(ClientFlow& f, std::uint8_t aFlags, std::uint32_t aSeq,
                  std::uint32_t aAck, const std::string& aData);
  void SendRequest(ClientFlow& f);
  void End(ClientFlow& f, const char* aHow);

  World& m_world;
  std::uint32_t m_ip;
  int m_fd;
  std::uint16_t m_nextPort = 10000;
  std::mt19937 m_random;
};

class Node
{
public:
  Node(World& aWorld, std::string aName, std::string aZone, std::uint32_t aIp);
  void Start(bool aBootstrap);
  void Signal(int aSignal);
  void Await(double aGraceS);
  bool AsksReady();

  std::string name, zone, storeAddress;
  std::uint32_t ip;
  std::atomic<bool> inRotation{ false };
  /// When the last unplanned disturbance of this node ended.
  std::atomic<double> calmSince{ -1e9 };
  pid_t pid = 0;

private:
  void WriteSettings(bool aBootstrap);
  World& m_world;
};

class World
{
public:
  World(std::string aFolder, std::uint64_t aSeed);
  void Build(const std::vector<std::pair<std::string, int>>& aNodes,
             int aHostsA, int aHostsB);
  void WriteConfig();
  void StopAll();
  int SelectNode(const Packet& p);
  bool Allows(std::uint32_t aIp, std::uint16_t aPort,
              const std::string& aService);
  Host* HostAt(std::uint32_t aIp);
  Node* NodeAt(std::uint32_t aIp);
  void OnOpen(ClientFlow& f, std::uint32_t aHostIp);
  void OnRun(const std::string& aId, Host& aHost);
  void OnSyn(Host& aHost, const Packet& p, std::uint32_t aNodeIp);
  void OnStray(const FlowKey& aKey, std::uint32_t aNodeIp);
  void OnReset(ClientFlow& f, std::uint32_t aClientIp, std::uint32_t aFrom,
               bool aOwn);
  std::uint32_t Ip(int aThird, int aFourth) const;

  std::string folder, clientZone;
  std::uint64_t seed;
  /// The deployment's bounds drainMs and stableWindowMs.
  double drainS = kDrainS, stableWindowS = kStableWindowS;
  std::uint32_t routeIp = 0;
  std::unique_ptr<Store> store;
  std::vector<std::unique_ptr<Node>> nodes;
  std::vector<std::unique_ptr<Host>> hosts;
  std::unique_ptr<Client> client;
  std::map<std::uint16_t, std::set<std::string>> allowed;
  std::atomic<int> flowBroken{ 0 }, flowExcused{ 0 }, altered{ 0 },
    foreignAnswers{ 0 }, ranTwice{ 0 }, wrongService{ 0 }, notIntended{ 0 },
    drainLate{ 0 };

private:
  static std::uint32_t Ip(int aNet, int aThird, int aFourth);
  void PollReadiness();
  int m_net = 0;
  int m_version = 0;
  std::mutex m_runsMutex;
  std::mutex m_strayMutex;
  /// The node that sent on the last packet of a flow to a host that does not
  /// hold it.
  std::map<FlowKey, std::uint32_t> m_strayNode;
  std::map<std::string, int> m_runs;
};

/// The scripted cases by name.
using Case = std::function<void(World&, bool)>;
const std::map<std::string, Case>& Cases();
