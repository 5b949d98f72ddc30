// bramleylock-standin: simulates the systems around the balancers for tests.

#include "standins/Standin.h"

#include <array>
#include <iostream>

namespace {

struct Subcommand
{
  const char* name;
  int (*run)(int, char**);
  const char* help;
};

} // namespace

auto main(int argc, char** argv) -> int
{
  using namespace bramleylock::standin;
  static const std::array<Subcommand, 5> kSubcommands{ {
    { "store", RunStore, "the platform's key-value service, with the VM list" },
    { "target", RunTarget, "one target host with a limited number of slots" },
    { "fabric", RunFabric,
      "a network that sprays callers' datagrams over the balancers" },
    { "proxy", RunProxy, "a TCP proxy that injects connection faults" },
    { "platform", RunPlatform,
      "the store, hosts, routers and clients of the forwarding path" },
  } };
  const std::string name = argc > 1 ? argv[1] : "";
  for (const auto& subcommand : kSubcommands) {
    if (name == subcommand.name) {
      try {
        return subcommand.run(argc - 1, argv + 1);
      } catch (const std::exception& failure) {
        std::cerr << "bramleylock-standin " << name << ": " << failure.what()
                  << "\n";
        return 2;
      }
    }
  }
  std::cerr << "usage: bramleylock-standin SUBCOMMAND [--help]\n";
  for (const auto& subcommand : kSubcommands) {
    std::cerr << "  " << subcommand.name << "  " << subcommand.help << "\n";
  }
  return 2;
}
