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

void JobRunner::Acquire(const JobId& id, const TableRow& row) {
  running_[id];
  const auto previous = DecodeOpenJobRecord(row.value);
  const uint32_t attempts = previous ? previous->attempts + 1 : 1;
  node_.table().Commit(AcquireJob(id, row, node_.self()),
                       [this, id, attempts](const CommitResult& result) {
                         // If only the response was lost, the row names this
                         // process; it is acquired again once it is orphaned.
                         if (result.status != CommitStatus::kCommitted) {
                           running_.erase(id);
                           return;
                         }
                         LoadJob(id, result.version, attempts);
                       });
}

void JobRunner::LoadJob(const JobId& id, RowVersion open_version,
                        uint32_t attempts) {
  node_.table().ReadPrefix(JobRowKey(id), [this, id, open_version,
                                           attempts](const ReadResult& result) {
    const auto it = running_.find(id);
    if (it == running_.end()) return;
    RunningJob& running = it->second;
    running.open_version = open_version;
    running.attempts = attempts;
    const TableRow* row =
        result.rows ? FindRow(*result.rows, JobRowKey(id)) : nullptr;
    const auto job =
        row == nullptr ? std::nullopt : DecodeJobRecord(row->value);
    if (!job) return Release(id);
    running.job = *job;
    running.job_version = row->version;
    LoadRequest(id);
  });
}

void JobRunner::LoadRequest(const JobId& id) {
  const JobRecord& job = running_[id].job;
  if (!job.request_in_object) return RunJob(id);
  const std::string old_key = OldJobRequestObjectKey(id);
  objects_.Get(
      JobRequestObjectKey(job),
      [this, id, old_key](std::optional<std::string> text, const std::string&) {
        if (text) return OnRequestText(id, *text);
        objects_.Get(old_key, [this, id](std::optional<std::string> old,
                                         const std::string&) {
          OnRequestText(id, old.value_or(""));
        });
      });
}

void JobRunner::OnRequestText(const JobId& id, const std::string& text) {
  const auto it = running_.find(id);
  if (it == running_.end()) return;
  JobRecord& job = it->second.job;
  if (JobRequestDigest(job.account, text) != job.request_digest) {
    return Release(id);
  }
  job.request = text;
  RunJob(id);
}

void JobRunner::RunJob(const JobId& id) {
  const auto it = running_.find(id);
  if (it == running_.end()) return;
  if (draining_) return Release(id);
  RunningJob& running = it->second;
  std::vector<JsonError> errors;
  auto request = ParseChatRequest(running.job.request, errors);
  if (!request) {
    return StoreFinalState(id, JobState::kFailed, errors.front().ToString());
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
  callbacks.on_event = [this, id](const std::string&, const std::string& data) {
    const auto job = running_.find(id);
    if (job == running_.end()) return;
    job->second.text += EventText(ParseJson(data));
  };
  callbacks.on_end = [this, id](const ChatResult& result) {
    OnChatFinished(id, result);
  };
  Log(LogLevel::kInfo, "job_started",
      {{"job", id.value()}, {"attempt", int64_t{running.attempts}}});
  const auto task = scheduler_.Start(std::move(options), std::move(callbacks));
  const auto started = running_.find(id);
  if (started != running_.end()) started->second.task = task;
}

void JobRunner::OnChatFinished(const JobId& id, const ChatResult& result) {
  const auto it = running_.find(id);
  if (it == running_.end()) return;
  it->second.task = nullptr;
  if (result.outcome.ran()) {
    return StoreFinalState(id, JobState::kDone, it->second.text);
  }
  const bool bad_request =
      result.status >= 400 && result.status < 500 && result.status != 429;
  // A refusal, by engines or by this entry, is not the job's fault.
  const bool engine_failed =
      result.status == 502 && result.outcome.verdict != Verdict::kNotRun;
  const bool given_up = engine_failed && it->second.attempts >= kMaxAttempts;
  if (bad_request || given_up) {
    return StoreFinalState(id, JobState::kFailed, result.outcome.reason);
  }
  // Generation is idempotent, so the job is retried until it is done.
  if (engine_failed) ++it->second.attempts;
  RetryLater(id);
}

void JobRunner::RetryLater(const JobId& id) {
  const auto it = running_.find(id);
  if (it == running_.end()) return;
  if (draining_) return Release(id);
  it->second.timer =
      node_.loop().After(kRetryDelay, [this, id] { RunJob(id); });
}

void JobRunner::StoreFinalState(const JobId& id, JobState state,
                                const std::string& result) {
  RunningJob& running = running_[id];
  running.finishing = true;
  running.job.state = state;
  if (result.size() <= kMaxInlineBytes) {
    running.job.result = result;
    running.job.result_in_object = false;
    return CommitFinalState(id);
  }
  running.job.result.clear();
  running.job.result_in_object = true;
  objects_.Put(
      JobResultObjectKey(id), result, [this, id, state, result](bool stored) {
        const auto it = running_.find(id);
        if (it == running_.end()) return;
        if (stored) return CommitFinalState(id);
        it->second.timer = node_.loop().After(
            kRetryDelay,
            [this, id, state, result] { StoreFinalState(id, state, result); });
      });
}

void JobRunner::CommitFinalState(const JobId& id) {
  const auto it = running_.find(id);
  if (it == running_.end()) return;
  JobRecord record = it->second.job;
  if (record.request_in_object) record.request.clear();
  node_.table().Commit(
      FinishJob(record, it->second.job_version, it->second.open_version),
      [this, id](const CommitResult& result) {
        const auto job = running_.find(id);
        if (job == running_.end()) return;
        const bool closed = result.status == CommitStatus::kCommitted ||
                            result.status == CommitStatus::kConflict;
        if (!closed) {
          // If only the response was lost, the repeated write conflicts with
          // the first one, which ends the job here as well.
          job->second.timer = node_.loop().After(
              kRetryDelay, [this, id] { CommitFinalState(id); });
          return;
        }
        Log(LogLevel::kInfo, "job_finished",
            {{"job", id.value()},
             {"state", ToString(job->second.job.state)},
             {"stored",
              result.status == CommitStatus::kCommitted ? "here" : "before"}});
        running_.erase(job);
      });
}

void JobRunner::Release(const JobId& id) {
  const auto it = running_.find(id);
  if (it == running_.end()) return;
  const TableTransaction txn =
      ReleaseJob(id, it->second.open_version, it->second.attempts);
  running_.erase(it);
  node_.table().Commit(txn, [](const CommitResult&) {});
}

void JobRunner::Drain() {
  draining_ = true;
  std::vector<JobId> ids;
  for (const auto& [id, running] : running_) {
    if (!running.finishing) ids.push_back(id);
  }
  for (const JobId& id : ids) {
    const auto task = running_[id].task;
    const bool loaded = running_[id].open_version != 0;
    if (task && !task->ended()) task->Cancel();
    if (loaded) Release(id);
  }
}

}  // namespace corianderlink
