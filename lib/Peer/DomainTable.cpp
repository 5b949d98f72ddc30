// Versioning, expiry and selection of domain summaries.

#include "bramleylock/Peer/DomainTable.h"

#include <algorithm>

namespace bramleylock::peer {

/// A domain is lost if its version does not increase within kDomainSilence plus
/// kSilencePerDomain for each known domain. Summaries reach a domain through
/// relays that contact one other domain at a time, so the time limit grows with
/// the number of domains.
static constexpr Milliseconds kDomainSilence{ 2500 };
static constexpr Milliseconds kSilencePerDomain{ 500 };

/// For this long after a change a summary is always sent in full. After that
/// only every kFullEvery-th copy is full.
static constexpr Milliseconds kNews{ 5000 };
static constexpr int kFullEvery = 8;

auto DomainTable::Apply(const wire::DomainSummary& aSummary,
                        Clock::time_point aNow) -> bool
{
  if (aSummary.members.size() > kSummaryMembers) {
    return false;
  }
  const bool full = !aSummary.members.empty();
  const auto found = m_views.find(aSummary.failureDomain);
  const bool known = found != m_views.end();
  if (known && aSummary.version <= found->second.summary.version) {
    return false;
  }
  if (!full &&
      (!known || found->second.summary.contents != aSummary.contents)) {
    // A short summary refers to contents that this balancer has not received.
    return false;
  }
  auto& view = m_views[aSummary.failureDomain];
  if (full && view.summary.contents != aSummary.contents) {
    view.changedAt = aNow;
  }
  if (full) {
    view.summary = aSummary;
  }
  view.summary.version = aSummary.version;
  view.advancedAt = aNow;
  view.lost = false;
  return true;
}

auto DomainTable::Expire(Clock::time_point aNow) -> std::vector<std::string>
{
  const auto silence =
    kDomainSilence + kSilencePerDomain * static_cast<int>(m_views.size());
  std::vector<std::string> lost;
  for (auto& [domain, view] : m_views) {
    if (!view.lost && aNow - view.advancedAt > silence) {
      view.lost = true;
      lost.push_back(domain);
    }
  }
  return lost;
}

auto DomainTable::Take(std::size_t aLimit, Clock::time_point aNow)
  -> std::vector<wire::DomainSummary>
{
  std::vector<wire::DomainSummary> taken;
  const auto count = std::min(aLimit, m_views.size());
  while (taken.size() < count) {
    auto next = m_views.upper_bound(m_lastTaken);
    if (next == m_views.end()) {
      next = m_views.begin();
    }
    auto& view = next->second;
    taken.push_back(view.summary);
    const bool news = aNow - view.changedAt < kNews;
    if (!news && ++view.timesTaken % kFullEvery != 0) {
      taken.back().members.clear();
    }
    m_lastTaken = next->first;
  }
  return taken;
}

auto DomainTable::Find(const std::string& aFailureDomain) const
  -> const DomainView*
{
  const auto found = m_views.find(aFailureDomain);
  return found == m_views.end() ? nullptr : &found->second;
}

auto DomainTable::All() const -> const std::map<std::string, DomainView>&
{
  return m_views;
}

} // namespace bramleylock::peer
