#include "base/status.h"

#include <gtest/gtest.h>

#include <set>

namespace cloverbank {
namespace {

TEST(StatusTest, EveryCodeHasDistinctName) {
  std::set<std::string_view> names;
  for (int code = 0; code <= static_cast<int>(StatusCode::kInternal); ++code) {
    names.insert(StatusCodeName(static_cast<StatusCode>(code)));
  }
  EXPECT_EQ(names.size(), static_cast<std::size_t>(StatusCode::kInternal) + 1);
}

TEST(ResultTest, HoldsValueOrStatus) {
  const Result<int> value(7);
  ASSERT_TRUE(value.ok());
  EXPECT_EQ(*value, 7);
  const Result<int> failure(Status(StatusCode::kNotFound, "no such file"));
  ASSERT_FALSE(failure.ok());
  EXPECT_EQ(failure.status().ToString(), "not_found: no such file");
}

}  // namespace
}  // namespace cloverbank
