#include "batch_work/batch_validation.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace cloverbank {
namespace {

TEST(BatchValidationTest, RefusesUnknownTenantsIfAnyAreConfigured) {
  proto::RoutingConfiguration configuration;
  proto::Route* route = configuration.add_routes();
  route->set_name("audit");
  route->set_accepts_batches(true);
  proto::SubmitBatch batch;
  batch.set_tenant("depot");
  batch.set_idempotency_key("k");
  batch.set_route("audit");
  batch.add_items()->set_custom_id("a");
  EXPECT_TRUE(FindBatchProblems(batch, configuration).empty());
  configuration.add_tenants()->set_name("studio");
  EXPECT_EQ(FindBatchProblems(batch, configuration).size(), 1U);
}

TEST(BatchValidationTest, TruncatesLongProblemLists) {
  proto::SubmitBatch batch;
  for (int index = 0; index < 500; ++index) {
    batch.add_items();
  }
  const std::vector<std::string> problems = FindBatchProblems(batch, {});
  EXPECT_EQ(problems.size(), 101U);
  EXPECT_EQ(problems.back(), "and 403 more");
}

}  // namespace
}  // namespace cloverbank
