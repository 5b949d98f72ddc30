// Scenario "forward-cost": CPU time of forwarding decisions and memory per
// target, measured in this process with the library code.

#include "measure/PlainPackets.h"
#include "measure/ProcessUse.h"
#include "measure/Scenario.h"

#include "bramleylock/Forward/Forwarder.h"
#include "bramleylock/Support/Log.h"

#include <fmt/format.h>

#include <cstring>

namespace bramleylock::measure {

static constexpr int kOpenings = 4000;
static constexpr int kSubsequentPackets = 400000;

namespace {

using namespace forward;

class CountingSink : public PacketSink
{
public:
  auto SendToTarget(const DirectoryEntry& aTarget, const char*, std::size_t)
    -> void override
  {
    lastTag = aTarget.tag;
    ++sent;
  }
  auto SendToClient(const Address&, std::string) -> void override {}
  auto Flush() -> void override {}

  TargetTag lastTag = 0;
  std::uint64_t sent = 0;
};

struct ForwardingPath
{
  explicit ForwardingPath(int aTargets)
    : choice(FlowChoiceRegistry::Instance().Create("least-wait"))
    , targets(codec)
    , forwarder(codec, routes, targets, *choice, sink, metrics,
                { "here", std::chrono::seconds(60), 1 })
  {
    RouteSet set{ 1, 1, 15000, {}, {} };
    set.routes.push_back({ "r", 1, 1, { { "s", 1 } }, 0, 1, 2000 });
    routes.Install(set, now);
    for (int i = 0; i < aTargets; ++i) {
      TargetRecord record;
      record.id = fmt::format("i-{:x}", i + 1);
      record.incarnation = 1;
      record.service = "s";
      record.ip = static_cast<std::uint32_t>(i + 1);
      record.port = 80;
      record.failureDomain = "here";
      record.slots = 2;
      record.revision = 1;
      targets.Apply(record, now);
    }
  }

  auto Send(Packet& aPacket) -> void
  {
    std::array<char, sizeof(Packet)> data;
    std::memcpy(data.data(), &aPacket, sizeof aPacket);
    forwarder.OnDatagram(data.data(), data.size(), {}, now);
  }

  /// Opens and ends flows; returns the CPU seconds per opening packet.
  auto MeasureOpeningSeconds() -> double
  {
    Packet packet;
    packet.flow.service = { 1, 1 };
    double cpuSeconds = 0;
    for (int i = 0; i < kOpenings; ++i) {
      packet.flow.client = { 7, static_cast<std::uint16_t>(i + 1) };
      packet.opens = true;
      packet.ends = false;
      const auto before = OwnCpuSeconds();
      Send(packet);
      cpuSeconds += OwnCpuSeconds() - before;
      packet.opens = false;
      packet.ends = true;
      packet.tag = sink.lastTag;
      Send(packet);
    }
    return cpuSeconds / kOpenings;
  }

  /// Returns the CPU seconds per subsequent packet of an open flow.
  auto MeasureSubsequentSeconds() -> double
  {
    Packet packet;
    packet.flow = { { 7, 1 }, { 1, 1 } };
    packet.opens = true;
    Send(packet);
    packet.opens = false;
    packet.tag = sink.lastTag;
    const auto before = OwnCpuSeconds();
    for (int i = 0; i < kSubsequentPackets; ++i) {
      ++packet.acknowledgement;
      Send(packet);
    }
    return (OwnCpuSeconds() - before) / kSubsequentPackets;
  }

  Clock::time_point now{ std::chrono::hours(1) };
  PlainCodec codec;
  CountingSink sink;
  Metrics metrics;
  std::unique_ptr<FlowChoice> choice;
  RouteTable routes;
  TargetDirectory targets;
  Forwarder forwarder;
};

class ForwardCost : public Scenario
{
public:
  auto Summary() const -> std::string override
  {
    return "CPU time of forwarding decisions with 20, 200 and 5,000 targets";
  }

  auto Run(const ScenarioOptions&, Report& aReport) -> void override
  {
    // Writing log records would add CPU time. Their cost is measured with the
    // processes that write them.
    ConfigureLog({ LogLevel::Error, false, "measure" });
    for (const int targets : { 20, 200, 5000 }) {
      const auto before = OwnHeapBytes();
      ForwardingPath path(targets);
      aReport.Add(fmt::format("targets_{}_bytes_a_target", targets),
                  (OwnHeapBytes() - before) / targets);
      aReport.Add(fmt::format("targets_{}_opening_us", targets),
                  path.MeasureOpeningSeconds() * 1e6);
      aReport.Add(fmt::format("targets_{}_following_us", targets),
                  path.MeasureSubsequentSeconds() * 1e6);
    }
  }
};

const Registration<ScenarioRegistry, ForwardCost> kRegistration("forward-cost");

} // namespace

} // namespace bramleylock::measure
