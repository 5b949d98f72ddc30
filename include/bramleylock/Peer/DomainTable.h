// Summaries of the failure domains. A summary has a bounded size and does not
// list all members of its domain.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "bramleylock/Support/Asio.h"
#include "bramleylock/Wire/Messages.h"

namespace bramleylock::peer {

/// The latest summary of one failure domain, and when it changed.
struct DomainView
{
  wire::DomainSummary summary;
  /// When this balancer last received a higher version.
  Clock::time_point versionRaisedAt{};
  /// When the contents last changed.
  Clock::time_point contentsChangedAt{};
  /// How many times the summary was sent since it stopped being recent.
  int copiesSinceRecent = 0;
  /// Whether no higher version was received within the time limit.
  bool lost = false;
};

/// Summaries by failure domain. One balancer of each domain increments the
/// version of its summary; a higher version replaces a lower one everywhere.
class DomainTable
{
public:
  /// The most members that a summary lists.
  static constexpr std::size_t kMaxSummaryMembers = 8;

  /// Applies a received summary; returns true when it has a higher version than
  /// the one held. A short summary, which has no members, only raises the
  /// version, and only if its contents hash matches the summary held.
  auto Apply(const wire::DomainSummary& aSummary, Clock::time_point aNow)
    -> bool;

  /// Marks domains as lost whose version has not increased within the time
  /// limit; returns those that were not marked before.
  auto Expire(Clock::time_point aNow) -> std::vector<std::string>;

  /// Returns up to aLimit summaries for a message, in round-robin order over
  /// the domains. A recently changed summary is returned in full, any other one
  /// in full only in every eighth message that it is part of.
  auto NextSummaries(std::size_t aLimit, Clock::time_point aNow)
    -> std::vector<wire::DomainSummary>;

  auto Find(const std::string& aFailureDomain) const -> const DomainView*;
  auto Views() const -> const std::map<std::string, DomainView>&;

private:
  std::map<std::string, DomainView> m_views;
  std::string m_lastSentDomain;
};

} // namespace bramleylock::peer
