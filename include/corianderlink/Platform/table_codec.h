// JSON bodies of the table service's HTTP protocol.
#ifndef CORIANDERLINK_PLATFORM_TABLE_CODEC_H_
#define CORIANDERLINK_PLATFORM_TABLE_CODEC_H_

#include <optional>
#include <string>
#include <vector>

#include "corianderlink/Platform/table.h"

namespace corianderlink {

std::string EncodeTransaction(const TableTransaction& txn);
/// Nothing if the body is malformed.
std::optional<TableTransaction> DecodeTransaction(const std::string& body);

std::string EncodeCommitResult(const CommitResult& result);
/// kUnknown with a reason if the body is malformed.
CommitResult DecodeCommitResult(const std::string& body);

std::string EncodeRows(const std::vector<TableRow>& rows);
/// Reads rows, all of which must start with `prefix`: an answer to another
/// question is refused.
ReadResult DecodeRows(const std::string& body, const std::string& prefix);

}  // namespace corianderlink

#endif  // CORIANDERLINK_PLATFORM_TABLE_CODEC_H_
