// Reference deployments on which scenarios run.
#pragma once

#include <string>
#include <vector>

#include "bramleylock/Lists/PlanLists.h"

namespace bramleylock::measure {

/// A service, whose hosts are spread evenly over the failure domains.
struct ServiceSpec
{
  std::string name;
  int hosts = 0;
  int slots = 1;
};

/// One type of request of a deployment.
struct RequestProfile
{
  std::string plan;
  std::string service;
  std::string work;
  /// How long a target takes to execute a request.
  int workMs = 0;
  int answerBytes = 0;
  int deadlineMs = 0;
};

/// The topology, lists and typical requests of one user's deployment.
struct Deployment
{
  std::string name;
  std::vector<std::string> failureDomains;
  int balancers = 0;
  std::vector<ServiceSpec> services;
  lists::PlanLists lists;
  /// Urgent requests that must run at most once.
  RequestProfile booking;
  /// Short, repeatable read requests.
  RequestProfile reading;
  /// Requests with long answers, of the least urgent class.
  RequestProfile bulk;
};

/// Returns the deployment "cooperative" or "ticketworks"; null for another
/// name.
auto FindDeployment(const std::string& aName) -> const Deployment*;

/// The credential that callers of aPlan present.
auto CredentialOf(const std::string& aPlan) -> std::string;

} // namespace bramleylock::measure
