// The reference deployments "cooperative" and "ticketworks".

#include "measure/Deployment.h"

#include "bramleylock/Support/Random.h"

namespace bramleylock::measure {

using lists::Execution;
using lists::SizeClass;
using lists::Urgency;

auto CredentialOf(const std::string& aPlan) -> std::string
{
  return aPlan + ".secret-of-" + aPlan;
}

static auto MakePlan(const std::string& aName, double aWeight) -> lists::Plan
{
  lists::Plan plan;
  plan.secretHash = Blake2bHex("secret-of-" + aName);
  plan.weight = aWeight;
  return plan;
}

static auto MakeCooperative() -> Deployment
{
  Deployment deployment;
  deployment.name = "cooperative";
  deployment.failureDomains = { "guimaraes", "famalicao", "braga" };
  deployment.balancers = 7;
  deployment.services = { { "encomendas", 14, 2 }, { "provas", 4, 2 } };
  auto& lists = deployment.lists;
  lists.plans["members"] = MakePlan("members", 2);
  lists.plans["clubs"] = MakePlan("clubs", 2);
  lists.plans["clients"] = MakePlan("clients", 1);
  lists::Service orders;
  orders.plans = { "members", "clubs" };
  orders.slots = 2;
  orders.works["confirm"] = { Urgency::Urgent, SizeClass::Short,
                              Execution::AtMostOnce, 5000 };
  orders.works["queue"] = { Urgency::Normal, SizeClass::Short,
                            Execution::Repeatable, 5000 };
  lists.services["encomendas"] = orders;
  lists::Service proofs;
  proofs.plans = { "clients", "members" };
  proofs.slots = 2;
  proofs.works["proof"] = { Urgency::Bulk, SizeClass::Long,
                            Execution::Repeatable, 60000 };
  lists.services["provas"] = proofs;
  deployment.booking = { "clubs", "encomendas", "confirm", 20, 40, 5000 };
  deployment.reading = { "members", "encomendas", "queue", 10, 600, 5000 };
  deployment.bulk = { "clients", "provas", "proof", 50, 300000, 30000 };
  return deployment;
}

static auto MakeTicketworks() -> Deployment
{
  Deployment deployment;
  deployment.name = "ticketworks";
  deployment.failureDomains = { "salt-lake", "howrah", "rajarhat", "garia" };
  deployment.balancers = 8;
  deployment.services = { { "stubdesk", 14, 3 }, { "artvault", 4, 3 } };
  auto& lists = deployment.lists;
  lists.plans["counters"] = MakePlan("counters", 2);
  lists.plans["bookings"] = MakePlan("bookings", 2);
  lists.plans["matinees"] = MakePlan("matinees", 1);
  lists::Service stubs;
  stubs.plans = { "counters", "bookings" };
  stubs.slots = 3;
  stubs.works["booking"] = { Urgency::Urgent, SizeClass::Short,
                             Execution::AtMostOnce, 5000 };
  stubs.works["layout"] = { Urgency::Normal, SizeClass::Short,
                            Execution::Repeatable, 5000 };
  lists.services["stubdesk"] = stubs;
  lists::Service artwork;
  artwork.plans = { "matinees", "counters" };
  artwork.slots = 3;
  artwork.works["sheet"] = { Urgency::Bulk, SizeClass::Long,
                             Execution::Repeatable, 60000 };
  lists.services["artvault"] = artwork;
  deployment.booking = { "bookings", "stubdesk", "booking", 20, 40, 5000 };
  deployment.reading = { "counters", "stubdesk", "layout", 10, 600, 5000 };
  deployment.bulk = { "matinees", "artvault", "sheet", 50, 300000, 30000 };
  return deployment;
}

auto FindDeployment(const std::string& aName) -> const Deployment*
{
  static const Deployment cooperative = MakeCooperative();
  static const Deployment ticketworks = MakeTicketworks();
  if (aName == cooperative.name) {
    return &cooperative;
  }
  return aName == ticketworks.name ? &ticketworks : nullptr;
}

} // namespace bramleylock::measure
