#include "calls/line_reader.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace cloverbank {
namespace {

TEST(LineReaderTest, SplitsLinesAtAnyByteBoundary) {
  const std::string_view body = "one\n\ntwo\r\nthree";
  for (std::size_t step = 1; step <= body.size(); ++step) {
    LineReader reader(8);
    std::vector<std::string> lines;
    for (std::size_t at = 0; at < body.size(); at += step) {
      reader.Append(body.substr(at, step));
      while (const auto line = reader.Next()) {
        lines.push_back(*line);
      }
    }
    EXPECT_EQ(lines, (std::vector<std::string>{"one", "two"}));
    EXPECT_FALSE(reader.IsTooLong());
    EXPECT_EQ(reader.TakeRest(), "three");
  }
  LineReader reader(4);
  reader.Append("12345");
  EXPECT_FALSE(reader.Next().has_value());
  EXPECT_TRUE(reader.IsTooLong());
}

}  // namespace
}  // namespace cloverbank
