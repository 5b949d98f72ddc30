// Rendezvous hashing with SipHash.

#include "bramleylock/Support/Rendezvous.h"

#include "bramleylock/Support/SipHash.h"

#include <algorithm>
#include <cstdint>

namespace bramleylock {

auto RendezvousOrder(const std::string& aKey, std::vector<std::string> aNodes)
  -> std::vector<std::string>
{
  std::vector<std::pair<std::uint64_t, std::string>> hashed;
  hashed.reserve(aNodes.size());
  for (auto& node : aNodes) {
    const auto hash = SipHash(aKey + node);
    hashed.emplace_back(hash, std::move(node));
  }
  std::sort(hashed.begin(), hashed.end(), std::greater<>());
  std::vector<std::string> order;
  order.reserve(hashed.size());
  for (auto& [hash, node] : hashed) {
    order.push_back(std::move(node));
  }
  return order;
}

} // namespace bramleylock
