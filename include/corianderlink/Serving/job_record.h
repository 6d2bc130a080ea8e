// Encoding and transactions of durable jobs in the table service.
//
// The row "jobs/<id>" holds the job and, once finished, its result.  The row
// "jobs-open/<id>" exists until the job is finished and names the process that
// runs it, so that polling for work reads unfinished jobs only.
#ifndef CORIANDERLINK_SERVING_JOB_RECORD_H_
#define CORIANDERLINK_SERVING_JOB_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>

#include "corianderlink/Platform/table.h"
#include "corianderlink/Support/strong_id.h"

namespace corianderlink {

/// A running job is kQueued as well; its open row names the process.
enum class JobState { kQueued, kDone, kFailed, kCancelled };

/// Spelling in rows and responses.
const char* ToString(JobState state);

struct JobRecord {
  JobId id;
  AccountId account;
  JobState state = JobState::kQueued;
  /// Digest of the request, to detect that a key is reused for another one.
  std::string request_digest;
  /// Chat-completions body; empty if it is stored in the object store.
  std::string request;
  bool request_in_object = false;
  /// Response text if done and not in the object store; reason if failed.
  std::string result;
  bool result_in_object = false;
};

struct OpenJobRecord {
  /// Empty if no process runs the job.
  ProcessId owner;
  /// Number of starts so far, including those of processes that died or
  /// released the job.
  uint32_t attempts = 0;
};

/// Keys of the two rows of a job.
std::string JobRowKey(const JobId& id);
std::string OpenJobRowKey(const JobId& id);
/// Key prefix of the rows of all open jobs.
extern const char kOpenJobsPrefix[];
/// Digest of a request, see JobRecord.
std::string JobRequestDigest(const AccountId& account,
                             const std::string& request);
/// Object-store key of a job's request.  It names the digest, so that a request
/// that is written late replaces no other one.
std::string JobRequestObjectKey(const JobRecord& job);
/// Key at which earlier versions stored a job's request.
std::string OldJobRequestObjectKey(const JobId& id);
/// Object-store key of a job's result.
std::string JobResultObjectKey(const JobId& id);

/// Rows are encoded as JSON; decoding a malformed row returns nothing.
std::string EncodeJobRecord(const JobRecord& record);
std::optional<JobRecord> DecodeJobRecord(const std::string& text);
std::string EncodeOpenJobRecord(const OpenJobRecord& record);
std::optional<OpenJobRecord> DecodeOpenJobRecord(const std::string& text);

/// Inserts the job; conflicts if its id exists.
TableTransaction InsertJob(const JobRecord& record);
/// Makes `owner` the owner of an open job; conflicts if `open_row` has changed.
TableTransaction AcquireJob(const JobId& id, const TableRow& open_row,
                            const ProcessId& owner);
/// Stores the final state and deletes the open row; conflicts if the job was
/// taken over or finished in the meantime.
TableTransaction FinishJob(const JobRecord& final_record,
                           RowVersion job_version, RowVersion open_version);
/// Removes the owner of a running job, so that another process can run it.
TableTransaction ReleaseJob(const JobId& id, RowVersion open_version,
                            uint32_t attempts);

}  // namespace corianderlink

#endif  // CORIANDERLINK_SERVING_JOB_RECORD_H_
