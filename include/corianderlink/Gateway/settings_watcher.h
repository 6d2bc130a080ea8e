// Watches the settings file and reports changes.
#ifndef CORIANDERLINK_GATEWAY_SETTINGS_WATCHER_H_
#define CORIANDERLINK_GATEWAY_SETTINGS_WATCHER_H_

#include <functional>
#include <string>

#include "corianderlink/Gateway/gateway_settings.h"
#include "corianderlink/Http/event_loop.h"

namespace corianderlink {

/// Reads the file on request and at a fixed interval, because it may change
/// without a signal.  A file with errors is logged and otherwise ignored.
class SettingsWatcher {
 public:
  using ChangedCallback = std::function<void(const GatewaySettings&)>;

  SettingsWatcher(EventLoop& loop, std::string path,
                  ChangedCallback on_changed);

  /// Takes the present contents as known and starts to poll the file.
  void Start();
  /// Reads the file now and calls the callback if it holds new valid settings.
  void Check();

 private:
  EventLoop& loop_;
  const std::string path_;
  const ChangedCallback on_changed_;
  // Contents of the file when it was last read.
  std::string last_text_;
  EventHandle timer_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_SETTINGS_WATCHER_H_
