#include "calls/http_json.h"

#include <gtest/gtest.h>

#include "gateway/adapter_harness.h"

namespace cloverbank {
namespace {

TEST(HttpJsonTest, RoundsRetryAfterUpToSeconds) {
  RecordedResponse response;
  proto::CallError error;
  error.set_retry_after_ms(1001);
  SendError(response, 503, error);
  EXPECT_EQ(response.Header("Retry-After"), "2");
}

}  // namespace
}  // namespace cloverbank
