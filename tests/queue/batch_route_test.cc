/// @file
/// Accepted batches across changes of routes: their items follow what the client sent, not the name
/// of a route, and end durably once their route has ended.

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "queue/queue_world.h"
#include "routes/route_reference.h"

namespace cloverbank {
namespace {

using proto::WORK_DISPOSITION_NOT_RUN;

/// Results of items that end because their route did are due within this time: the platform's
/// clients read for `finish_s` (10 s) after the last request.
constexpr Duration kEndBound = seconds(10);

class BatchRouteTest : public testing::Test {
 protected:
  BatchRouteTest() : world_(22) {
    world_.AddQueue("q1");
    world_.AssignPartition("q1");
    AddHttpRoute("r-1", "/audit/", "model");
    world_.PublishConfiguration();
  }

  void AddHttpRoute(const std::string& name, const std::string& prefix,
                    const std::string& backend) {
    proto::Route* route = world_.coordinator.configuration.add_routes();
    route->set_name(name);
    route->set_backend_kind(proto::BACKEND_KIND_HTTP);
    route->set_host("shop.example");
    route->set_path_prefix(prefix);
    route->set_backend(backend);
    route->set_idempotent(true);
    route->set_accepts_batches(true);
  }
  proto::Route& FindRoute(const std::string& name) {
    for (proto::Route& route : *world_.coordinator.configuration.mutable_routes()) {
      if (route.name() == name) {
        return route;
      }
    }
    ADD_FAILURE() << "no route " << name;
    return *world_.coordinator.configuration.mutable_routes(0);
  }
  void RemoveRoute(const std::string& name) {
    auto& routes = *world_.coordinator.configuration.mutable_routes();
    for (int index = routes.size() - 1; index >= 0; --index) {
      if (routes[index].name() == name) {
        routes.DeleteSubrange(index, 1);
      }
    }
    world_.PublishConfiguration();
  }
  /// Submits a batch under "/audit/" and expects that it is accepted.
  std::string AcceptAudit(const std::string& key, int items) {
    auto request = QueueWorld::MakeBatch(key, items, "r-1");
    request.set_idempotent(true);
    *request.mutable_route_reference() = ReferenceByPath("shop.example", "/audit/" + key);
    const auto response = world_.Submit("q1", request);
    EXPECT_TRUE(response.ok()) << response.status().ToString();
    return response.ok() ? response->status().batch_id() : "";
  }

