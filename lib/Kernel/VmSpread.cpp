// Changes of the VM list go down a tree; digests in watchers' words repair.

#include "bramleylock/Kernel/VmSpread.h"

#include "bramleylock/Lists/ListMerge.h"

namespace bramleylock::kernel {

static constexpr double kBytesPerSecond = 4000;
static constexpr double kBurstBytes = 1048576;

/// How long an asked peer may take before another one is asked.
static constexpr Milliseconds kAskAgain{ 500 };

/// Digests may differ this long while changes are on their way.
static constexpr Milliseconds kMayDiffer{ 1500 };

VmSpread::VmSpread(peer::PeerHub& aHub, peer::Membership& aMembers,
                   target::TargetTable& aTargets, Metrics& aMetrics)
  : m_hub(aHub)
  , m_members(aMembers)
  , m_targets(aTargets)
  , m_metrics(aMetrics)
  , m_fanOut(aHub, aMembers)
  , m_budget(kBytesPerSecond, kBurstBytes)
{
}

auto VmSpread::Start() -> void
{
  m_hub.On(wire::MessageType::VmList,
           [this](const wire::Hello& aSender, const std::string& aBody) {
             Receive(aSender, aBody);
           });
  m_hub.On(wire::MessageType::VmListRequest,
           [this](const wire::Hello& aSender, const std::string&) {
             Answer(aSender.address);
           });
}

auto VmSpread::OnChange(std::function<void()> aListener) -> void
{
  m_onChange = std::move(aListener);
}

auto VmSpread::Digest() const -> std::uint64_t
{
  return m_digest;
}

auto VmSpread::TakePolled(const std::vector<lists::PlatformVm>& aVms) -> void
{
  Rows polled;
  for (const auto& vm : aVms) {
    polled[vm.address] = { vm.name,    static_cast<std::uint8_t>(vm.role),
                           vm.service, vm.failureDomain,
                           vm.address, vm.leaving };
  }
  wire::VmListMessage message;
  message.origin = m_members.Self().address;
  message.incarnation = m_members.Self().incarnation;
  for (const auto& [address, row] : polled) {
    const auto before = m_polled.find(address);
    if (before == m_polled.end() || before->second != row) {
      message.rows.push_back(row);
    }
  }
  for (const auto& [address, row] : m_polled) {
    if (!polled.contains(address)) {
      message.removed.push_back(address);
    }
  }
  const bool first = m_polled.empty();
  const bool changed = !message.rows.empty() || !message.removed.empty();
  m_polled = polled;
  if (m_rows != polled) {
    m_rows = std::move(polled);
    Apply();
  }
  // The first answer after a start is no news to the others.
  if (changed && !first) {
    message.sequence = ++m_sequence;
    m_fanOut.SendToChildren(peer::TreeRootedAt(message.origin),
                            wire::MessageType::VmList, wire::PackBody(message));
  }
}

auto VmSpread::Receive(const wire::Hello&, const std::string& aBody) -> void
{
  auto message = wire::UnpackBody<wire::VmListMessage>(aBody);
  if (!message) {
    return;
  }
  if (!message->origin.empty()) {
    if (!m_seen.RecordIfNew(message->origin, message->incarnation,
                            message->sequence)) {
      return;
    }
    m_fanOut.SendToChildren(peer::TreeRootedAt(message->origin),
                            wire::MessageType::VmList, aBody);
  }
  auto rows = message->complete ? Rows{} : m_rows;
  for (auto& row : message->rows) {
    rows[row.address] = std::move(row);
  }
  for (const auto& address : message->removed) {
    rows.erase(address);
  }
  if (rows != m_rows) {
    m_rows = std::move(rows);
    Apply();
  }
}

auto VmSpread::Answer(const std::string& aAddress) -> void
{
  wire::VmListMessage message;
  message.complete = true;
  for (const auto& [address, row] : m_rows) {
    message.rows.push_back(row);
  }
  const auto body = wire::PackBody(message);
  if (message.rows.empty() || !m_budget.TryConsume(body.size(), Clock::now())) {
    m_metrics.Add(Counter::ListsSendDeferred);
    return;
  }
  m_hub.Send(aAddress, wire::MessageType::VmList, body);
}

auto VmSpread::Ask(const std::string& aAddress) -> void
{
  const auto now = Clock::now();
  if (now - m_asked < kAskAgain) {
    return;
  }
  m_asked = now;
  m_hub.SendMessage(aAddress, wire::MessageType::VmListRequest,
                    wire::VmListRequest{ m_digest });
}

auto VmSpread::AskIfEmpty(const std::string& aAddress) -> void
{
  if (m_rows.empty()) {
    Ask(aAddress);
  }
}

auto VmSpread::Compare(const std::string& aAddress, std::uint64_t aDigest)
  -> void
{
  if (aDigest == 0 || aDigest == m_digest) {
    m_differing = {};
    return;
  }
  const auto now = Clock::now();
  if (m_differing == Clock::time_point{}) {
    m_differing = now;
  }
  if (m_rows.empty() || now - m_differing > kMayDiffer) {
    Ask(aAddress);
  }
}

auto VmSpread::Apply() -> void
{
  std::string packed;
  std::vector<peer::MemberCandidate> members;
  std::vector<target::TargetListEntry> targets;
  for (const auto& [address, row] : m_rows) {
    packed += wire::PackBody(row);
    if (row.role == static_cast<std::uint8_t>(lists::VmRole::Balancer)) {
      members.push_back({ row.name, row.failureDomain, row.address });
      continue;
    }
    targets.push_back(
      { row.address, row.service, row.failureDomain, row.leaving });
  }
  m_digest = lists::DigestOf(packed);
  m_members.SetCandidates(members);
  m_targets.SetTargets(targets);
  if (m_onChange) {
    m_onChange();
  }
}

} // namespace bramleylock::kernel
