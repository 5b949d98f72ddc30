// Scenario "key-rotation": the token keys change twice under flows that live
// through both changes.

#include "measure/Scenario.h"

#include <thread>

namespace bramleylock::measure {

static constexpr double kSeconds = 22;
static constexpr double kRotationLimitSeconds = 10;
static constexpr double kFirstRotation = 1;
static constexpr int kRotations = 2;
static constexpr int kFlows = 8;
static constexpr int kLongFlow = 100000;

namespace {

class KeyRotation : public Scenario
{
public:
  auto Summary() const -> std::string override
  {
    return "token keys replaced twice under long flows";
  }

  auto Run(const ScenarioOptions& aOptions, Report& aReport) -> void override
  {
    const auto& deployment = *aOptions.deployment;
    const double seconds = aOptions.seconds > 0 ? aOptions.seconds : kSeconds;
    // Old keys stay for twice the time that a flow may be idle.
    Cluster cluster(deployment, { aOptions.seed,
                                  { { "flows", "idle_seconds = 2\n" } },
                                  aOptions.nodes,
                                  0 });
    cluster.Start();
    Load load(cluster.CallerAddress(), aOptions.seed);
    for (int i = 0; i < kFlows; ++i) {
      load.Add({ deployment.booking, 5, kLongFlow, 0, seconds, "booking" });
      load.Add({ deployment.reading, 5, kLongFlow, 0, seconds, "reading" });
    }
    load.Add({ deployment.reading, 40, 2, 0, seconds, "short_reading" });
    load.Add({ deployment.bulk, 2, 1, 0, seconds, "bulk" });
    load.Start();
    std::this_thread::sleep_for(std::chrono::duration<double>(kFirstRotation));
    std::uint64_t done = 0;
    for (int i = 0; i < kRotations; ++i) {
      done += Rotate(cluster, static_cast<std::size_t>(i), i + 2) ? 1 : 0;
    }
    aReport.Add("rotations_within_the_load",
                load.Elapsed() < seconds ? done : 0);
    load.Join();
    const auto checks = CheckRecords(load.Records(), cluster);
    aReport.AddChecks(checks);
    aReport.Require("broken_flows=0", checks.brokenFlows == 0);
    aReport.Require("every rotation ended", done == kRotations);
    for (const auto* name : { "keys_rotated", "keys_expired", "token_key_newer",
                              "token_key_unknown", "token_forged" }) {
      aReport.Add(name, cluster.CounterSum(name));
    }
    aReport.Require("token_key_unknown=0",
                    cluster.CounterSum("token_key_unknown") == 0);
    aReport.AddReasons(load.Records());
    aReport.AddLatencies(load.Records());
  }

private:
  /// Asks for a new key until it is granted, and waits until all sign with it;
  /// false after kRotationLimitSeconds.
  static auto Rotate(Cluster& aCluster, std::size_t aBalancer, int aKey) -> bool
  {
    const auto limit =
      Clock::now() + std::chrono::duration<double>(kRotationLimitSeconds);
    while (Clock::now() < limit) {
      aCluster.Admin(aCluster.Balancers()[aBalancer], "POST", "/keys/rotate");
      bool all = true;
      for (auto& balancer : aCluster.Balancers()) {
        const auto status = aCluster.Admin(balancer, "GET", "/status");
        all = all && status.value("signing_key", 0) >= aKey;
      }
      if (all) {
        return true;
      }
      std::this_thread::sleep_for(Milliseconds(100));
    }
    return false;
  }
};

const Registration<ScenarioRegistry, KeyRotation> kRegistration("key-rotation");

} // namespace

} // namespace bramleylock::measure
