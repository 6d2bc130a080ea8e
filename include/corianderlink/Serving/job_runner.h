// Accepts durable jobs and runs open ones until their result is stored.
#ifndef CORIANDERLINK_SERVING_JOB_RUNNER_H_
#define CORIANDERLINK_SERVING_JOB_RUNNER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "corianderlink/Http/event_loop.h"
#include "corianderlink/Platform/http_objects.h"
#include "corianderlink/Serving/chat_scheduler.h"
#include "corianderlink/Serving/job_record.h"

namespace corianderlink {

/// Answer to a submission.
struct JobSubmission {
  enum class Kind { kAccepted, kKeyReused, kNotRun, kUnknown };
  Kind kind = Kind::kUnknown;
  JobRecord job;
  std::string reason;
};

/// A job read for its caller, or nothing with a reason.
struct JobLookup {
  enum class Kind { kFound, kNotFound, kUnavailable };
  Kind kind = Kind::kUnavailable;
  JobRecord job;
  std::string reason;
};

class JobRunner {
 public:
  JobRunner(Node& node, ChatScheduler& scheduler);

  /// Commits the job before `done` says that it is accepted.  The id has to be
  /// derived from the caller's key, if there is one, so that repeating a
  /// submission is harmless.
  void Submit(JobRecord job, std::function<void(const JobSubmission&)> done);
  void Find(const JobId& id, const AccountId& account,
            std::function<void(const JobLookup&)> done);
  /// Cancels a job that is not finished.
  void Cancel(const JobId& id, const AccountId& account,
              std::function<void(const JobLookup&)> done);

  /// Takes no further jobs and gives running ones back to the others.
  void Drain();
  size_t running() const { return running_.size(); }

 private:
  struct Running {
    JobRecord job;
    RowVersion job_version = 0;
    RowVersion open_version = 0;
    uint32_t attempts = 0;
    std::string text;
    std::shared_ptr<ChatTask> task;
    bool finishing = false;
    EventHandle timer;
  };

  /// Reads the job's two rows; null for a row that is absent or unread.
  void ReadBoth(const JobId& id,
                std::function<void(const TableRow*, const TableRow*)> done);
  void Poll();
  void OnOpenRows(Time now, const std::vector<TableRow>& rows);
  bool MayTake(Time now, const TableRow& row) const;
  void Take(const JobId& id, const TableRow& row);
  void Load(const JobId& id, RowVersion open_version, uint32_t attempts);
  void LoadRequest(const JobId& id);
  void Run(const JobId& id);
  void OnChatFinished(const JobId& id, const ChatResult& result);
  void StoreFinal(const JobId& id, JobState state, const std::string& result);
  void CommitFinal(const JobId& id);
  void Release(const JobId& id);
  void RetryLater(const JobId& id);
  void Commit(const JobRecord& job, bool retried,
              std::function<void(const JobSubmission&)> done);
  void SettleSubmission(const JobRecord& job, bool answer_lost,
                        std::function<void(const JobSubmission&)> done);

  Node& node_;
  ChatScheduler& scheduler_;
  HttpObjects objects_;
  std::map<JobId, Running> running_;
  // When a foreign owner was first seen silent, by job.
  std::map<JobId, Time> orphan_since_;
  bool draining_ = false;
  bool poll_outstanding_ = false;
  EventHandle timer_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_SERVING_JOB_RUNNER_H_
