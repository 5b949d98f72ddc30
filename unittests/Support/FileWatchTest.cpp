// Detection of changed, unchanged, removed and recreated files.

#include "bramleylock/Support/FileWatch.h"

#include <criterion/criterion.h>

#include <filesystem>
#include <fstream>

#include <unistd.h>

using namespace bramleylock;

static auto Write(const std::string& aFile, const std::string& aText) -> void
{
  std::ofstream(aFile) << aText;
}

Test(FileWatch, OnlyChangedContentsAreReported)
{
  const auto file = (std::filesystem::temp_directory_path() /
                     ("bramleylock-file-watch-" + std::to_string(::getpid())))
                      .string();
  Write(file, "one");
  asio::io_context context(1);
  int changes = 0;
  WatchFile(context, file, Milliseconds(10), [&changes] { ++changes; });
  context.run_for(Milliseconds(60));
  cr_assert(changes == 0);
  Write(file, "two");
  context.run_for(Milliseconds(200));
  cr_assert(changes == 1);
  Write(file, "two");
  std::filesystem::remove(file);
  context.run_for(Milliseconds(200));
  cr_assert(changes == 1);
  Write(file, "three");
  context.run_for(Milliseconds(200));
  cr_assert(changes == 2);
  std::filesystem::remove(file);
}
