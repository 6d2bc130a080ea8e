// Interface to the tables of small records in the platform's store.
#ifndef CORIANDERLINK_GATEWAY_RECORD_STORE_H_
#define CORIANDERLINK_GATEWAY_RECORD_STORE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "corianderlink/Gateway/store_position.h"
#include "corianderlink/Support/time.h"

namespace corianderlink {

/// A record, or a notice of its removal.
struct StoreRecord {
  std::string key;
  /// Empty if the record was removed.
  std::optional<std::string> value;
  /// Version of the store at the record's last change.
  uint64_t version = 0;
  /// Era of that version; 0 if it is that of the read.
  uint64_t era = 0;
};

struct StoreReadResult {
  enum class Status {
    kOk,
    kHistoryLost,  ///< The store no longer keeps the requested changes.
    kFailed,       ///< No response, or an unusable one.
  };
  Status status = Status::kFailed;
  std::vector<StoreRecord> records;
  /// Position of the store up to which the records are complete.
  StorePosition position;
  /// Set if the read failed.
  std::string reason;
};

using StoreReadCallback = std::function<void(const StoreReadResult&)>;
using StoreWriteCallback =
    std::function<void(bool written, std::string reason)>;

/// A client of the store.  Callbacks run later, from the event loop.
///  - ReadAll reads a table in full.
///  - Watch waits up to `wait` for changes after the version `after`.
///  - Put writes the value of a table's key, whatever its version.
template <typename T>
concept RecordStore = requires(T store, std::string table, uint64_t after,
                               Duration wait, StoreReadCallback on_read,
                               StoreWriteCallback on_write) {
  store.ReadAll(table, on_read);
  store.Watch(table, after, wait, on_read);
  store.Put(table, table, table, on_write);
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_RECORD_STORE_H_
