// The deployments that scenarios run on.
#pragma once

#include <string>
#include <vector>

#include "bramleylock/Lists/PlanLists.h"

namespace bramleylock::measure {

/// A service with its hosts spread over the failure domains.
struct ServiceShape
{
  std::string name;
  int hosts = 0;
  int slots = 1;
};

/// One kind of load of a deployment.
struct LoadShape
{
  std::string plan;
  std::string service;
  std::string work;
  /// How long a target works on a request.
  int workMs = 0;
  int answerBytes = 0;
  int deadlineMs = 0;
};

/// A user's deployment as the brief sizes it.
struct Deployment
{
  std::string name;
  std::vector<std::string> failureDomains;
  int balancers = 0;
  std::vector<ServiceShape> services;
  lists::PlanLists lists;
  /// Urgent work that runs at most once.
  LoadShape booking;
  /// Short repeatable reads.
  LoadShape reading;
  /// Long answers, the least urgent work.
  LoadShape bulk;
};

/// "cooperative" or "ticketworks"; null for another name.
auto FindDeployment(const std::string& aName) -> const Deployment*;

/// The credential that callers of aPlan send.
auto CredentialOf(const std::string& aPlan) -> std::string;

} // namespace bramleylock::measure
