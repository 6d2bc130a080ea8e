// Tests of the line writer with a reader that does not read and with more lines
// than the rate limit admits.
#include "corianderlink/Support/line_writer.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

namespace corianderlink {
namespace {

class LineWriterTest : public ::testing::Test {
 protected:
  LineWriterTest() {
    const int result = pipe2(fds_, 0);
    EXPECT_EQ(result, 0);
    fcntl(fds_[0], F_SETFL, O_NONBLOCK);
  }
  ~LineWriterTest() override {
    close(fds_[0]);
    close(fds_[1]);
  }
  std::string ReadAll() {
    std::string text;
    char buffer[65536];
    ssize_t n = 0;
    while ((n = read(fds_[0], buffer, sizeof(buffer))) > 0) {
      text.append(buffer, static_cast<size_t>(n));
    }
    return text;
  }

  int fds_[2] = {-1, -1};
  Time now_ = Time(seconds(50));
};

TEST_F(LineWriterTest, DoesNotBlockIfReaderDoesNotRead) {
  LineWriter writer(fds_[1], {1e9, 1e9, 10000});
  const std::string line(99, 'x');
  for (int i = 0; i < 20000; ++i) writer.Write(now_, line);
  EXPECT_GT(writer.dropped(), 0U);
  const std::string first = ReadAll();
  writer.Write(now_, "after");
  const std::string text = first + ReadAll();
  EXPECT_NE(text.find("log_lines_dropped count="), std::string::npos);
  EXPECT_NE(text.find("after"), std::string::npos);
}

TEST_F(LineWriterTest, LimitsRate) {
  LineWriter writer(fds_[1], {100, 10, 100000});
  for (int i = 0; i < 1000; ++i) writer.Write(now_, "line");
  EXPECT_EQ(writer.dropped(), 990U);
  writer.Write(now_ + seconds(1), "later");
  EXPECT_NE(ReadAll().find("later"), std::string::npos);
}

}  // namespace
}  // namespace corianderlink
