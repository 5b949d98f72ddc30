// The strategies that settings can name.

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

/// Estimated load: everyone's requests in flight over the target's slots.
auto LoadOf(const Candidate& aCandidate) -> double
{
  const auto inFlight = aCandidate.inFlight + aCandidate.peersInFlight;
  return (inFlight + 1) / (aCandidate.slots * aCandidate.warmth);
}

class LeastInFlight : public TargetChoice
{
public:
  auto Pick(const std::vector<Candidate>& aCandidates, Random& aRandom)
    -> std::size_t override
  {
    // The search starts at a random place so that ties are broken evenly.
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

const Registration<ChoiceRegistry, RandomChoice> kRandom("random");
const Registration<ChoiceRegistry, RoundRobin> kRoundRobin("round-robin");
const Registration<ChoiceRegistry, LeastInFlight> kLeast("least-in-flight");
const Registration<ChoiceRegistry, TwoChoices> kTwo("two-choices");

} // namespace

} // namespace bramleylock::target
