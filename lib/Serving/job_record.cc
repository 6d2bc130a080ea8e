// Encoding and transactions of durable jobs in the table service.
#include "corianderlink/Serving/job_record.h"

#include "corianderlink/Support/hash.h"
#include "corianderlink/Support/json_reader.h"

namespace corianderlink {
namespace {

const char* const kStateNames[] = {"queued", "done", "failed", "cancelled"};
constexpr int kStateCount = 4;

std::string Serialize(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace

const char kOpenJobsPrefix[] = "jobs-open/";

const char* ToString(JobState state) {
  return kStateNames[static_cast<int>(state)];
}

std::string JobRowKey(const JobId& id) { return "jobs/" + id.value(); }
std::string OpenJobRowKey(const JobId& id) {
  return kOpenJobsPrefix + id.value();
}
std::string JobRequestDigest(const AccountId& account,
                             const std::string& request) {
  return Sha256Hex(account.value() + "\n" + request);
}
std::string JobRequestObjectKey(const JobRecord& job) {
  return "jobs/" + job.id.value() + "/request-" + job.request_digest;
}
std::string OldJobRequestObjectKey(const JobId& id) {
  return "jobs/" + id.value() + "/request";
}
std::string JobResultObjectKey(const JobId& id) {
  return "jobs/" + id.value() + "/result";
}

std::string EncodeJobRecord(const JobRecord& record) {
  return Serialize({{"id", record.id.value()},
                    {"account", record.account.value()},
                    {"state", ToString(record.state)},
                    {"request_digest", record.request_digest},
                    {"request", record.request},
                    {"request_in_object", record.request_in_object},
                    {"result", record.result},
                    {"result_in_object", record.result_in_object}});
}

std::optional<JobRecord> DecodeJobRecord(const std::string& text) {
  const Json json = ParseJson(text);
  try {
    JobRecord record;
    record.id = JobId(json.at("id").get<std::string>());
    record.account = AccountId(json.at("account").get<std::string>());
    const std::string state = json.at("state").get<std::string>();
    int index = 0;
    while (index < kStateCount && state != kStateNames[index]) ++index;
    if (index == kStateCount) return std::nullopt;
    record.state = static_cast<JobState>(index);
    record.request_digest = json.at("request_digest").get<std::string>();
    record.request = json.at("request").get<std::string>();
    record.request_in_object = json.at("request_in_object").get<bool>();
    record.result = json.at("result").get<std::string>();
    record.result_in_object = json.at("result_in_object").get<bool>();
    return record;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

std::string EncodeOpenJobRecord(const OpenJobRecord& record) {
  return Serialize(
      {{"owner", record.owner.value()}, {"attempts", record.attempts}});
}

std::optional<OpenJobRecord> DecodeOpenJobRecord(const std::string& text) {
  const Json json = ParseJson(text);
  try {
    return OpenJobRecord{ProcessId(json.at("owner").get<std::string>()),
                         json.at("attempts").get<uint32_t>()};
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

TableTransaction InsertJob(const JobRecord& record) {
  TableTransaction txn;
  txn.conditions = {{JobRowKey(record.id), 0}, {OpenJobRowKey(record.id), 0}};
  txn.writes = {{JobRowKey(record.id), EncodeJobRecord(record)},
                {OpenJobRowKey(record.id), EncodeOpenJobRecord({})}};
  return txn;
}

TableTransaction AcquireJob(const JobId& id, const TableRow& open_row,
                            const ProcessId& owner) {
  const auto previous = DecodeOpenJobRecord(open_row.value);
  OpenJobRecord record;
  record.owner = owner;
  record.attempts = previous ? previous->attempts + 1 : 1;
  TableTransaction txn;
  txn.conditions = {{OpenJobRowKey(id), open_row.version}};
  txn.writes = {{OpenJobRowKey(id), EncodeOpenJobRecord(record)}};
  return txn;
}

TableTransaction FinishJob(const JobRecord& final_record,
                           RowVersion job_version, RowVersion open_version) {
  const std::string job_key = JobRowKey(final_record.id);
  const std::string open_key = OpenJobRowKey(final_record.id);
  TableTransaction txn;
  txn.conditions = {{job_key, job_version}, {open_key, open_version}};
  txn.writes = {{job_key, EncodeJobRecord(final_record)},
                {open_key, std::nullopt}};
  return txn;
}

TableTransaction ReleaseJob(const JobId& id, RowVersion open_version,
                            uint32_t attempts) {
  TableTransaction txn;
  txn.conditions = {{OpenJobRowKey(id), open_version}};
  txn.writes = {
      {OpenJobRowKey(id), EncodeOpenJobRecord({ProcessId(), attempts})}};
  return txn;
}

}  // namespace corianderlink
