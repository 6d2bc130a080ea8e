// Types of the platform's transactional table service.
//
// Rows carry a version taken from one commit counter of the service.  Version
// 0 means that the row is absent.  A transaction commits all of its writes if
// every condition holds, else none.
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

/// Holds if the row's present version equals `version`.
struct TableCondition {
  std::string key;
  RowVersion version = 0;
};

/// Sets the row, or deletes it if `value` is empty.
struct TableWrite {
  std::string key;
  std::optional<std::string> value;
};

struct TableTransaction {
  std::vector<TableCondition> conditions;
  std::vector<TableWrite> writes;
};

enum class CommitStatus {
  kCommitted,  ///< All writes took effect.
  kConflict,   ///< A condition failed; nothing was written.
  kNotRun,     ///< The request certainly never reached the service.
  kUnknown,    ///< The answer was lost; the writes may have taken effect.
};

struct CommitResult {
  CommitStatus status = CommitStatus::kUnknown;
  /// Version of all written rows if committed.
  RowVersion version = 0;
  /// The rows whose conditions failed, as they are.
  std::vector<TableRow> conflicts;
  std::string reason;
};

/// Rows read, or nothing with a reason.
struct ReadResult {
  std::optional<std::vector<TableRow>> rows;
  std::string reason;
};

using CommitCallback = std::function<void(const CommitResult&)>;
using ReadCallback = std::function<void(const ReadResult&)>;

/// A table service, real or fake.  Callbacks run later, from the event loop.
template <typename T>
concept TableStore = requires(T table, TableTransaction txn, std::string prefix,
                              CommitCallback on_commit, ReadCallback on_read) {
  table.Commit(txn, on_commit);
  table.ReadPrefix(prefix, on_read);
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_PLATFORM_TABLE_H_
