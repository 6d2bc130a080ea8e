// The gateway: relays clients' requests to upstreams.
#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>
#include <string>
#include <vector>

#include "corianderlink/Gateway/gateway.h"
#include "corianderlink/Gateway/settings_watcher.h"
#include "corianderlink/Gateway/store_sync.h"
#include "corianderlink/Http/http_client.h"
#include "corianderlink/Support/log.h"
#include "platform/codecs.h"
#include "platform/http_record_store.h"

namespace {

using corianderlink::EventHandle;
using corianderlink::EventLoop;
using corianderlink::Gateway;
using corianderlink::GatewaySettings;
using corianderlink::LogLevel;

constexpr char kVersion[] = "0.2.0";
// Exit status for bad arguments and settings.
constexpr int kExitUsage = 2;

std::optional<GatewaySettings> Load(const std::string& file) {
  std::vector<std::string> errors;
  auto settings = corianderlink::LoadGatewaySettings(file, errors);
  for (const std::string& error : errors) std::cerr << error << "\n";
  return settings;
}

int Run(const std::string& file) {
  const std::optional<GatewaySettings> settings = Load(file);
  if (!settings) return kExitUsage;
  corianderlink::InitLog("corianderlink-gateway",
                         corianderlink::ParseLogLevel(settings->log_level));
  EventLoop loop;
  const corianderlink::GatewayCodecs codecs =
      corianderlink::platform::MakeCodecs();
  Gateway gateway(loop, *settings, codecs);
  corianderlink::HttpClient client(loop);
  corianderlink::platform::HttpRecordStore store(client, settings->store);
  corianderlink::StoreSync store_sync(loop, store, gateway, codecs.records);
  std::string reason;
  if (!gateway.Start(reason)) {
    Log(LogLevel::kError, "start_failed", {{"reason", reason}});
    return 1;
  }
  store_sync.Start();
  gateway.StartRoleCoordinator(store);
  const EventHandle term =
      loop.OnSignal(SIGTERM, [&gateway] { gateway.BeginStop(); });
  const EventHandle interrupt =
      loop.OnSignal(SIGINT, [&gateway] { gateway.BeginStop(); });
  corianderlink::SettingsWatcher watcher(
      loop, file,
      [&gateway](const GatewaySettings& changed) { gateway.Reload(changed); });
  watcher.Start();
  const EventHandle reload =
      loop.OnSignal(SIGHUP, [&watcher] { watcher.Check(); });
  Log(LogLevel::kInfo, "started",
      {{"instance", settings->instance}, {"version", kVersion}});
  loop.Run();
  Log(LogLevel::kInfo, "stopped", {});
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Relays requests of clients to upstreams.");
  std::string file;
  app.add_option("--settings", file, "settings file, JSON with comments")
      ->envname("CORIANDERLINK_SETTINGS")
      ->required();
  app.set_version_flag("--version", kVersion);
  app.footer(
      "Example:\n  corianderlink-gateway --settings gateway.json\n"
      "Exit status: 0 after a planned stop, 2 for bad arguments or settings, "
      "1 otherwise.");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : kExitUsage;
  }
  std::signal(SIGPIPE, SIG_IGN);
  return Run(file);
}
