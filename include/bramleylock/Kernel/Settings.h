// The settings of a balancer, read from TOML and validated.
#pragma once

#include <cstdint>
#include <string>
#include <system_error>
#include <vector>

#include "bramleylock/Support/Errors.h"
#include "bramleylock/Support/Names.h"

namespace bramleylock::kernel {

/// Everything that a balancer is told; each field has a row in the schema.
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
  /// Empty for plain HTTP, like the file of the key.
  std::string adminCertificateFile;
  std::string adminKeyFile;
  /// "loopback" or "anywhere".
  std::string adminPlainHttp;
  /// "requests" or "forward".
  std::string dataPath;
  std::string packetAddress;
  std::string statusAddress;
  /// Empty when metrics have no address of their own.
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

/// Reads and validates a file. aProblems gets one line for each fault: file,
/// line, key, what was found and what is allowed.
auto LoadSettings(const std::string& aFile, std::error_code& aError,
                  std::vector<std::string>& aProblems) -> Settings;

/// Like LoadSettings, for text that came from aName.
auto ParseSettings(const std::string& aText, const std::string& aName,
                   std::error_code& aError, std::vector<std::string>& aProblems)
  -> Settings;

/// A settings file with every key, its default, range, unit and meaning.
auto DefaultSettingsText() -> std::string;

/// Reads a secret of hexadecimal digits or text from a file, without the
/// newline at its end.
auto ReadSecretFile(const std::string& aFile, std::error_code& aError)
  -> std::string;

} // namespace bramleylock::kernel

BRAMLEYLOCK_ERROR_ENUM(bramleylock::kernel, SettingsError, kSettingsErrorNames,
                       "bramleylock.settings");
