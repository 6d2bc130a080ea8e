// HTTP client of the platform's table service.
#ifndef CORIANDERLINK_PLATFORM_HTTP_TABLE_STORE_H_
#define CORIANDERLINK_PLATFORM_HTTP_TABLE_STORE_H_

#include <string>

#include "corianderlink/Http/http_client.h"
#include "corianderlink/Platform/table.h"
#include "corianderlink/Support/address.h"
#include "corianderlink/Support/time.h"

namespace corianderlink {

/// Table service reached over HTTP; satisfies TableStore.  Callbacks run on the
/// event loop.
class HttpTableStore {
 public:
  /// `platform` is the address of the service; `timeout` applies to each
  /// request.
  HttpTableStore(HttpClient& client, Address platform, Duration timeout)
      : client_(client), platform_(std::move(platform)), timeout_(timeout) {}

  /// Commits a transaction.  A failure other than a conflict is kNotRun if
  /// certainly nothing was written, and kUnknown otherwise.
  void Commit(const TableTransaction& txn, CommitCallback callback);
  /// Reads all rows whose key starts with `prefix`.
  void ReadPrefix(const std::string& prefix, ReadCallback callback);

 private:
  HttpClient& client_;
  const Address platform_;
  const Duration timeout_;
};

static_assert(TableStore<HttpTableStore>);

}  // namespace corianderlink

#endif  // CORIANDERLINK_PLATFORM_HTTP_TABLE_STORE_H_
