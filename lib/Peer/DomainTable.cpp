// Versioning, expiry and selection of domain summaries.

#include "bramleylock/Peer/DomainTable.h"

#include <algorithm>

namespace bramleylock::peer {

/// A domain is lost if its version does not increase within kDomainTimeout plus
/// kDomainTimeoutPerDomain for each known domain. Summaries reach a domain
/// through relays that contact one other domain at a time, so the time limit
/// grows with the number of domains.
static constexpr Milliseconds kDomainTimeout{ 2500 };
static constexpr Milliseconds kDomainTimeoutPerDomain{ 500 };

/// For this long after a change a summary is always sent in full. After that
/// only every kCopiesPerFullSummary-th copy is full.
static constexpr Milliseconds kFullSummaryPeriod{ 5000 };
static constexpr int kCopiesPerFullSummary = 8;

auto DomainTable::Apply(const wire::DomainSummary& aSummary,
                        Clock::time_point aNow) -> bool
{
  if (aSummary.members.size() > kMaxSummaryMembers) {
    return false;
  }
  const bool full = !aSummary.members.empty();
  const auto found = m_views.find(aSummary.failureDomain);
  const bool known = found != m_views.end();
  if (known && aSummary.version <= found->second.summary.version) {
    return false;
  }
  if (!full &&
      (!known || found->second.summary.contentsHash != aSummary.contentsHash)) {
    // A short summary refers to contents that this balancer has not received.
    return false;
  }
  auto& view = m_views[aSummary.failureDomain];
  if (full && view.summary.contentsHash != aSummary.contentsHash) {
    view.contentsChangedAt = aNow;
  }
  if (full) {
    view.summary = aSummary;
  }
  view.summary.version = aSummary.version;
  view.versionRaisedAt = aNow;
  view.lost = false;
  return true;
}

auto DomainTable::Expire(Clock::time_point aNow) -> std::vector<std::string>
{
  const auto timeout =
    kDomainTimeout + kDomainTimeoutPerDomain * static_cast<int>(m_views.size());
  std::vector<std::string> lost;
  for (auto& [domain, view] : m_views) {
    if (!view.lost && aNow - view.versionRaisedAt > timeout) {
      view.lost = true;
      lost.push_back(domain);
    }
  }
  return lost;
}

auto DomainTable::NextSummaries(std::size_t aLimit, Clock::time_point aNow)
  -> std::vector<wire::DomainSummary>
{
  std::vector<wire::DomainSummary> summaries;
  const auto count = std::min(aLimit, m_views.size());
  while (summaries.size() < count) {
    auto next = m_views.upper_bound(m_lastSentDomain);
    if (next == m_views.end()) {
      next = m_views.begin();
    }
    auto& view = next->second;
    summaries.push_back(view.summary);
    const bool recent = aNow - view.contentsChangedAt < kFullSummaryPeriod;
    if (!recent && ++view.copiesSinceRecent % kCopiesPerFullSummary != 0) {
      summaries.back().members.clear();
    }
    m_lastSentDomain = next->first;
  }
  return summaries;
}

auto DomainTable::Find(const std::string& aFailureDomain) const
  -> const DomainView*
{
  const auto found = m_views.find(aFailureDomain);
  return found == m_views.end() ? nullptr : &found->second;
}

auto DomainTable::Views() const -> const std::map<std::string, DomainView>&
{
  return m_views;
}

} // namespace bramleylock::peer
