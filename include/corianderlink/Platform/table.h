// Types of the platform's transactional table service.
//
// A row's version is the value of the service's commit counter at the last
// write of the row; version 0 means that the row does not exist.  A transaction
// applies all of its writes if every condition holds, and none otherwise.
#ifndef CORIANDERLINK_PLATFORM_TABLE_H_
#define CORIANDERLINK_PLATFORM_TABLE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace corianderlink {

using RowVersion = uint64_t;

struct TableRow {
  std::string key;
  RowVersion version = 0;
  std::string value;
};

/// Holds if the row's current version equals `version`; 0 requires that the row
/// does not exist.
struct TableCondition {
  std::string key;
  RowVersion version = 0;
};

/// Sets the row to `value`, or deletes the row if there is no value.
struct TableWrite {
  std::string key;
  std::optional<std::string> value;
};

struct TableTransaction {
  std::vector<TableCondition> conditions;
  std::vector<TableWrite> writes;
};

enum class CommitStatus {
  kCommitted,  ///< All writes were applied.
  kConflict,   ///< A condition failed; nothing was written.
  kNotRun,     ///< The service certainly did not run the transaction.
  kUnknown,    ///< No valid response; the writes may have been applied.
};

struct CommitResult {
  CommitStatus status = CommitStatus::kUnknown;
  /// New version of all written rows, if committed.
  RowVersion version = 0;
  /// Current contents of the rows whose conditions failed.
  std::vector<TableRow> conflicts;
  /// Reason for the failure, if the status is kNotRun or kUnknown.
  std::string reason;
  /// Rises when the service was restored to an older copy, which has lost later
  /// writes and gives out their versions again; 0 if the service has no eras.
  uint64_t era = 0;
};

/// The rows read, or nullopt and the reason for the failure.
struct ReadResult {
  std::optional<std::vector<TableRow>> rows;
  std::string reason;
  /// As in CommitResult.
  uint64_t era = 0;
};

using CommitCallback = std::function<void(const CommitResult&)>;
using ReadCallback = std::function<void(const ReadResult&)>;

/// A table service or a test double of it.  Callbacks are never run inside the
/// call but later, on the event loop.
template <typename T>
concept TableStore = requires(T table, TableTransaction txn, std::string prefix,
                              CommitCallback on_commit, ReadCallback on_read) {
  table.Commit(txn, on_commit);
  table.ReadPrefix(prefix, on_read);
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_PLATFORM_TABLE_H_
