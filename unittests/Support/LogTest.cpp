// Rate limit and non-blocking writes of the log.

#include "bramleylock/Support/Log.h"

#include <criterion/criterion.h>

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <string>

using namespace bramleylock;

static auto ReadAll(int aDescriptor) -> std::string
{
  ::fcntl(aDescriptor, F_SETFL, O_NONBLOCK);
  std::string text;
  char buffer[4096];
  for (;;) {
    const auto size = ::read(aDescriptor, buffer, sizeof buffer);
    if (size <= 0) {
      return text;
    }
    text.append(buffer, static_cast<std::size_t>(size));
  }
}

Test(Log, FullPipeDoesNotBlock, .timeout = 20)
{
  int ends[2];
  cr_assert(::pipe(ends) == 0);
  ConfigureLog({ LogLevel::Info, false, "vm", ends[1], 1000000 });
  // The pipe's buffer holds 64 KiB; the records exceed it.
  for (int i = 0; i < 5000; ++i) {
    LogInfo("filling", { { "number", std::to_string(i) } });
  }
  cr_assert(LogRecordsDropped() > 0);
  const auto text = ReadAll(ends[0]);
  cr_assert(text.ends_with("\n"), "the last record is truncated");
  LogInfo("after", {});
  const auto after = ReadAll(ends[0]);
  cr_assert(after.find("event=after") != std::string::npos);
}

Test(Log, RateLimitedRecordsAreCounted)
{
  int ends[2];
  cr_assert(::pipe(ends) == 0);
  ConfigureLog({ LogLevel::Info, false, "vm", ends[1], 3 });
  const auto before = LogRecordsDropped();
  for (int i = 0; i < 50; ++i) {
    LogInfo("often", {});
  }
  cr_assert(LogRecordsDropped() - before >= 44,
            "3 records are allowed in each of at most two seconds");
}

Test(Log, BufferedRecordsAreWrittenByFlush)
{
  int ends[2];
  cr_assert(::pipe(ends) == 0);
  ConfigureLog({ LogLevel::Info, false, "vm", ends[1], 1000, true });
  LogInfo("first", { { "text", "with \"quotes\" and spaces" } });
  LogInfo("second", {});
  cr_assert(ReadAll(ends[0]).empty());
  FlushLog();
  const auto text = ReadAll(ends[0]);
  cr_assert(text.find(R"(text="with \"quotes\" and spaces")") !=
            std::string::npos);
  cr_assert(text.find("event=second\n") != std::string::npos);
}

/// A peer's name that is no UTF-8 made the text format throw, which ended the
/// task that logged it; control characters were written as they are.
Test(Log, OddBytesInAFieldAreEscaped)
{
  for (const bool json : { false, true }) {
    int ends[2];
    cr_assert(::pipe(ends) == 0);
    ConfigureLog({ LogLevel::Info, json, "vm", ends[1], 1000 });
    for (const auto& value :
         { std::string("a \xff\xfe"), std::string("\xc3\x28"),
           std::string("a\0b", 3), std::string("a\rb"), std::string("\x1b[2J"),
           std::string("a\nb=c") }) {
      LogInfo("odd", { { "peer", value } });
    }
    const auto text = ReadAll(ends[0]);
    cr_assert(std::count(text.begin(), text.end(), '\n') == 6);
    for (const char character : { '\0', '\r', '\x1b', '\xff' }) {
      cr_assert(text.find(character) == std::string::npos);
    }
  }
}
