// Encoding of the JSON bodies of the table service's HTTP API.
#include "corianderlink/Platform/table_codec.h"

#include "corianderlink/Support/json_reader.h"

namespace corianderlink {
namespace {

Json RowToJson(const TableRow& row) {
  return {{"key", row.key}, {"version", row.version}, {"value", row.value}};
}

TableRow RowFromJson(const Json& json) {
  TableRow row;
  row.key = json.at("key").get<std::string>();
  row.version = json.at("version").get<RowVersion>();
  row.value = json.at("value").get<std::string>();
  return row;
}

}  // namespace

std::string EncodeTransaction(const TableTransaction& txn) {
  Json conditions = Json::array();
  for (const TableCondition& condition : txn.conditions) {
    conditions.push_back(
        {{"key", condition.key}, {"version", condition.version}});
  }
  Json writes = Json::array();
  for (const TableWrite& write : txn.writes) {
    Json item = {{"key", write.key}};
    if (write.value) item["value"] = *write.value;
    writes.push_back(std::move(item));
  }
  return Json{{"conditions", conditions}, {"writes", writes}}.dump();
}

std::optional<TableTransaction> DecodeTransaction(const std::string& body) {
  try {
    const Json json = ParseJson(body);
    TableTransaction txn;
    for (const Json& item : json.at("conditions")) {
      txn.conditions.push_back({item.at("key").get<std::string>(),
                                item.at("version").get<RowVersion>()});
    }
    for (const Json& item : json.at("writes")) {
      TableWrite write{item.at("key").get<std::string>(), std::nullopt};
      if (item.contains("value")) {
        write.value = item["value"].get<std::string>();
      }
      txn.writes.push_back(std::move(write));
    }
    return txn;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

std::string EncodeCommitResult(const CommitResult& result) {
  Json rows = Json::array();
  for (const TableRow& row : result.conflicts) rows.push_back(RowToJson(row));
  return Json{{"committed", result.status == CommitStatus::kCommitted},
              {"version", result.version},
              {"conflicts", rows}}
      .dump();
}

CommitResult DecodeCommitResult(const std::string& body) {
  CommitResult result;
  try {
    const Json json = ParseJson(body);
    const bool committed = json.at("committed").get<bool>();
    result.version = json.at("version").get<RowVersion>();
    for (const Json& row : json.at("conflicts")) {
      result.conflicts.push_back(RowFromJson(row));
    }
    result.status =
        committed ? CommitStatus::kCommitted : CommitStatus::kConflict;
  } catch (const Json::exception& error) {
    result.status = CommitStatus::kUnknown;
    result.reason =
        std::string("malformed response of the table service: ") + error.what();
  }
  return result;
}

std::string EncodeRows(const std::vector<TableRow>& rows) {
  Json array = Json::array();
  for (const TableRow& row : rows) array.push_back(RowToJson(row));
  return Json{{"rows", array}}.dump();
}

ReadResult DecodeRows(const std::string& body, const std::string& prefix) {
  ReadResult result;
  try {
    std::vector<TableRow> rows;
    // Not a temporary in the loop header: it would be destroyed before the
    // first iteration (its lifetime is not extended through at()).
    const Json json = ParseJson(body);
    for (const Json& item : json.at("rows")) {
      TableRow row = RowFromJson(item);
      if (row.key.compare(0, prefix.size(), prefix) != 0) {
        result.reason =
            "table service answered with a row outside the prefix: " + row.key;
        return result;
      }
      rows.push_back(std::move(row));
    }
    result.rows = std::move(rows);
  } catch (const Json::exception& error) {
    result.reason =
        std::string("malformed response of the table service: ") + error.what();
  }
  return result;
}

}  // namespace corianderlink
