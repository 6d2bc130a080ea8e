// Finds the account of a caller by its key.
#include "corianderlink/Serving/caller_account.h"

#include "corianderlink/Support/hash.h"

namespace corianderlink {
namespace {

// Without declared accounts there is nobody to protect from another.
constexpr int64_t kUndeclaredMaxInFlight = 1000000;

}  // namespace

std::optional<CallerAccount> FindAccount(
    const std::map<AccountId, AccountSpec>& accounts,
    const std::string& authorization) {
  if (accounts.empty()) {
    CallerAccount account{AccountId("default"), {}};
    account.spec.max_in_flight = kUndeclaredMaxInFlight;
    return account;
  }
  const std::string scheme = "Bearer ";
  if (authorization.compare(0, scheme.size(), scheme) != 0) {
    return std::nullopt;
  }
  const std::string digest = Sha256Hex(authorization.substr(scheme.size()));
  std::optional<CallerAccount> found;
  // All accounts are compared, so that the time tells nothing.
  for (const auto& [id, spec] : accounts) {
    if (ConstantTimeEquals(spec.key_sha256, digest)) found = {id, spec};
  }
  return found;
}

}  // namespace corianderlink
