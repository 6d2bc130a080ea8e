// Tests of the encoding of the table service's request and response bodies.
#include "corianderlink/Platform/table_codec.h"

#include <gtest/gtest.h>

namespace corianderlink {
namespace {

TEST(TableCodecTest, RoundTripsManyLongRows) {
  std::vector<TableRow> rows;
  for (int i = 0; i < 100; ++i) {
    rows.push_back({"p/" + std::to_string(i), static_cast<RowVersion>(i + 1),
                    std::string(2000, 'v')});
  }
  const ReadResult read = DecodeRows(EncodeRows(rows), "p/");
  ASSERT_TRUE(read.rows) << read.reason;
  ASSERT_EQ(read.rows->size(), 100u);
  EXPECT_EQ(read.rows->back().value, rows.back().value);
}

TEST(TableCodecTest, RejectsRowOutsidePrefix) {
  const ReadResult read = DecodeRows(EncodeRows({{"q/1", 1, "v"}}), "p/");
  EXPECT_FALSE(read.rows);
  EXPECT_NE(read.reason.find("a row outside the prefix"), std::string::npos);
}

TEST(TableCodecTest, NeverTreatsMalformedResponseAsCommitted) {
  for (const char* body : {"", "{}", "[]", "{\"committed\":1}",
                           "{\"committed\":true}", "{\"rows\":[{}]}"}) {
    EXPECT_EQ(DecodeCommitResult(body).status, CommitStatus::kUnknown) << body;
    EXPECT_FALSE(DecodeRows(body, "").rows) << body;
  }
}

TEST(TableCodecTest, RoundTripsTransaction) {
  TableTransaction txn;
  txn.conditions = {{"a", 3}};
  txn.writes = {{"a", "x"}, {"b", std::nullopt}};
  const auto read = DecodeTransaction(EncodeTransaction(txn));
  ASSERT_TRUE(read);
  EXPECT_EQ(read->conditions[0].version, 3u);
  EXPECT_EQ(read->writes[0].value, "x");
  EXPECT_FALSE(read->writes[1].value);
}

}  // namespace
}  // namespace corianderlink
