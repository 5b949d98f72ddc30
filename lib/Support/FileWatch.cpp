// Compares contents, not modification times, as the wall clock may jump.

#include "bramleylock/Support/FileWatch.h"

#include "bramleylock/Support/Files.h"

namespace bramleylock {

static auto WatchLoop(std::string aFile, Milliseconds aEvery,
                      std::function<void()> aOnChange) -> awaitable<void>
{
  auto known = ReadFile(aFile);
  for (;;) {
    co_await Sleep(aEvery);
    // The file may be missing for a short time while it is being replaced.
    auto now = ReadFile(aFile);
    if (now && now != known) {
      known = std::move(now);
      aOnChange();
    }
  }
}

auto WatchFile(asio::io_context& aContext, std::string aFile,
               Milliseconds aEvery, std::function<void()> aOnChange) -> void
{
  Spawn(aContext, "watch-file",
        WatchLoop(std::move(aFile), aEvery, std::move(aOnChange)));
}

} // namespace bramleylock
