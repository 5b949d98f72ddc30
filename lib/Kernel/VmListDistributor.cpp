// Sends changes of the VM list down a fan-out tree, and repairs missed changes,
// which are detected by the digests in watcher notices.

#include "bramleylock/Kernel/VmListDistributor.h"

#include "bramleylock/Lists/ListMerge.h"

namespace bramleylock::kernel {

/// Rate limit and burst size of whole-list answers to peers.
static constexpr double kAnswerBytesPerSecond = 4000;
static constexpr double kAnswerBurstBytes = 1048576;

/// Minimum time between two requests for the whole list.
static constexpr Milliseconds kMinRequestInterval{ 500 };

/// Digests may differ for this long while changes propagate.
static constexpr Milliseconds kMaxPropagationTime{ 1500 };

VmListDistributor::VmListDistributor(peer::PeerHub& aHub,
                                     peer::Membership& aMembers,
                                     target::TargetTable& aTargets,
                                     Metrics& aMetrics)
  : m_hub(aHub)
  , m_members(aMembers)
  , m_targets(aTargets)
  , m_metrics(aMetrics)
  , m_fanOut(aHub, aMembers)
  , m_answerRateLimiter(kAnswerBytesPerSecond, kAnswerBurstBytes)
{
}

auto VmListDistributor::Start() -> void
{
  m_hub.On(wire::MessageType::VmList,
           [this](const wire::Hello& aSender, const std::string& aBody) {
             ReceiveRows(aSender, aBody);
           });
  m_hub.On(wire::MessageType::VmListRequest,
           [this](const wire::Hello& aSender, const std::string&) {
             SendWholeList(aSender.address);
           });
}

auto VmListDistributor::OnChange(std::function<void()> aListener) -> void
{
  m_onChange = std::move(aListener);
}

auto VmListDistributor::Digest() const -> std::uint64_t
{
  return m_digest;
}

auto VmListDistributor::UpdateFromPoll(
  const std::vector<lists::PlatformVm>& aVms) -> void
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
    const auto previous = m_lastPolled.find(address);
    if (previous == m_lastPolled.end() || previous->second != row) {
      message.rows.push_back(row);
    }
  }
  for (const auto& [address, row] : m_lastPolled) {
    if (!polled.contains(address)) {
      message.removed.push_back(address);
    }
  }
  const bool firstPoll = m_lastPolled.empty();
  const bool changed = !message.rows.empty() || !message.removed.empty();
  m_lastPolled = polled;
  if (m_rows != polled) {
    m_rows = std::move(polled);
    ApplyRows();
  }
  // The first read after a start is not sent, since its rows are not changes.
  if (changed && !firstPoll) {
    message.sequence = ++m_sequence;
    m_fanOut.SendToChildren(peer::TreeRootedAt(message.origin),
                            wire::MessageType::VmList, wire::PackBody(message));
  }
}

auto VmListDistributor::ReceiveRows(const wire::Hello&,
                                    const std::string& aBody) -> void
{
  auto message = wire::UnpackBody<wire::VmListMessage>(aBody);
  if (!message) {
    return;
  }
  if (!message->origin.empty()) {
    if (!m_seenChanges.RecordIfNew(message->origin, message->incarnation,
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
    ApplyRows();
  }
}

auto VmListDistributor::SendWholeList(const std::string& aAddress) -> void
{
  wire::VmListMessage message;
  message.complete = true;
  for (const auto& [address, row] : m_rows) {
    message.rows.push_back(row);
  }
  const auto body = wire::PackBody(message);
  if (message.rows.empty() ||
      !m_answerRateLimiter.TryConsume(body.size(), Clock::now())) {
    m_metrics.Add(Counter::ListsSendDeferred);
    return;
  }
  m_hub.Send(aAddress, wire::MessageType::VmList, body);
}

auto VmListDistributor::RequestWholeList(const std::string& aAddress) -> void
{
  const auto now = Clock::now();
  if (now - m_requestedAt < kMinRequestInterval) {
    return;
  }
  m_requestedAt = now;
  m_hub.SendMessage(aAddress, wire::MessageType::VmListRequest,
                    wire::VmListRequest{ m_digest });
}

auto VmListDistributor::RequestIfEmpty(const std::string& aAddress) -> void
{
  if (m_rows.empty()) {
    RequestWholeList(aAddress);
  }
}

auto VmListDistributor::CompareWithPeer(const std::string& aAddress,
                                        std::uint64_t aDigest) -> void
{
  if (aDigest == 0 || aDigest == m_digest) {
    m_differingSince = {};
    return;
  }
  const auto now = Clock::now();
  if (m_differingSince == Clock::time_point{}) {
    m_differingSince = now;
  }
  if (m_rows.empty() || now - m_differingSince > kMaxPropagationTime) {
    RequestWholeList(aAddress);
  }
}

auto VmListDistributor::ApplyRows() -> void
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
