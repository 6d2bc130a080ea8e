// Accepts durable jobs, and runs open jobs until their result is stored.
#include "corianderlink/Serving/job_runner.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "corianderlink/Serving/engine_events.h"
#include "corianderlink/Support/log.h"

namespace corianderlink {
namespace {

constexpr milliseconds kPollInterval{500};
constexpr size_t kMaxRunningJobs = 32;
// Requests and results up to this size are stored in the row, larger ones in
// the object store.
constexpr size_t kMaxInlineBytes = 64 * 1024;
// A job is taken over once its owner has not been live for this long.
constexpr seconds kOrphanTimeout{3};
constexpr seconds kRetryDelay{1};
// Attempts in which engines failed, after which the job counts as their cause.
constexpr uint32_t kMaxAttempts = 20;
constexpr std::chrono::hours kJobDeadline{24};

const TableRow* FindRow(const std::vector<TableRow>& rows,
                        const std::string& key) {
  const auto it = std::find_if(rows.begin(), rows.end(),
                               [&](const TableRow& r) { return r.key == key; });
  return it == rows.end() ? nullptr : &*it;
}

}  // namespace

JobRunner::JobRunner(Node& node, ChatScheduler& scheduler)
    : node_(node),
      scheduler_(scheduler),
      objects_(node.client(), node.settings().platform,
               node.settings().platform_timeout) {
  timer_ = node_.loop().Every(kPollInterval, [this] { PollOpenJobs(); });
}

void JobRunner::Submit(JobRecord job,
                       std::function<void(const JobSubmitResult&)> done) {
  if (job.request.size() <= kMaxInlineBytes) {
    return Commit(job, /*retried=*/false, std::move(done));
  }
  const std::string text = std::exchange(job.request, "");
  job.request_in_object = true;
  objects_.Put(JobRequestObjectKey(job), text,
               [this, job, done = std::move(done)](bool stored) {
                 if (stored) return Commit(job, /*retried=*/false, done);
                 done({JobSubmitResult::Kind::kNotRun, job,
                       "the object store did not take the text"});
               });
}

void JobRunner::Commit(const JobRecord& job, bool retried,
                       std::function<void(const JobSubmitResult&)> done) {
  node_.table().Commit(InsertJob(job), [this, job, retried,
                                        done](const CommitResult& result) {
    switch (result.status) {
      case CommitStatus::kCommitted:
        node_.metrics().Add("jobs_accepted_total");
        done({JobSubmitResult::Kind::kAccepted, job, ""});
        return;
      case CommitStatus::kConflict:
        return ResolveSubmission(job, /*response_lost=*/false, done);
      case CommitStatus::kUnknown:
        return ResolveSubmission(job, /*response_lost=*/true, done);
      case CommitStatus::kNotRun:
        done({retried ? JobSubmitResult::Kind::kUnknown
                      : JobSubmitResult::Kind::kNotRun,
              job, "the table service did not take the job: " + result.reason});
        return;
    }
  });
}

void JobRunner::ResolveSubmission(
    const JobRecord& job, bool response_lost,
    std::function<void(const JobSubmitResult&)> done) {
  node_.table().ReadPrefix(JobRowKey(job.id), [this, job, response_lost,
                                               done](const ReadResult& result) {
    if (!result.rows) {
      done({JobSubmitResult::Kind::kUnknown, job, result.reason});
      return;
    }
    const TableRow* row = FindRow(*result.rows, JobRowKey(job.id));
    if (row == nullptr && response_lost) {
      return Commit(job, /*retried=*/true, done);
    }
    const auto stored =
        row == nullptr ? std::nullopt : DecodeJobRecord(row->value);
    if (!stored) {
      done({JobSubmitResult::Kind::kUnknown, job, "the job's row is unclear"});
      return;
    }
    const bool same = stored->request_digest == job.request_digest;
    done({same ? JobSubmitResult::Kind::kAccepted
               : JobSubmitResult::Kind::kKeyReused,
          *stored, ""});
  });
}

void JobRunner::Find(const JobId& id, const AccountId& account,
                     std::function<void(const JobLookup&)> done) {
  node_.table().ReadPrefix(
      JobRowKey(id), [this, id, account, done](const ReadResult& result) {
        JobLookup lookup;
        if (!result.rows) {
          lookup.reason = result.reason;
          return done(lookup);
        }
        const TableRow* row = FindRow(*result.rows, JobRowKey(id));
        const auto job =
            row == nullptr ? std::nullopt : DecodeJobRecord(row->value);
        // A job of another account is reported as not found.
        if (!job || job->account != account) {
          lookup.kind = JobLookup::Kind::kNotFound;
          return done(lookup);
        }
        lookup.kind = JobLookup::Kind::kFound;
        lookup.job = *job;
        if (!job->result_in_object) return done(lookup);
        objects_.Get(JobResultObjectKey(id),
                     [lookup, done](std::optional<std::string> text,
                                    const std::string& reason) {
                       JobLookup full = lookup;
                       if (!text) full.kind = JobLookup::Kind::kUnavailable;
                       full.reason = reason;
                       full.job.result = text.value_or("");
                       done(full);
                     });
      });
}

void JobRunner::Cancel(const JobId& id, const AccountId& account,
                       std::function<void(const JobLookup&)> done) {
  Find(id, account, [this, id, done](const JobLookup& found) {
    const bool open = found.kind == JobLookup::Kind::kFound &&
                      found.job.state == JobState::kQueued;
    if (!open) return done(found);
    ReadRows(
        id, [this, found, done](const TableRow* job, const TableRow* open_row) {
          JobLookup lookup = found;
          lookup.kind = JobLookup::Kind::kUnavailable;
          lookup.reason = "the job changed meanwhile; try again";
          if (job == nullptr || open_row == nullptr) return done(lookup);
          JobRecord cancelled = found.job;
          cancelled.state = JobState::kCancelled;
          node_.table().Commit(
              FinishJob(cancelled, job->version, open_row->version),
              [lookup, cancelled, done](const CommitResult& commit) mutable {
                if (commit.status == CommitStatus::kCommitted) {
                  lookup.kind = JobLookup::Kind::kFound;
                  lookup.job = cancelled;
                }
                done(lookup);
              });
        });
  });
}

void JobRunner::ReadRows(
    const JobId& id,
    std::function<void(const TableRow*, const TableRow*)> done) {
  node_.table().ReadPrefix(JobRowKey(id), [this, id,
                                           done](const ReadResult& jobs) {
    node_.table().ReadPrefix(
        OpenJobRowKey(id), [id, jobs, done](const ReadResult& open) {
          done(jobs.rows ? FindRow(*jobs.rows, JobRowKey(id)) : nullptr,
               open.rows ? FindRow(*open.rows, OpenJobRowKey(id)) : nullptr);
        });
  });
}

void JobRunner::PollOpenJobs() {
  if (poll_in_progress_ || !node_.MayServe(BootClock::now())) return;
  poll_in_progress_ = true;
  node_.table().ReadPrefix(kOpenJobsPrefix, [this](const ReadResult& result) {
    poll_in_progress_ = false;
    if (result.rows) OnOpenJobRows(BootClock::now(), *result.rows);
  });
}

void JobRunner::OnOpenJobRows(Time now, const std::vector<TableRow>& rows) {
  std::set<JobId> open;
  for (const TableRow& row : rows) {
    const JobId id(row.key.substr(std::string(kOpenJobsPrefix).size()));
    open.insert(id);
    const auto running = running_.find(id);
    if (running != running_.end()) {
      if (IsTakenOver(running->second, row)) Abandon(id);
      continue;
    }
    const auto record = DecodeOpenJobRecord(row.value);
    // A row that names this process but is not running here was left by a
    // commit whose response was lost.
    const bool owned = record && !record->owner.empty() &&
                       node_.peers().IsLive(now, record->owner);
    if (owned) orphan_since_.erase(id);
    if (!owned) orphan_since_.emplace(id, now);
    if (CanAcquire(now, row)) Acquire(id, row);
  }
  std::erase_if(orphan_since_, [&](const auto& entry) {
    return open.count(entry.first) == 0;
  });
  // Stops running jobs that were cancelled or finished by another process.
  std::vector<JobId> gone;
  for (const auto& [id, running] : running_) {
    if (open.count(id) == 0 && running.open_version != 0) gone.push_back(id);
  }
  for (const JobId& id : gone) Abandon(id);
}

bool JobRunner::IsTakenOver(const RunningJob& running, const TableRow& row) {
  // The row may have been read before this process wrote it.
  return running.open_version != 0 && row.version > running.open_version;
}

void JobRunner::Abandon(const JobId& id) {
  const auto it = running_.find(id);
  if (it->second.finishing) return;
  const auto task = it->second.task;
  running_.erase(it);
  if (task && !task->ended()) task->Cancel();
}

bool JobRunner::CanAcquire(Time now, const TableRow& row) const {
  if (draining_ || running_.size() >= kMaxRunningJobs) return false;
  const auto record = DecodeOpenJobRecord(row.value);
  if (!record) return false;
  if (record->owner.empty()) return true;
  const JobId id(row.key.substr(std::string(kOpenJobsPrefix).size()));
  const auto since = orphan_since_.find(id);
  return since != orphan_since_.end() && now - since->second >= kOrphanTimeout;
}

JobRunner::RunningJob* JobRunner::FindRunning(const Acquisition& acquired) {
  const auto it = running_.find(acquired.id);
  const bool is_current =
      it != running_.end() && it->second.acquisition == acquired.number;
  return is_current ? &it->second : nullptr;
}

void JobRunner::Acquire(const JobId& id, const TableRow& row) {
  const Acquisition acquired{id, ++last_acquisition_};
  running_[id].acquisition = acquired.number;
  const auto previous = DecodeOpenJobRecord(row.value);
  const uint32_t attempts = previous ? previous->attempts + 1 : 1;
  node_.table().Commit(AcquireJob(id, row, node_.self()),
                       [this, acquired, attempts](const CommitResult& result) {
                         // If only the response was lost, the row names this
                         // process; it is acquired again once it is orphaned.
                         if (result.status != CommitStatus::kCommitted) {
                           running_.erase(acquired.id);
                           return;
                         }
                         LoadJob(acquired, result.version, attempts);
                       });
}

void JobRunner::LoadJob(const Acquisition& acquired, RowVersion open_version,
                        uint32_t attempts) {
  node_.table().ReadPrefix(
      JobRowKey(acquired.id),
      [this, acquired, open_version, attempts](const ReadResult& result) {
        RunningJob* const found = FindRunning(acquired);
        if (found == nullptr) return;
        RunningJob& running = *found;
        running.open_version = open_version;
        running.attempts = attempts;
        const TableRow* row =
            result.rows ? FindRow(*result.rows, JobRowKey(acquired.id))
                        : nullptr;
        const auto job =
            row == nullptr ? std::nullopt : DecodeJobRecord(row->value);
        if (!job) return Release(acquired);
        running.job = *job;
        running.job_version = row->version;
        LoadRequest(acquired);
      });
}

void JobRunner::LoadRequest(const Acquisition& acquired) {
  const RunningJob* const running = FindRunning(acquired);
  if (running == nullptr) return;
  const JobRecord& job = running->job;
  if (!job.request_in_object) return RunJob(acquired);
  const std::string old_key = OldJobRequestObjectKey(acquired.id);
  objects_.Get(JobRequestObjectKey(job), [this, acquired, old_key](
                                             std::optional<std::string> text,
                                             const std::string&) {
    if (text) return OnRequestText(acquired, *text);
    objects_.Get(old_key, [this, acquired](std::optional<std::string> old,
                                           const std::string&) {
      OnRequestText(acquired, old.value_or(""));
    });
  });
}

void JobRunner::OnRequestText(const Acquisition& acquired,
                              const std::string& text) {
  RunningJob* const running = FindRunning(acquired);
  if (running == nullptr) return;
  JobRecord& job = running->job;
  if (JobRequestDigest(job.account, text) != job.request_digest) {
    return Release(acquired);
  }
  job.request = text;
  RunJob(acquired);
}

void JobRunner::RunJob(const Acquisition& acquired) {
  RunningJob* const found = FindRunning(acquired);
  if (found == nullptr) return;
  if (draining_) return Release(acquired);
  RunningJob& running = *found;
  std::vector<JsonError> errors;
  auto request = ParseChatRequest(running.job.request, errors);
  if (!request) {
    return StoreFinalState(acquired, JobState::kFailed,
                           errors.front().ToString());
  }
  request->cls = PriorityClass::kBulk;
  const Time now = BootClock::now();
  ChatTask::Options options;
  options.account = running.job.account;
  options.id = MakeRequestId(node_.random().HexId().substr(0, 16),
                             options.account, running.job.request);
  options.request = std::move(*request);
  options.arrived = now;
  options.deadline = now + kJobDeadline;
  running.text.clear();
  ChatCallbacks callbacks;
  callbacks.on_event = [this, acquired](const std::string&,
                                        const std::string& data) {
    RunningJob* const job = FindRunning(acquired);
    if (job == nullptr) return;
    job->text += EventText(ParseJson(data));
  };
  callbacks.on_end = [this, acquired](const ChatResult& result) {
    OnChatFinished(acquired, result);
  };
  Log(LogLevel::kInfo, "job_started",
      {{"job", acquired.id.value()}, {"attempt", int64_t{running.attempts}}});
  const auto task = scheduler_.Start(std::move(options), std::move(callbacks));
  RunningJob* const started = FindRunning(acquired);
  if (started != nullptr) started->task = task;
}

void JobRunner::OnChatFinished(const Acquisition& acquired,
                               const ChatResult& result) {
  RunningJob* const running = FindRunning(acquired);
  if (running == nullptr) return;
  running->task = nullptr;
  if (result.outcome.ran()) {
    return StoreFinalState(acquired, JobState::kDone, running->text);
  }
  const bool bad_request =
      result.status >= 400 && result.status < 500 && result.status != 429;
  // A refusal, by engines or by this entry, is not the job's fault.
  const bool engine_failed =
      result.status == 502 && result.outcome.verdict != Verdict::kNotRun;
  const bool given_up = engine_failed && running->attempts >= kMaxAttempts;
  if (bad_request || given_up) {
    return StoreFinalState(acquired, JobState::kFailed, result.outcome.reason);
  }
  // Generation is idempotent, so the job is retried until it is done.
  if (engine_failed) ++running->attempts;
  RetryLater(acquired);
}

void JobRunner::RetryLater(const Acquisition& acquired) {
  RunningJob* const running = FindRunning(acquired);
  if (running == nullptr) return;
  if (draining_) return Release(acquired);
  running->timer =
      node_.loop().After(kRetryDelay, [this, acquired] { RunJob(acquired); });
}

void JobRunner::StoreFinalState(const Acquisition& acquired, JobState state,
                                const std::string& result) {
  RunningJob* const found = FindRunning(acquired);
  if (found == nullptr) return;
  RunningJob& running = *found;
  running.finishing = true;
  running.job.state = state;
  if (result.size() <= kMaxInlineBytes) {
    running.job.result = result;
    running.job.result_in_object = false;
    return CommitFinalState(acquired);
  }
  running.job.result.clear();
  running.job.result_in_object = true;
  objects_.Put(JobResultObjectKey(acquired.id), result,
               [this, acquired, state, result](bool stored) {
                 RunningJob* const job = FindRunning(acquired);
                 if (job == nullptr) return;
                 if (stored) return CommitFinalState(acquired);
                 job->timer = node_.loop().After(
                     kRetryDelay, [this, acquired, state, result] {
                       StoreFinalState(acquired, state, result);
                     });
               });
}

void JobRunner::CommitFinalState(const Acquisition& acquired) {
  RunningJob* const running = FindRunning(acquired);
  if (running == nullptr) return;
  JobRecord record = running->job;
  if (record.request_in_object) record.request.clear();
  node_.table().Commit(
      FinishJob(record, running->job_version, running->open_version),
      [this, acquired](const CommitResult& result) {
        RunningJob* const job = FindRunning(acquired);
        if (job == nullptr) return;
        const bool closed = result.status == CommitStatus::kCommitted ||
                            result.status == CommitStatus::kConflict;
        if (!closed) {
          // If only the response was lost, the repeated write conflicts with
          // the first one, which ends the job here as well.
          job->timer = node_.loop().After(
              kRetryDelay, [this, acquired] { CommitFinalState(acquired); });
          return;
        }
        Log(LogLevel::kInfo, "job_finished",
            {{"job", acquired.id.value()},
             {"state", ToString(job->job.state)},
             {"stored",
              result.status == CommitStatus::kCommitted ? "here" : "before"}});
        running_.erase(acquired.id);
      });
}

void JobRunner::Release(const Acquisition& acquired) {
  RunningJob* const running = FindRunning(acquired);
  if (running == nullptr) return;
  const TableTransaction txn =
      ReleaseJob(acquired.id, running->open_version, running->attempts);
  running_.erase(acquired.id);
  node_.table().Commit(txn, [](const CommitResult&) {});
}

void JobRunner::Drain() {
  draining_ = true;
  std::vector<Acquisition> acquisitions;
  for (const auto& [id, running] : running_) {
    if (!running.finishing) {
      acquisitions.push_back({id, running.acquisition});
    }
  }
  for (const Acquisition& acquired : acquisitions) {
    const RunningJob* const running = FindRunning(acquired);
    if (running == nullptr) continue;
    const auto task = running->task;
    const bool loaded = running->open_version != 0;
    if (task && !task->ended()) task->Cancel();
    if (loaded) Release(acquired);
  }
}

}  // namespace corianderlink
