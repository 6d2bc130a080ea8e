// The gateway program: relays client requests to upstreams.
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
// Exit status for invalid arguments or settings.
constexpr int kExitInvalidUsage = 2;

// Reads the settings file; prints errors to standard error.
std::optional<GatewaySettings> LoadSettings(const std::string& settings_path) {
  std::vector<std::string> errors;
  auto settings = corianderlink::LoadGatewaySettings(settings_path, errors);
  for (const std::string& error : errors) std::cerr << error << "\n";
  return settings;
}

int Run(const std::string& settings_path) {
  const std::optional<GatewaySettings> settings = LoadSettings(settings_path);
  if (!settings) return kExitInvalidUsage;
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
  const EventHandle sigterm =
      loop.OnSignal(SIGTERM, [&gateway] { gateway.BeginShutdown(); });
  const EventHandle sigint =
      loop.OnSignal(SIGINT, [&gateway] { gateway.BeginShutdown(); });
  corianderlink::SettingsWatcher watcher(
      loop, settings_path,
      [&gateway](const GatewaySettings& changed) { gateway.Reload(changed); });
  watcher.Start();
  const EventHandle sighup =
      loop.OnSignal(SIGHUP, [&watcher] { watcher.Check(); });
  Log(LogLevel::kInfo, "started",
      {{"instance", settings->instance}, {"version", kVersion}});
  loop.Run();
  Log(LogLevel::kInfo, "stopped", {});
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Relays client requests to upstreams.");
  std::string settings_path;
  app.add_option("--settings", settings_path,
                 "settings file, JSON with comments")
      ->envname("CORIANDERLINK_SETTINGS")
      ->required();
  app.set_version_flag("--version", kVersion);
  app.footer(
      "Example:\n  corianderlink-gateway --settings gateway.json\n"
      "Exit status: 0 after a graceful stop, 2 for invalid arguments or "
      "settings, 1 otherwise.");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : kExitInvalidUsage;
  }
  std::signal(SIGPIPE, SIG_IGN);
  return Run(settings_path);
}
