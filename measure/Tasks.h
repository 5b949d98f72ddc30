// Runs coroutines concurrently on one thread.
#pragma once

#include "bramleylock/Support/Asio.h"

namespace bramleylock::measure {

/// Runs aTasks coroutines until all have ended; aMakeTask receives the index of
/// each. Then it stops aContext, so other work on aContext is suspended until
/// the next call.
template<typename MakeTask>
auto RunTasks(asio::io_context& aContext, int aTasks, MakeTask aMakeTask)
  -> void
{
  int unfinished = aTasks;
  const auto runTask = [&](int aTask) -> awaitable<void> {
    co_await aMakeTask(aTask);
    if (--unfinished == 0) {
      aContext.stop();
    }
  };
  aContext.restart();
  for (int i = 0; i < aTasks; ++i) {
    Spawn(aContext, "task", runTask(i));
  }
  aContext.run();
}

} // namespace bramleylock::measure