  QueueWorld world_;
};

// Guards against waiting items being forgotten when operators give their route another name
// (review/6).
TEST_F(BatchRouteTest, WaitingItemsAreGrantedAfterTheirRouteIsRenamed) {
  AcceptAudit("key", 3);
  FindRoute("r-1").set_name("r-9");
  world_.PublishConfiguration();
  EXPECT_EQ(world_.Acquire("q1", 5).size(), 3U);
}

// Guards against waiting items going to the service of another route that got their route's name
// (review/5).
TEST_F(BatchRouteTest, WaitingItemsDoNotFollowTheNameOfTheirRoute) {
  AddHttpRoute("r-2", "/mail/", "mail");
  world_.PublishConfiguration();
  AcceptAudit("key", 3);
  FindRoute("r-1").set_backend("tokens");
  FindRoute("r-2").set_backend("model");
  FindRoute("r-1").set_name("r-0");
  FindRoute("r-2").set_name("r-1");
  world_.PublishConfiguration();
  EXPECT_TRUE(world_.Acquire("q1", 5).empty()) << "\"model\" now serves another route";
}

TEST_F(BatchRouteTest, WaitingItemsFollowTheirRouteToAnotherService) {
  AddHttpRoute("r-2", "/notes/", "notes");
  FindRoute("r-1").set_backend("other");
  world_.PublishConfiguration();
  AcceptAudit("key", 3);
  EXPECT_TRUE(world_.Acquire("q1", 5).empty());
  FindRoute("r-1").set_backend("model");
  world_.PublishConfiguration();
  EXPECT_EQ(world_.Acquire("q1", 5).size(), 3U);
}

// Guards against waiting items of a removed route staying without an end (review/6).
TEST_F(BatchRouteTest, ItemsEndAsFailedOnceTheirRouteHasEnded) {
  const std::string id = AcceptAudit("key", 2);
  RemoveRoute("r-1");
  world_.world.RunFor(kEndBound);
  EXPECT_EQ(world_.Results("q1", id), (std::vector<std::string>{"0:2:", "1:2:"}));
  EXPECT_EQ(world_.StatusOf("q1", id).state(), proto::BATCH_STATE_FINISHED);
}

TEST_F(BatchRouteTest, ItemsOutliveAShortAbsenceOfTheirRoute) {
  const std::string id = AcceptAudit("key", 2);
  RemoveRoute("r-1");
  world_.world.RunFor(milliseconds(2500));
  AddHttpRoute("r-7", "/audit/", "model");
  world_.PublishConfiguration();
  world_.world.RunFor(kEndBound);
  EXPECT_TRUE(world_.Results("q1", id).empty());
  EXPECT_EQ(world_.Acquire("q1", 5).size(), 2U);
}

// Guards against the end of the route also ending what a gateway still runs.
TEST_F(BatchRouteTest, ARunningItemOfAnEndedRouteKeepsItsResult) {
  const std::string id = AcceptAudit("key", 2);
  const auto grants = world_.Acquire("q1", 2);
  ASSERT_EQ(grants.size(), 2U);
  RemoveRoute("r-1");
  for (int step = 0; step < 8; ++step) {
    world_.world.RunFor(seconds(1));
    ASSERT_TRUE(world_.Report("q1", {}, grants).ok());  // Renews the leases.
  }
  EXPECT_TRUE(world_.Results("q1", id).empty());
  ASSERT_TRUE(world_.Finish("q1", grants[0]).ok());
  ASSERT_TRUE(
      world_.Report("q1", {QueueWorld::MakeReport(grants[1], WORK_DISPOSITION_NOT_RUN)}).ok());
  world_.world.RunFor(seconds(1));
  EXPECT_EQ(world_.Results("q1", id), (std::vector<std::string>{"0:1:done", "1:2:"}));
}

// Guards against a batch route that becomes one for live calls keeping its items for ever.
TEST_F(BatchRouteTest, ItemsEndWhenTheirPathNoLongerTakesBatches) {
  const std::string id = AcceptAudit("key", 1);
  FindRoute("r-1").set_accepts_batches(false);
  world_.PublishConfiguration();
  world_.world.RunFor(kEndBound);
  EXPECT_EQ(world_.Results("q1", id), (std::vector<std::string>{"0:2:"}));
}

// Guards against an accepted idempotent item of /v1 staying without an end once its route may not
// repeat calls.
TEST_F(BatchRouteTest, ItemsEndWhenTheirNamedRouteMayNotRepeatThem) {
  const std::string id = world_.Accept("q1", "key", 1);
  FindRoute("describe").set_idempotent(false);
  world_.PublishConfiguration();
  world_.world.RunFor(kEndBound);
  EXPECT_EQ(world_.Results("q1", id), (std::vector<std::string>{"0:2:"}));
}

// Guards against items waiting for the first part of a split alone, whatever its weight (review/2).
TEST_F(BatchRouteTest, ItemsOfASplitRouteAreGrantedForEachOfItsParts) {
  proto::Route& route = FindRoute("r-1");
  route.set_backend("canary");
  for (const auto& [backend, weight] : {std::pair{"canary", 0U}, {"other", 50U}, {"model", 50U}}) {
    proto::WeightedBackend* weighted = route.add_split();
    weighted->set_backend(backend);
    weighted->set_weight(weight);
  }
  world_.PublishConfiguration();
  AcceptAudit("key", 3);
  EXPECT_EQ(world_.Acquire("q1", 5).size(), 3U);
}

class BatchRouteRecoveryTest : public BatchRouteTest {
 protected:
  BatchRouteRecoveryTest() { world_.AddQueue("q2"); }
};

// Guards against a new owner of the partition knowing a batch's route by its name alone.
TEST_F(BatchRouteRecoveryTest, ANewOwnerFindsTheRenamedRoute) {
  AcceptAudit("key", 3);
  FindRoute("r-1").set_name("r-9");
  world_.PublishConfiguration();
  world_.FailOver("q1", "q2");
  EXPECT_EQ(world_.Acquire("q2", 5).size(), 3U);
}

TEST_F(BatchRouteRecoveryTest, ANewOwnerEndsTheItemsOfAnEndedRoute) {
  const std::string id = AcceptAudit("key", 2);
  RemoveRoute("r-1");
  world_.FailOver("q1", "q2");
  world_.world.RunFor(kEndBound);
  EXPECT_EQ(world_.Results("q2", id), (std::vector<std::string>{"0:2:", "1:2:"}));
}

}  // namespace
}  // namespace cloverbank
