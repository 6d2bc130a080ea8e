// The entry process: accepts client requests.
#include "common/process_main.h"
#include "corianderlink/Serving/entry_server.h"

int main(int argc, char** argv) {
  return corianderlink::RunProcess<corianderlink::EntryServer>(
      argc, argv, "corianderlink-entry", corianderlink::NodeKind::kEntry,
      "Accepts client requests and routes them to engines and plain services.");
}
