// One line of key=value pairs per event, written by Boost.Log to standard
// output.  Lines beyond the limits of LineWriter are dropped and counted.
#ifndef CORIANDERLINK_SUPPORT_LOG_H_
#define CORIANDERLINK_SUPPORT_LOG_H_

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace corianderlink {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

/// A key and its value; values with spaces or quotes are quoted.
struct LogField {
  LogField(std::string_view key, std::string_view value);
  LogField(std::string_view key, const char* value);
  LogField(std::string_view key, const std::string& value);
  LogField(std::string_view key, int64_t value);
  LogField(std::string_view key, uint64_t value);
  LogField(std::string_view key, int value);
  LogField(std::string_view key, double value);

  std::string_view key;
  std::string value;
};

/// Sets the process name that each line carries and the lowest level written.
void InitLog(const std::string& process, LogLevel lowest);

/// Parses "debug", "info", "warning" or "error"; anything else is kInfo.
LogLevel ParseLogLevel(std::string_view text);

/// Writes one event.
void Log(LogLevel level, std::string_view event,
         std::initializer_list<LogField> fields);

}  // namespace corianderlink

#endif  // CORIANDERLINK_SUPPORT_LOG_H_
