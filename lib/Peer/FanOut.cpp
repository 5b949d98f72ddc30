// Broadcast trees in rendezvous order, duplicate detection and byte rate
// limits.

#include "bramleylock/Peer/FanOut.h"

#include "bramleylock/Support/Rendezvous.h"

#include <algorithm>

namespace bramleylock::peer {

/// The most origins whose newest message is remembered, more than twice the
/// number of balancers in a failure domain of 857. Beyond the limit all of them
/// are forgotten, and a message that is still in transit is relayed once more.
static constexpr std::size_t kMaxOrigins = 2048;

FanOut::FanOut(PeerLinks& aLinks, Membership& aMembers)
  : m_links(aLinks)
  , m_members(aMembers)
{
}

auto ChildrenInTree(const BroadcastTree& aTree, const std::string& aSelf,
                    std::vector<std::string> aNodes) -> std::vector<std::string>
{
  std::erase(aNodes, aTree.root);
  auto order = RendezvousOrder(aTree.seed, std::move(aNodes));
  if (aTree.mirrored) {
    std::reverse(order.begin(), order.end());
  }
  // The root precedes position 0. The children of node i are the kFanOut nodes
  // from position (i + 1) * kFanOut on, so less than a kFanOut-th of the nodes
  // are inner nodes.
  std::size_t first = 0;
  if (aSelf != aTree.root) {
    const auto self = std::find(order.begin(), order.end(), aSelf);
    if (self == order.end()) {
      return {};
    }
    first = (static_cast<std::size_t>(self - order.begin()) + 1) * kFanOut;
  }
  const auto from = std::min(first, order.size());
  const auto until = std::min(first + kFanOut, order.size());
  return { order.begin() + static_cast<std::ptrdiff_t>(from),
           order.begin() + static_cast<std::ptrdiff_t>(until) };
}

auto FanOut::SendToChildren(const BroadcastTree& aTree, wire::MessageType aType,
                            const std::string& aBody) -> void
{
  const auto& self = m_members.Self().address;
  auto nodes = m_members.AliveAddressesInDomain();
  nodes.push_back(self);
  for (const auto& child : ChildrenInTree(aTree, self, std::move(nodes))) {
    m_links.Send(child, aType, aBody);
  }
}

auto SeenMessages::RecordIfNew(const std::string& aOrigin,
                               std::uint64_t aIncarnation,
                               std::uint64_t aSequence) -> bool
{
  if (m_newestByOrigin.size() >= kMaxOrigins &&
      !m_newestByOrigin.contains(aOrigin)) {
    m_newestByOrigin.clear();
  }
  auto& newest = m_newestByOrigin[aOrigin];
  const std::pair number{ aIncarnation, aSequence };
  if (number <= newest) {
    return false;
  }
  newest = number;
  return true;
}

ByteRateLimiter::ByteRateLimiter(double aBytesPerSecond, double aBurstBytes)
  : m_bytesPerSecond(aBytesPerSecond)
  , m_burstBytes(aBurstBytes)
  , m_availableBytes(aBurstBytes)
{
}

auto ByteRateLimiter::TryConsume(std::size_t aBytes, Clock::time_point aNow)
  -> bool
{
  const std::chrono::duration<double> elapsed = aNow - m_refilledAt;
  m_refilledAt = aNow;
  m_availableBytes = std::min(
    m_burstBytes, m_availableBytes + elapsed.count() * m_bytesPerSecond);
  if (m_availableBytes <= 0) {
    return false;
  }
  m_availableBytes -= static_cast<double>(aBytes);
  return true;
}

} // namespace bramleylock::peer
