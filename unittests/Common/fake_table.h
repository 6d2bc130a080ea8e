// In-memory table service in virtual time with outages, delays, lost responses
// and transactions that commit after their sender timed out.
#ifndef CORIANDERLINK_UNITTESTS_COMMON_FAKE_TABLE_H_
#define CORIANDERLINK_UNITTESTS_COMMON_FAKE_TABLE_H_

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "Common/virtual_loop.h"
#include "corianderlink/Platform/table.h"

namespace corianderlink {

/// TableStore whose faults are drawn from the random source of a VirtualLoop.
class FakeTable {
 public:
  explicit FakeTable(VirtualLoop& loop) : loop_(loop) {}

  /// While true, reads fail.  Half of the new commits are rejected; each of
  /// the others is applied or lost at random, and its response is lost.
  bool down = false;
  /// Probability that a commit loses its response or that a read fails.
  double response_loss_probability = 0;
  int max_delay_ms = 30;
  /// Maximum extra delay of the 2% of commits that are delayed further.
  int max_extra_delay_ms = 3000;
  uint64_t responses_lost = 0;

  void Commit(const TableTransaction& txn, CommitCallback callback) {
    if (down && loop_.RandomBool(0.5)) {
      CommitResult result;
      result.status = CommitStatus::kNotRun;
      result.reason = "down";
      loop_.After(loop_.RandomMs(0, 5), [=] { callback(result); });
      return;
    }
    const bool lost = down || loop_.RandomBool(response_loss_probability);
    const bool late = loop_.RandomBool(0.02);
    const Duration arrival =
        loop_.RandomMs(0, max_delay_ms) +
        (late ? loop_.RandomMs(0, max_extra_delay_ms) : Duration(0));
    if (lost) ++responses_lost;
    // The sender receives one result: the response or, after its timeout,
    // kUnknown.  The transaction may still commit after the timeout.
    const auto completed = std::make_shared<bool>(false);
    const auto respond = [=](const CommitResult& result) {
      if (std::exchange(*completed, true)) return;
      callback(result);
    };
    loop_.After(arrival, [this, txn, lost, respond] {
      // A request that arrives during an outage is lost half of the time.
      if (down && loop_.RandomBool(0.5)) return;
      const CommitResult result = Apply(txn);
      if (!lost) loop_.After(loop_.RandomMs(0, 10), [=] { respond(result); });
    });
    loop_.After(milliseconds(kTimeoutMs), [respond] {
      CommitResult unknown;
      unknown.status = CommitStatus::kUnknown;
      unknown.reason = "timeout";
      respond(unknown);
    });
  }

  void ReadPrefix(const std::string& prefix, ReadCallback callback) {
    const bool fails = down || loop_.RandomBool(response_loss_probability);
    loop_.After(loop_.RandomMs(0, max_delay_ms),
                [this, prefix, callback, fails] {
                  ReadResult result;
                  if (fails || down) {
                    result.reason = "down";
                  } else {
                    result.rows = Rows(prefix);
                  }
                  loop_.After(loop_.RandomMs(0, 10), [=] { callback(result); });
                });
  }

  /// Applies `txn` at once, without faults.
  CommitResult Apply(const TableTransaction& txn) {
    CommitResult result;
    for (const TableCondition& condition : txn.conditions) {
      const TableRow row = Row(condition.key);
      if (row.version != condition.version) result.conflicts.push_back(row);
    }
    if (!result.conflicts.empty()) {
      result.status = CommitStatus::kConflict;
      return result;
    }
    result.status = CommitStatus::kCommitted;
    result.version = ++version_;
    for (const TableWrite& write : txn.writes) {
      if (write.value) rows_[write.key] = {write.key, version_, *write.value};
      if (!write.value) rows_.erase(write.key);
    }
    return result;
  }

  /// The row at `key`, with version 0 if it does not exist.
  TableRow Row(const std::string& key) const {
    const auto it = rows_.find(key);
    return it == rows_.end() ? TableRow{key, 0, ""} : it->second;
  }

  std::vector<TableRow> Rows(const std::string& prefix) const {
    std::vector<TableRow> rows;
    for (const auto& [key, row] : rows_) {
      if (key.compare(0, prefix.size(), prefix) == 0) rows.push_back(row);
    }
    return rows;
  }

 private:
  static constexpr int kTimeoutMs = 100;

  VirtualLoop& loop_;
  std::map<std::string, TableRow> rows_;
  RowVersion version_ = 0;
};

static_assert(TableStore<FakeTable>);

}  // namespace corianderlink

#endif  // CORIANDERLINK_UNITTESTS_COMMON_FAKE_TABLE_H_
