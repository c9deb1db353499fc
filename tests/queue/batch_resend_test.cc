/// @file
/// Resends of accepted batches: a client that repeats its request gets its batch again, whatever
/// operators changed in between.

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "batches/submission_identity.h"
#include "queue/queue_world.h"
#include "routes/route_reference.h"

namespace cloverbank {
namespace {

constexpr std::uint64_t kLimit = 1'400'000;

/// A batch of the host "shop.example", as a gateway of the platform's interface submits it.
proto::SubmitBatchRequest MakeAuditBatch(int items) {
  proto::SubmitBatchRequest request;
  request.set_idempotent(true);
  *request.mutable_route_reference() = ReferenceByPath("shop.example", "/audit/7c41");
  proto::SubmitBatch& batch = *request.mutable_batch();
  batch.set_tenant("shop.example");
  batch.set_batch_id("7c41");
  batch.set_idempotency_key("7c41");
  batch.set_route("describe");
  for (int index = 0; index < items; ++index) {
    proto::BatchItem& item = *batch.add_items();
    item.set_custom_id("item" + std::to_string(index));
    item.set_tokens(100);
    item.set_prefix_key("prefix");
    item.mutable_forwarded()->set_target("/audit/" + std::to_string(index));
    proto::HttpField* header = item.mutable_forwarded()->add_headers();
    header->set_name("Host");
    header->set_value("shop.example");
  }
  return request;
}

class BatchResendTest : public testing::Test {
 protected:
  BatchResendTest() : world_(23) {
    world_.AddQueue("q1");
    world_.AssignPartition("q1");
  }
  void ExpectResent(const proto::SubmitBatchRequest& request) {
    const auto response = world_.Submit("q1", request);
    ASSERT_TRUE(response.ok()) << response.status().ToString();
    EXPECT_TRUE(response->resent());
  }

