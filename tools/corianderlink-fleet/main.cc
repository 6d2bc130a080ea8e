// The fleet process: accepts release notes, sends orders to engines and assigns
// engine roles.
#include "common/process_main.h"
#include "corianderlink/Fleet/fleet_server.h"

int main(int argc, char** argv) {
  return corianderlink::RunProcess<corianderlink::FleetServer>(
      argc, argv, "corianderlink-fleet", corianderlink::NodeKind::kFleet,
      "Accepts release notes and reconciles engines to the desired state.");
}
