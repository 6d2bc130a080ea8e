// HTTP client of the platform's table service.
#include "corianderlink/Platform/http_table_store.h"

#include <utility>

#include "corianderlink/Platform/table_codec.h"
#include "corianderlink/Support/url_encode.h"

namespace corianderlink {

void HttpTableStore::Commit(const TableTransaction& txn,
                            CommitCallback callback) {
  HttpRequest request;
  request.address = platform_;
  request.method = "POST";
  request.target = "/v1/table/transactions";
  request.body = EncodeTransaction(txn);
  request.timeout = timeout_;
  client_.Start(
      request, [callback = std::move(callback)](const HttpResponse& response) {
        CommitResult result;
        if (response.ok()) {
          callback(DecodeCommitResult(response.body));
          return;
        }
        const bool not_run = response.outcome.verdict == Verdict::kNotRun;
        result.status =
            not_run ? CommitStatus::kNotRun : CommitStatus::kUnknown;
        // The service guarantees that it returns 503 before writing anything.
        if (response.outcome.ran() && response.status == 503) {
          result.status = CommitStatus::kNotRun;
        }
        result.reason = response.outcome.ran()
                            ? "table service responded with status " +
                                  std::to_string(response.status)
                            : response.outcome.reason;
        callback(result);
      });
}

void HttpTableStore::ReadPrefix(const std::string& prefix,
                                ReadCallback callback) {
  HttpRequest request;
  request.address = platform_;
  request.target = "/v1/table/rows?prefix=" + UrlEncode(prefix);
  request.timeout = timeout_;
  client_.Start(request, [prefix, callback = std::move(callback)](
                             const HttpResponse& response) {
    if (response.ok()) {
      callback(DecodeRows(response.body, prefix));
      return;
    }
    ReadResult result;
    result.reason = response.outcome.ran()
                        ? "table service responded with status " +
                              std::to_string(response.status)
                        : response.outcome.reason;
    callback(result);
  });
}

}  // namespace corianderlink
