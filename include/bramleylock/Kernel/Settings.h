// The settings of a balancer, read from TOML and validated.
#pragma once

#include <cstdint>
#include <string>
#include <system_error>
#include <vector>

#include "bramleylock/Support/Errors.h"
#include "bramleylock/Support/Names.h"

namespace bramleylock::kernel {

/// All settings of a balancer. Each field has a row in SettingsSchema.cpp.
struct Settings
{
  std::string vmName;
  std::string failureDomain;
  std::string callerAddress;
  std::string peerAddress;
  std::string peerAdvertised;
  /// "ip:port" of peers, separated by spaces.
  std::string peerSeeds;
  std::string adminAddress;
  std::string storeAddress;
  std::string clusterKeyFile;
  std::string adminTokenFile;
  /// Empty for plain HTTP; then adminKeyFile is empty too.
  std::string adminCertificateFile;
  std::string adminKeyFile;
  /// "loopback" or "anywhere".
  std::string adminPlainHttp;
  /// "requests" or "forward".
  std::string dataPath;
  std::string packetAddress;
  std::string statusAddress;
  /// Empty when the forwarding path serves no metrics.
  std::string metricsAddress;
  std::string packetCodec;
  std::string stateSource;
  std::string flowChoice;
  /// "yes" or "no".
  std::string firstStart;
  std::string callerEntry;
  std::string targetTransport;
  std::string platformStore;
  std::string targetChoice;
  std::string admissionPolicy;
  std::string planLimits;
  std::string logLevel;
  std::string logFormat;
  std::int64_t idleFlowSeconds = 0;
  std::int64_t drainSeconds = 0;
  std::int64_t receiveBufferBytes = 0;
  std::int64_t seed = 0;
  std::int64_t longestFlowSeconds = 0;
  std::int64_t stopMs = 0;
  std::int64_t logRecordsPerSecond = 0;
  std::int64_t drainNoticeMs = 0;
  std::int64_t hedgePercent = 0;
  double cpuShare = 0;
  double linkMbps = 0;
  double warmUpExcess = 0;
  double warmUpSlack = 0;
};

enum class SettingsError
{
  Unreadable = 1,
  Syntax,
  Invalid
};

inline constexpr std::array<NameRow<SettingsError>, 3> kSettingsErrorNames{ {
  { SettingsError::Unreadable, "the settings file cannot be read" },
  { SettingsError::Syntax, "the settings file is not valid TOML" },
  { SettingsError::Invalid, "a setting is not valid" },
} };

/// Reads and validates a file. Adds one line to aProblems for each problem:
/// file, line, key, the value found and the values allowed.
auto LoadSettings(const std::string& aFile, std::error_code& aError,
                  std::vector<std::string>& aProblems) -> Settings;

/// Like LoadSettings, for the text aText. aName stands for the file name in
/// aProblems.
auto ParseSettings(const std::string& aText, const std::string& aName,
                   std::error_code& aError, std::vector<std::string>& aProblems)
  -> Settings;

/// Returns a settings file with every key, its default, range, unit and
/// meaning.
auto DefaultSettingsText() -> std::string;

/// Reads a secret from the first line of a file, without the newline.
auto ReadSecretFile(const std::string& aFile, std::error_code& aError)
  -> std::string;

} // namespace bramleylock::kernel

BRAMLEYLOCK_ERROR_ENUM(bramleylock::kernel, SettingsError, kSettingsErrorNames,
                       "bramleylock.settings");
