// Sums and ratios of the results of the load model.

#include "measure/LoadModel.h"

#include <algorithm>

namespace bramleylock::forward {

auto LoadResult::AddCounts(const LoadResult& aOther) -> void
{
  requests += aOther.requests;
  onTime += aOther.onTime;
  late += aOther.late;
  failed += aOther.failed;
  shed += aOther.shed;
  falseSilences += aOther.falseSilences;
}

auto LoadResult::Imbalance() const -> double
{
  std::size_t most = 0;
  std::size_t all = 0;
  for (const auto& [target, answers] : answersByTarget) {
    most = std::max(most, answers);
    all += answers;
  }
  return static_cast<double>(most * answersByTarget.size()) /
         static_cast<double>(all);
}

auto LoadResult::AnswerTimeQuantile(double aFraction) const
  -> std::chrono::nanoseconds
{
  auto times = answerTimes;
  const auto position =
    times.begin() +
    static_cast<long>(aFraction * static_cast<double>(times.size() - 1));
  std::nth_element(times.begin(), position, times.end());
  return *position;
}

} // namespace bramleylock::forward
