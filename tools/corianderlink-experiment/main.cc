// Runs the decision classes in virtual time and prints JSON lines.
#include <CLI/CLI.hpp>
#include <iostream>

#include "corianderlink-experiment/admission.h"
#include "corianderlink-experiment/capacity.h"
#include "corianderlink-experiment/retries.h"
#include "corianderlink-experiment/roles.h"
#include "corianderlink-experiment/routing.h"

namespace corianderlink {
namespace {

int Main(int argc, char** argv) {
  CLI::App app("Measures the decision classes in virtual time.");
  std::string deployment_name = "copa-austral";
  std::string policy;
  uint64_t seed = 1;
  app.add_option("--deployment", deployment_name, "copa-austral or karoo")
      ->check(CLI::IsMember({"copa-austral", "karoo"}));
  app.add_option("--seed", seed, "seed of the arrivals");
  app.add_option("--policy", policy, "prints results without bounds");
  app.require_subcommand(1);
  app.fallthrough();
  app.footer(
      "Example:\n  corianderlink-experiment all --seed 1\n"
      "Exit status: 0 if the runs ended, whatever the bounds say; 2 for "
      "bad arguments.");
  BoundCounts counts;
  const auto deployment = [&] {
    return deployment_name == "karoo" ? Karoo() : CopaAustral();
  };
  app.add_subcommand("roles", "role changes under a shifting mix")
      ->callback([&] { RunRoles(deployment(), seed, policy, counts); });
  app.add_subcommand("admission", "classes, fairness and floods")
      ->callback([&] { RunAdmission(deployment(), seed, counts); });
  app.add_subcommand("routing", "choice of engines and its cost")
      ->callback([&] { RunRouting(deployment(), seed, counts); });
  app.add_subcommand("retries", "load added by retries")->callback([&] {
    RunRetries(seed, counts);
  });
  app.add_subcommand("capacity", "bytes and nanoseconds per item of state")
      ->callback([] { RunCapacity(); });
  app.add_subcommand("all", "everything but capacity, both deployments")
      ->callback([&] {
        for (const Deployment& d : {CopaAustral(), Karoo()}) {
          RunRoles(d, seed, policy, counts);
          RunAdmission(d, seed, counts);
          RunRouting(d, seed, counts);
        }
        RunRetries(seed, counts);
      });
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : 2;
  }
  if (counts.passed + counts.missed > 0) {
    std::cout << nlohmann::json{{"passed", counts.passed},
                                {"missed", counts.missed}}
                     .dump()
              << std::endl;
  }
  return 0;
}

}  // namespace
}  // namespace corianderlink

int main(int argc, char** argv) { return corianderlink::Main(argc, argv); }
