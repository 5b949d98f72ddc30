// Checks of one configuration, and its comparison with the version in force.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "bramleylock/Check/Finding.h"
#include "bramleylock/Forward/RouteTable.h"
#include "bramleylock/Support/Registry.h"

namespace bramleylock::check {

/// Positions of a share of a route.
struct SharePositions
{
  Position service;
  Position weight;
};

struct RoutePositions
{
  Position row;
  Position address;
  Position timeout;
  Position latencyGoal;
  /// One for each share of the route.
  std::vector<SharePositions> shares;
};

struct ServicePositions
{
  Position row;
  Position warmUpLimit;
};

/// A configuration, and where its text states what.
struct Configuration
{
  forward::RouteSet routeSet;
  Position version;
  /// The list of routes.
  Position routes;
  /// Nothing if the text has no valid idle timeout.
  std::optional<Position> idleTimeout;
  /// One for each route of routeSet.
  std::vector<RoutePositions> routePositions;
  /// One for each service of routeSet.
  std::vector<ServicePositions> servicePositions;
};

/// Reads the text of a configuration.
class ConfigurationReader
{
public:
  virtual ~ConfigurationReader() = default;

  /// Reads aText as the balancers would and adds what they ignore or reject to
  /// aFindings. Returns false if balancers would reject the whole text;
  /// aConfiguration then holds what could be read of it.
  virtual auto Read(const std::string& aText, Configuration& aConfiguration,
                    std::vector<Finding>& aFindings) const -> bool = 0;
};

/// Registry of readers by the name of the platform that defines the text.
using ConfigurationReaderRegistry = Registry<ConfigurationReader>;

/// Adds entries of aConfiguration that are never used and limits that
/// contradict each other to aFindings. aLongestFlowMs is the maximum lifetime
/// of a flow.
auto CheckConfiguration(const Configuration& aConfiguration,
                        std::uint64_t aLongestFlowMs,
                        std::vector<Finding>& aFindings) -> void;

/// Adds the differences of aConfiguration from the version in force to
/// aFindings.
auto CompareWithInForce(const Configuration& aConfiguration,
                        const forward::RouteSet& aInForce,
                        std::vector<Finding>& aFindings) -> void;

} // namespace bramleylock::check
