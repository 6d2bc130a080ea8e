// Finds the account of a caller by its key.
#ifndef CORIANDERLINK_SERVING_CALLER_ACCOUNT_H_
#define CORIANDERLINK_SERVING_CALLER_ACCOUNT_H_

#include <map>
#include <optional>
#include <string>

#include "corianderlink/Release/specs.h"
#include "corianderlink/Support/strong_id.h"

namespace corianderlink {

struct CallerAccount {
  AccountId id;
  AccountSpec spec;
};

/// Reads an "Authorization: Bearer KEY" header.  Without any declared account
/// every caller is the account "default"; with some, a wrong or missing key
/// finds none.
std::optional<CallerAccount> FindAccount(
    const std::map<AccountId, AccountSpec>& accounts,
    const std::string& authorization);

}  // namespace corianderlink

#endif  // CORIANDERLINK_SERVING_CALLER_ACCOUNT_H_
