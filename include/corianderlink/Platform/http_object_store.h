// HTTP client of the platform's object store.
#ifndef CORIANDERLINK_PLATFORM_HTTP_OBJECT_STORE_H_
#define CORIANDERLINK_PLATFORM_HTTP_OBJECT_STORE_H_

#include <functional>
#include <optional>
#include <string>

#include "corianderlink/Http/http_client.h"
#include "corianderlink/Support/address.h"
#include "corianderlink/Support/time.h"

namespace corianderlink {

/// Object store reached over HTTP.  Callbacks run on the event loop.
class HttpObjectStore {
 public:
  /// `stored` is true if the store confirmed the write; otherwise the object
  /// may or may not be stored.
  using PutCallback = std::function<void(bool stored)>;
  /// Receives the object, or nullopt and the reason for the failure.
  using GetCallback =
      std::function<void(std::optional<std::string>, std::string reason)>;

  /// `platform` is the address of the store; `timeout` applies to each request.
  HttpObjectStore(HttpClient& client, Address platform, Duration timeout)
      : client_(client), platform_(std::move(platform)), timeout_(timeout) {}

  /// Stores `value` under `key`, which is not percent-encoded.
  void Put(const std::string& key, const std::string& value,
           PutCallback callback);
  /// Reads the object stored under `key`.
  void Get(const std::string& key, GetCallback callback);

 private:
  HttpClient& client_;
  const Address platform_;
  const Duration timeout_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_PLATFORM_HTTP_OBJECT_STORE_H_
