// Client of the platform's table service over HTTP.
#ifndef CORIANDERLINK_PLATFORM_HTTP_TABLE_H_
#define CORIANDERLINK_PLATFORM_HTTP_TABLE_H_

#include <string>

#include "corianderlink/Http/http_client.h"
#include "corianderlink/Platform/table.h"
#include "corianderlink/Support/address.h"
#include "corianderlink/Support/time.h"

namespace corianderlink {

/// Table service reached by HTTP.  Satisfies TableStore.
class HttpTable {
 public:
  HttpTable(HttpClient& client, Address platform, Duration timeout)
      : client_(client), platform_(std::move(platform)), timeout_(timeout) {}

  void Commit(const TableTransaction& txn, CommitCallback callback);
  void ReadPrefix(const std::string& prefix, ReadCallback callback);

 private:
  HttpClient& client_;
  const Address platform_;
  const Duration timeout_;
};

static_assert(TableStore<HttpTable>);

}  // namespace corianderlink

#endif  // CORIANDERLINK_PLATFORM_HTTP_TABLE_H_
