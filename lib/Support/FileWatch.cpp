// Compares contents, not modification times, as the wall clock may jump.

#include "bramleylock/Support/FileWatch.h"

#include "bramleylock/Support/Files.h"

namespace bramleylock {

static auto WatchLoop(std::string aFile, Milliseconds aInterval,
                      std::function<void()> aOnChange) -> awaitable<void>
{
  auto previous = ReadFile(aFile);
  for (;;) {
    co_await Sleep(aInterval);
    // The file may be missing for a short time while it is being replaced.
    auto current = ReadFile(aFile);
    if (current && current != previous) {
      previous = std::move(current);
      aOnChange();
    }
  }
}

auto WatchFile(asio::io_context& aContext, std::string aFile,
               Milliseconds aInterval, std::function<void()> aOnChange) -> void
{
  Spawn(aContext, "watch-file",
        WatchLoop(std::move(aFile), aInterval, std::move(aOnChange)));
}

} // namespace bramleylock
