#include "calls/http_json.h"

#include <gtest/gtest.h>

#include "gateway/adapter_harness.h"

namespace cloverbank {
namespace {

TEST(HttpJsonTest, RoundsRetryAfterUpToSeconds) {
  RecordedResponse answer;
  proto::CallError error;
  error.set_retry_after_ms(1001);
  SendError(answer, 503, error);
  EXPECT_EQ(answer.Header("Retry-After"), "2");
}

}  // namespace
}  // namespace cloverbank
