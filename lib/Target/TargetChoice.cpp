// The built-in target choice strategies.

#include "bramleylock/Target/TargetChoice.h"

namespace bramleylock::target {

namespace {

class RandomChoice : public TargetChoice
{
public:
  auto Pick(const std::vector<Candidate>& aCandidates, Random& aRandom)
    -> std::size_t override
  {
    return aRandom() % aCandidates.size();
  }
};

class RoundRobin : public TargetChoice
{
public:
  auto Pick(const std::vector<Candidate>& aCandidates, Random&)
    -> std::size_t override
  {
    return m_next++ % aCandidates.size();
  }

private:
  std::size_t m_next = 0;
};

/// The estimated load per slot, which counts the requests in flight of this
/// balancer and its peers.
auto LoadOf(const Candidate& aCandidate) -> double
{
  const auto inFlight = aCandidate.inFlight + aCandidate.peersInFlight;
  return (inFlight + 1) / (aCandidate.slots * aCandidate.fitness);
}

class LeastInFlight : public TargetChoice
{
public:
  auto Pick(const std::vector<Candidate>& aCandidates, Random& aRandom)
    -> std::size_t override
  {
    // The search starts at a random index so that ties are broken evenly.
    const auto start = aRandom() % aCandidates.size();
    auto best = start;
    for (std::size_t i = 1; i < aCandidates.size(); ++i) {
      const auto index = (start + i) % aCandidates.size();
      if (LoadOf(aCandidates[index]) < LoadOf(aCandidates[best])) {
        best = index;
      }
    }
    return best;
  }
};

class TwoChoices : public TargetChoice
{
public:
  auto Pick(const std::vector<Candidate>& aCandidates, Random& aRandom)
    -> std::size_t override
  {
    const auto first = aRandom() % aCandidates.size();
    const auto second = aRandom() % aCandidates.size();
    const bool firstIsLighter =
      LoadOf(aCandidates[first]) <= LoadOf(aCandidates[second]);
    return firstIsLighter ? first : second;
  }
};

/// Prefers targets in the own failure domain, regardless of its capacity.
class OwnDomain : public TargetChoice
{
public:
  auto Pick(const std::vector<Candidate>& aCandidates, Random& aRandom)
    -> std::size_t override
  {
    std::vector<std::size_t> indices;
    std::vector<Candidate> ownDomain;
    for (std::size_t i = 0; i < aCandidates.size(); ++i) {
      if (aCandidates[i].inOwnDomain) {
        indices.push_back(i);
        ownDomain.push_back(aCandidates[i]);
      }
    }
    return ownDomain.empty() ? m_choice.Pick(aCandidates, aRandom)
                             : indices[m_choice.Pick(ownDomain, aRandom)];
  }

private:
  TwoChoices m_choice;
};

/// Takes the less loaded of the two candidates with the highest credit. The
/// peers' counts are ignored: they are up to one heartbeat old, and balancers
/// that follow the same stale counts would all choose the same target.
class SpillOver : public TargetChoice
{
public:
  auto Pick(const std::vector<Candidate>& aCandidates, Random& aRandom)
    -> std::size_t override
  {
    const auto size = aCandidates.size();
    auto first = aRandom() % size;
    auto second = first;
    const auto start = first;
    for (std::size_t i = 1; i < size; ++i) {
      const auto index = (start + i) % size;
      if (aCandidates[index].credit > aCandidates[first].credit) {
        second = first;
        first = index;
      } else if (second == first ||
                 aCandidates[index].credit > aCandidates[second].credit) {
        second = index;
      }
    }
    const bool secondIsBehind = aCandidates[second].credit > 0;
    const bool secondIsLighter =
      OwnLoad(aCandidates[second]) < OwnLoad(aCandidates[first]);
    return secondIsBehind && secondIsLighter ? second : first;
  }

private:
  static auto OwnLoad(const Candidate& aCandidate) -> double
  {
    return (aCandidate.inFlight + 1) / (aCandidate.slots * aCandidate.fitness);
  }
};

const Registration<ChoiceRegistry, RandomChoice> kRandom("random");
const Registration<ChoiceRegistry, RoundRobin> kRoundRobin("round-robin");
const Registration<ChoiceRegistry, LeastInFlight> kLeastInFlight(
  "least-in-flight");
const Registration<ChoiceRegistry, TwoChoices> kTwoChoices("two-choices");
const Registration<ChoiceRegistry, OwnDomain> kOwnDomain("own-domain");
const Registration<ChoiceRegistry, SpillOver> kSpillOver("spill-over");

} // namespace

} // namespace bramleylock::target