  QueueWorld world_;
  proto::SubmitBatchRequest request_ = MakeAuditBatch(3);
};

// Guards against refusing an accepted batch that comes again after a change of its route's limit
// (review/8).
TEST_F(BatchResendTest, GetsTheAcceptedBatchAfterAChangeOfTheLimit) {
  ASSERT_THAT(world_.Submit("q1", request_), IsOk());
  for (const std::uint64_t limit : {kLimit, std::uint64_t{1}, std::uint64_t{0}}) {
    request_.mutable_batch()->set_open_token_limit(limit);
    ExpectResent(request_);
  }
}

TEST_F(BatchResendTest, GetsTheAcceptedBatchAfterItsRouteIsRenamed) {
  ASSERT_THAT(world_.Submit("q1", request_), IsOk());
  request_.mutable_batch()->set_route("r-9");
  ExpectResent(request_);
}

// Guards against telling a gateway's own reading of an item's headers from what the client sent.
TEST_F(BatchResendTest, IgnoresWhatGatewaysDeriveFromTheItems) {
  ASSERT_THAT(world_.Submit("q1", request_), IsOk());
  request_.mutable_batch()->mutable_items(0)->set_prefix_key("other");
  request_.mutable_batch()->mutable_items(0)->set_shared_tokens(7);
  ExpectResent(request_);
}

// Guards against refusing the resend from a gateway of an older build, which sends no reference.
TEST_F(BatchResendTest, GetsTheAcceptedBatchFromAnOlderGateway) {
  ASSERT_THAT(world_.Submit("q1", request_), IsOk());
  request_.clear_route_reference();
  request_.mutable_batch()->set_open_token_limit(kLimit);
  ExpectResent(request_);
}

TEST_F(BatchResendTest, IsRefusedWithOtherContent) {
  ASSERT_THAT(world_.Submit("q1", request_), IsOk());
  auto other = request_;
  other.mutable_batch()->mutable_items(0)->mutable_forwarded()->set_body("other");
  EXPECT_THAT(world_.Submit("q1", other), FailsWith(StatusCode::kConflict));
  other = request_;
  other.mutable_batch()->mutable_items(1)->set_tokens(101);
  EXPECT_THAT(world_.Submit("q1", other), FailsWith(StatusCode::kConflict));
  other = request_;
  other.mutable_route_reference()->set_path("/audit/other");
  EXPECT_THAT(world_.Submit("q1", other), FailsWith(StatusCode::kConflict));
  EXPECT_THAT(world_.Submit("q1", MakeAuditBatch(4)), FailsWith(StatusCode::kConflict));
}

// A client of /v1 names the route itself, so another name is another request.
TEST_F(BatchResendTest, IsRefusedWithAnotherNameOfItsRoute) {
  auto named = QueueWorld::MakeBatch("key", 2);
  *named.mutable_route_reference() = ReferenceByName("describe");
  ASSERT_THAT(world_.Submit("q1", named), IsOk());
  named.mutable_batch()->set_route("unlock");
  *named.mutable_route_reference() = ReferenceByName("unlock");
  EXPECT_THAT(world_.Submit("q1", named), FailsWith(StatusCode::kConflict));
}

// Guards against refusing an accepted batch that comes again after its route was removed: a gateway
// then asks for it without a route (KNOWN-RED 15).
TEST_F(BatchResendTest, IsFoundWithoutARoute) {
  request_.mutable_batch()->clear_route();
  const auto find = [this](const proto::SubmitBatchRequest& request) {
    return world_.Call<proto::SubmitBatchResponse>("q1", "queue.FindSubmission", request);
  };
  EXPECT_THAT(find(request_), FailsWith(StatusCode::kNotFound));
  EXPECT_THAT(find(request_), FailsWith(StatusCode::kNotFound)) << "nothing is accepted by it";
  ASSERT_THAT(world_.Submit("q1", MakeAuditBatch(3)), IsOk());
  const auto found = find(request_);
  ASSERT_THAT(found, IsOk());
  EXPECT_TRUE(found->resent());
  EXPECT_EQ(found->status().batch_id(), "7c41");
  request_.mutable_batch()->mutable_items(0)->mutable_forwarded()->set_body("other");
  EXPECT_THAT(find(request_), FailsWith(StatusCode::kConflict));
}

/// Batches of two hosts whose clients chose the same id, in one partition.
class SharedBatchIdTest : public BatchResendTest {
 protected:
  SharedBatchIdTest() {
    other_.mutable_batch()->set_tenant("other.example");
    other_.mutable_route_reference()->set_host("other.example");
    for (proto::BatchItem& item : *other_.mutable_batch()->mutable_items()) {
      item.mutable_forwarded()->mutable_headers(0)->set_value("other.example");
    }
  }
  Result<proto::ListResultsResponse> ListResults(const std::string& tenant) {
    proto::ListResultsRequest list;
    list.set_batch_id("7c41");
    list.set_tenant(tenant);
    return world_.Call<proto::ListResultsResponse>("q1", "queue.ListResults", list);
  }
  Result<proto::GetItemResponse> GetItem(const std::string& tenant) {
    proto::GetItemRequest item;
    item.set_batch_id("7c41");
    item.set_custom_id("item0");
    item.set_tenant(tenant);
    return world_.Call<proto::GetItemResponse>("q1", "queue.GetItem", item);
  }
  Result<proto::CancelBatchResponse> Cancel(const std::string& tenant) {
    proto::CancelBatchRequest cancel;
    cancel.set_batch_id("7c41");
    cancel.set_tenant(tenant);
    return world_.Call<proto::CancelBatchResponse>("q1", "queue.CancelBatch", cancel);
  }

