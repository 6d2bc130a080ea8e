// Accepts durable jobs, and runs open jobs until their result is stored.
#ifndef CORIANDERLINK_SERVING_JOB_RUNNER_H_
#define CORIANDERLINK_SERVING_JOB_RUNNER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "corianderlink/Http/event_loop.h"
#include "corianderlink/Platform/http_object_store.h"
#include "corianderlink/Serving/chat_scheduler.h"
#include "corianderlink/Serving/job_record.h"

namespace corianderlink {

/// Result of a submission.
struct JobSubmitResult {
  enum class Kind {
    kAccepted,   ///< The job is stored, by this or an earlier submission.
    kKeyReused,  ///< The key was used before for another job.
    kNotRun,     ///< The job is certainly not stored.
    kUnknown     ///< The job may be stored.
  };
  Kind kind = Kind::kUnknown;
  JobRecord job;
  std::string reason;
};

/// Result of reading a job for its client; `reason` is set if unavailable.
struct JobLookup {
  enum class Kind { kFound, kNotFound, kUnavailable };
  Kind kind = Kind::kUnavailable;
  JobRecord job;
  std::string reason;
};

/// Polls the table service for open jobs and runs them as bulk requests.
class JobRunner {
 public:
  JobRunner(Node& node, ChatScheduler& scheduler);

  /// Commits the job before reporting it as accepted.  If the client sent an
  /// idempotency key, the id has to be derived from it, so that a submission
  /// can be repeated safely.
  void Submit(JobRecord job, std::function<void(const JobSubmitResult&)> done);
  /// Reads a job; a job of another account is reported as not found.
  void Find(const JobId& id, const AccountId& account,
            std::function<void(const JobLookup&)> done);
  /// Cancels a job that is not finished.
  void Cancel(const JobId& id, const AccountId& account,
              std::function<void(const JobLookup&)> done);

  /// Stops acquiring jobs and releases running ones to other processes.
  void Drain();
  size_t running() const { return running_.size(); }

 private:
  /// One acquisition of a job.  A job may be acquired again while answers that
  /// an earlier acquisition asked for are still out.
  struct Acquisition {
    JobId id;
    uint64_t number = 0;
  };
  struct RunningJob {
    uint64_t acquisition = 0;
    JobRecord job;
    RowVersion job_version = 0;
    RowVersion open_version = 0;
    uint32_t attempts = 0;
    std::string text;
    std::shared_ptr<ChatTask> task;
    bool finishing = false;
    EventHandle timer;
  };

  /// Reads both rows of a job; null for a row that is absent or not readable.
  void ReadRows(const JobId& id,
                std::function<void(const TableRow*, const TableRow*)> done);
  void PollOpenJobs();
  void OnOpenJobRows(Time now, const std::vector<TableRow>& rows);
  bool CanAcquire(Time now, const TableRow& row) const;
  /// True if another process became the owner, while this one sent no
  /// heartbeat.
  static bool IsTakenOver(const RunningJob& running, const TableRow& row);
  /// Stops a job that this process need not run any more, unless its result is
  /// being stored.
  void Abandon(const JobId& id);
  void Acquire(const JobId& id, const TableRow& row);
  /// Null if that acquisition has ended, also if the job was acquired again.
  RunningJob* FindRunning(const Acquisition& acquired);
  void LoadJob(const Acquisition& acquired, RowVersion open_version,
               uint32_t attempts);
  void LoadRequest(const Acquisition& acquired);
  /// Releases the job if `text` is not its request.
  void OnRequestText(const Acquisition& acquired, const std::string& text);
  void RunJob(const Acquisition& acquired);
  void OnChatFinished(const Acquisition& acquired, const ChatResult& result);
  void StoreFinalState(const Acquisition& acquired, JobState state,
                       const std::string& result);
  void CommitFinalState(const Acquisition& acquired);
  void Release(const Acquisition& acquired);
  void RetryLater(const Acquisition& acquired);
  void Commit(const JobRecord& job, bool retried,
              std::function<void(const JobSubmitResult&)> done);
  void ResolveSubmission(const JobRecord& job, bool response_lost,
                         std::function<void(const JobSubmitResult&)> done);

  Node& node_;
  ChatScheduler& scheduler_;
  HttpObjectStore objects_;
  std::map<JobId, RunningJob> running_;
  // When the owner of a job was first found not to be live.
  std::map<JobId, Time> orphan_since_;
  uint64_t last_acquisition_ = 0;
  bool draining_ = false;
  bool poll_in_progress_ = false;
  EventHandle timer_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_SERVING_JOB_RUNNER_H_
