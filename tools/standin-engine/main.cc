// Command line of the stand-in engine.
#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>

#include "standin-engine/engine.h"

namespace corianderlink {
namespace {

int Main(int argc, char** argv) {
  CLI::App app("Stand-in for a model engine.");
  EngineOptions options;
  std::string listen;
  std::string platform;
  int64_t step_ms = options.step.count();
  int64_t load_ms = options.load_time.count();
  int64_t role_ms = options.role_time.count();
  app.add_option("--listen", listen, "ip:port to serve on")->required();
  app.add_option("--platform", platform, "ip:port of the weight store");
  app.add_flag("--check-fencing,!--no-check-fencing", options.check_fencing,
               "refuse orders with an old fencing number");
  app.add_option("--max-batch", options.max_batch, "streams in one batch");
  app.add_option("--step-ms", step_ms, "time of one decode step");
  app.add_option("--prefill-tokens-per-s", options.prefill_tokens_per_s,
                 "prefill rate");
  app.add_option("--load-ms", load_ms, "time of loading a configuration");
  app.add_option("--role-ms", role_ms, "additional time of a role change");
  app.add_option("--cache-pieces", options.cache_pieces,
                 "pieces of 2000 tokens held");
  CLI11_PARSE(app, argc, argv);
  const auto address = Address::Parse(listen);
  if (!address || step_ms < 1) {
    std::cerr << "standin-engine: bad --listen or --step-ms\n";
    return 2;
  }
  options.listen = *address;
  options.platform = Address::Parse(platform);
  options.step = milliseconds(step_ms);
  options.load_time = milliseconds(load_ms);
  options.role_time = milliseconds(role_ms);
  EventLoop loop;
  StandinEngine engine(loop, options);
  if (!engine.Listen()) {
    std::cerr << "standin-engine: cannot bind " << listen << "\n";
    return 2;
  }
  const EventHandle stop = loop.OnSignal(SIGTERM, [&loop] { loop.Stop(); });
  loop.Run();
  return 0;
}

}  // namespace
}  // namespace corianderlink

int main(int argc, char** argv) { return corianderlink::Main(argc, argv); }
