// The fleet process: release notes, orders to engines, roles.
#include "common/process_main.h"
#include "corianderlink/Fleet/fleet_server.h"

int main(int argc, char** argv) {
  return corianderlink::RunProcess<corianderlink::FleetServer>(
      argc, argv, "corianderlink-fleet", corianderlink::NodeKind::kFleet,
      "Accepts release notes and brings engines to the state they ask for.");
}
