// HTTP client of the platform's object store.
#include "corianderlink/Platform/http_object_store.h"

#include <utility>

namespace corianderlink {
namespace {

constexpr char kObjectsPath[] = "/v1/objects/";

}  // namespace

void HttpObjectStore::Put(const std::string& key, const std::string& value,
                          PutCallback callback) {
  HttpRequest request;
  request.address = platform_;
  request.method = "PUT";
  request.target = kObjectsPath + key;
  request.body = value;
  request.timeout = timeout_;
  client_.Start(request,
                [callback = std::move(callback)](const HttpResponse& response) {
                  callback(response.ok());
                });
}

void HttpObjectStore::Get(const std::string& key, GetCallback callback) {
  HttpRequest request;
  request.address = platform_;
  request.target = kObjectsPath + key;
  request.timeout = timeout_;
  client_.Start(
      request, [callback = std::move(callback)](const HttpResponse& response) {
        if (response.ok()) return callback(response.body, "");
        callback(std::nullopt, response.outcome.ran()
                                   ? "object store responded with status " +
                                         std::to_string(response.status)
                                   : response.outcome.reason);
      });
}

}  // namespace corianderlink
