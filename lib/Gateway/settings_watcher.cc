// Watches the settings file.
#include "corianderlink/Gateway/settings_watcher.h"

#include <fstream>
#include <sstream>
#include <utility>
#include <vector>

#include "corianderlink/Support/log.h"

namespace corianderlink {
namespace {

constexpr Duration kInterval = seconds(1);

std::string ReadText(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace

SettingsWatcher::SettingsWatcher(EventLoop& loop, std::string path,
                                 ChangedCallback changed)
    : loop_(loop), path_(std::move(path)), changed_(std::move(changed)) {}

void SettingsWatcher::Start() {
  text_ = ReadText(path_);
  timer_ = loop_.Every(kInterval, [this] { Check(); });
}

void SettingsWatcher::Check() {
  std::string text = ReadText(path_);
  // Empty while the file is being replaced.
  if (text.empty() || text == text_) return;
  text_ = std::move(text);
  std::vector<std::string> errors;
  const auto settings = ParseGatewaySettings(text_, errors);
  for (const std::string& error : errors) {
    Log(LogLevel::kError, "settings_refused", {{"reason", error}});
  }
  if (settings) changed_(*settings);
}

}  // namespace corianderlink
