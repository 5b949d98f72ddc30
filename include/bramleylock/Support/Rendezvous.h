// Rendezvous hashing (highest random weight).
#pragma once

#include <string>
#include <vector>

namespace bramleylock {

/// Returns aNodes in descending order of their rendezvous hash with aKey. The
/// order is the same in every process, and adding or removing a node does not
/// change the relative order of the others.
auto RendezvousOrder(const std::string& aKey, std::vector<std::string> aNodes)
  -> std::vector<std::string>;

} // namespace bramleylock
