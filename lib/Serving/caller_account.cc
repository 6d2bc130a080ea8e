// Finds the account of a caller by its key.
#include "corianderlink/Serving/caller_account.h"

#include "corianderlink/Support/hash.h"

namespace corianderlink {

std::optional<CallerAccount> FindAccount(
    const std::map<AccountId, AccountSpec>& accounts,
    const std::string& authorization) {
  if (accounts.empty()) return CallerAccount{AccountId("default"), {}};
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
