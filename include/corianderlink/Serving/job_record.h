// Rows of durable jobs in the table service.
//
// "jobs/<id>" holds the job and, in the end, its result.  "jobs-open/<id>"
// exists while the job is not finished and names the process that runs it, so
// that looking for work reads open jobs only.
#ifndef CORIANDERLINK_SERVING_JOB_RECORD_H_
#define CORIANDERLINK_SERVING_JOB_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>

#include "corianderlink/Platform/table.h"
#include "corianderlink/Support/strong_id.h"

namespace corianderlink {

enum class JobState { kQueued, kDone, kFailed, kCancelled };

const char* ToString(JobState state);

struct JobRecord {
  JobId id;
  AccountId account;
  JobState state = JobState::kQueued;
  /// Digest of the request, to tell a reused key.
  std::string request_digest;
  /// Chat-completions body; empty if it is in the object store.
  std::string request;
  bool request_in_object = false;
  /// Text of the answer if done and small, or the reason if failed.
  std::string result;
  bool result_in_object = false;
};

struct OpenJobRecord {
  /// Empty if no process runs the job.
  ProcessId owner;
  /// Starts by processes that died or gave up.
  uint32_t attempts = 0;
};

std::string JobRowKey(const JobId& id);
std::string OpenJobRowKey(const JobId& id);
/// Prefix of all open rows.
extern const char kOpenJobsPrefix[];
std::string JobRequestObject(const JobId& id);
std::string JobResultObject(const JobId& id);

std::string EncodeJobRecord(const JobRecord& record);
std::optional<JobRecord> DecodeJobRecord(const std::string& text);
std::string EncodeOpenJobRecord(const OpenJobRecord& record);
std::optional<OpenJobRecord> DecodeOpenJobRecord(const std::string& text);

/// Inserts the job unless its id exists.
TableTransaction InsertJob(const JobRecord& record);
/// Takes an open job over; conditional on the open row as it was seen.
TableTransaction TakeJob(const JobId& id, const TableRow& open_row,
                         const ProcessId& owner);
/// Stores the final state and closes the job, if nobody took the job over
/// since and it was not finished otherwise.
TableTransaction FinishJob(const JobRecord& final_record,
                           RowVersion job_version, RowVersion open_version);
/// Gives a running job back.
TableTransaction ReleaseJob(const JobId& id, RowVersion open_version,
                            uint32_t attempts);

}  // namespace corianderlink

#endif  // CORIANDERLINK_SERVING_JOB_RECORD_H_