  proto::SubmitBatchRequest other_ = MakeAuditBatch(2);
};

// Guards against a client getting the data of another one that chose the same batch id, and against
// ending the batch of another one (KNOWN-RED 15).
TEST_F(SharedBatchIdTest, ShowsNothingOfTheBatchOfAnotherTenant) {
  ASSERT_THAT(world_.Submit("q1", request_), IsOk());
  EXPECT_THAT(ListResults("other.example"), FailsWith(StatusCode::kNotFound));
  EXPECT_THAT(GetItem("other.example"), FailsWith(StatusCode::kNotFound));
  EXPECT_THAT(Cancel("other.example"), FailsWith(StatusCode::kNotFound));
  EXPECT_THAT(ListResults("shop.example"), IsOk());
}

// Guards against refusing a batch because a client of another host chose the same id (KNOWN-RED
// 15).
TEST_F(SharedBatchIdTest, IsAcceptedForEachTenant) {
  ASSERT_THAT(world_.Submit("q1", request_), IsOk());
  const auto accepted = world_.Submit("q1", other_);
  ASSERT_THAT(accepted, IsOk());
  EXPECT_FALSE(accepted->resent());
  ExpectResent(request_);
  ExpectResent(other_);
  const auto own = ListResults("other.example");
  ASSERT_THAT(own, IsOk());
  EXPECT_EQ(own->list().total(), 2U);
  EXPECT_EQ(ListResults("shop.example")->list().total(), 3U);
  const auto item = GetItem("other.example");
  ASSERT_THAT(item, IsOk());
  EXPECT_EQ(item->item().forwarded().headers(0).value(), "other.example");
}

// Guards against the owner that follows mixing up the two batches.
TEST_F(SharedBatchIdTest, KeepsTheBatchesApartAfterARecovery) {
  ASSERT_THAT(world_.Submit("q1", request_), IsOk());
  ASSERT_THAT(world_.Submit("q1", other_), IsOk());
  ASSERT_THAT(Cancel("other.example"), IsOk());
  world_.AddQueue("q2");
  world_.FailOver("q1", "q2");
  proto::ListResultsRequest list;
  list.set_batch_id("7c41");
  list.set_tenant("other.example");
  const auto other = world_.Call<proto::ListResultsResponse>("q2", "queue.ListResults", list);
  ASSERT_THAT(other, IsOk());
  EXPECT_EQ(other->list().total(), 2U);
  list.set_tenant("shop.example");
  const auto first = world_.Call<proto::ListResultsResponse>("q2", "queue.ListResults", list);
  ASSERT_THAT(first, IsOk());
  EXPECT_EQ(first->list().total(), 3U);
  EXPECT_NE(first->list().state(), proto::BATCH_STATE_CANCELLED);
}

// Guards against one tenant's second batch replacing its first one of the same id.
TEST_F(SharedBatchIdTest, IsRefusedForASecondBatchOfOneTenant) {
  ASSERT_THAT(world_.Submit("q1", request_), IsOk());
  ASSERT_THAT(world_.Submit("q1", other_), IsOk());
  for (proto::SubmitBatchRequest again : {request_, other_}) {
    again.mutable_batch()->set_idempotency_key("another key");
    EXPECT_THAT(world_.Submit("q1", again), FailsWith(StatusCode::kConflict));
  }
}

/// A batch that a build without content checksums accepted.
class OlderBatchResendTest : public testing::Test {
 protected:
  OlderBatchResendTest() {
    batch_.accepted.set_tenant("shop.example");
    batch_.accepted.set_route("describe");
    batch_.accepted.set_request_checksum(1);  // Holds a limit that nobody knows any more.
    batch_.items.assign(request_.batch().items().begin(), request_.batch().items().end());
    batch_.route = DeriveReference("shop.example", "describe", batch_.items.data());
  }
  bool IsResendOfBatch() const { return IsResend(request_, ContentChecksum(request_), batch_); }

  proto::SubmitBatchRequest request_ = MakeAuditBatch(3);
  StoredBatch batch_;
};

// Guards against refusing the resend of a batch that was accepted before an upgrade.
TEST_F(OlderBatchResendTest, IsRecognizedByTheStoredItems) {
  EXPECT_TRUE(IsResendOfBatch());
  request_.mutable_batch()->set_open_token_limit(kLimit);
  request_.mutable_batch()->set_route("r-9");
  EXPECT_TRUE(IsResendOfBatch());
  batch_.items[1].clear_forwarded();  // It has its result.
  EXPECT_TRUE(IsResendOfBatch());
}

TEST_F(OlderBatchResendTest, IsRefusedWithOtherItems) {
  request_.mutable_batch()->mutable_items(0)->mutable_forwarded()->set_body("other");
  EXPECT_FALSE(IsResendOfBatch());
  request_ = MakeAuditBatch(2);
  EXPECT_FALSE(IsResendOfBatch());
}

}  // namespace
}  // namespace cloverbank
