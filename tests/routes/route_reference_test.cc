#include "routes/route_reference.h"

#include <gtest/gtest.h>

namespace cloverbank {
namespace {

class RouteReferenceTest : public ::testing::Test {
 protected:
  proto::Route& AddRoute(const std::string& name, const std::string& prefix, bool batches = true) {
    proto::Route& route = *configuration_.add_routes();
    route.set_name(name);
    route.set_backend_kind(proto::BACKEND_KIND_HTTP);
    route.set_host("shop.example");
    route.set_path_prefix(prefix);
    route.set_accepts_batches(batches);
    return route;
  }
  std::string Resolve(const proto::RouteReference& reference) const {
    const proto::Route* route = ResolveBatchRoute(configuration_, reference);
    return route == nullptr ? "" : route->name();
  }

  const proto::RouteReference audit_ = ReferenceByPath("Shop.example", "/audit/7c41");
  proto::RoutingConfiguration configuration_;
};

// Guards against taking the name of a route for its identity (review/5 and review/6).
TEST_F(RouteReferenceTest, FollowsHostAndPathWhateverTheNames) {
  AddRoute("r-1", "/audit/");
  AddRoute("r-2", "/mail/");
  EXPECT_EQ(Resolve(audit_), "r-1");
  configuration_.mutable_routes(0)->set_name("r-2");  // The two exchange their names.
  configuration_.mutable_routes(1)->set_name("r-1");
  EXPECT_EQ(Resolve(audit_), "r-2");
}

TEST_F(RouteReferenceTest, TheLongestPrefixOfTheSubmissionWins) {
  AddRoute("short", "/audit/");
  EXPECT_EQ(Resolve(audit_), "short");
  AddRoute("other", "/audit/items/");
  EXPECT_EQ(Resolve(audit_), "short");
  AddRoute("root", "/");
  EXPECT_EQ(Resolve(audit_), "short");
  AddRoute("long", "/audit/7c41/");
  EXPECT_EQ(Resolve(audit_), "short") << "a prefix ends with a slash, so it can't match the job";
}

TEST_F(RouteReferenceTest, ARouteForLiveCallsIsNotTheRouteOfABatch) {
  AddRoute("live", "/audit/", /*batches=*/false);
  EXPECT_EQ(Resolve(audit_), "");
  EXPECT_EQ(ResolveRoute(configuration_, audit_)->name(), "live");
}

TEST_F(RouteReferenceTest, ANameThatTheClientSentStaysAName) {
  AddRoute("describe", "/audit/");
  EXPECT_EQ(Resolve(ReferenceByName("describe")), "describe");
  configuration_.mutable_routes(0)->set_path_prefix("/other/");
  EXPECT_EQ(Resolve(ReferenceByName("describe")), "describe");
}

class DerivedReferenceTest : public RouteReferenceTest {
 protected:
  static proto::BatchItem MakeItem(const std::string& host, const std::string& target) {
    proto::BatchItem item;
    item.mutable_forwarded()->set_target(target);
    proto::HttpField* header = item.mutable_forwarded()->add_headers();
    header->set_name("Host");
    header->set_value(host);
    return item;
  }
};

// Guards against losing batches that a build without references accepted.
TEST_F(DerivedReferenceTest, TakesHostAndPathFromTheFirstItem) {
  const proto::BatchItem item = MakeItem("shop.example", "/audit/3/91c4?x=1");
  const proto::RouteReference reference = DeriveReference("shop.example", "r-1", &item);
  AddRoute("renamed", "/audit/");
  EXPECT_EQ(Resolve(reference), "renamed");
}

TEST_F(DerivedReferenceTest, UsesTheNameWhereNoRouteMatchesTheItem) {
  const proto::BatchItem item = MakeItem("shop.example", "/outside/91c4");
  const proto::RouteReference reference = DeriveReference("shop.example", "r-1", &item);
  AddRoute("r-1", "/audit/");
  EXPECT_EQ(Resolve(reference), "r-1");
  configuration_.mutable_routes(0)->set_host("other.example");
  EXPECT_EQ(Resolve(reference), "");
}

TEST_F(DerivedReferenceTest, KeepsTheNameThatAClientOfV1Chose) {
  const proto::BatchItem item = MakeItem("shop.example", "/audit/3/91c4");
  EXPECT_FALSE(IsByPath(DeriveReference("studio", "describe", &item)));
  EXPECT_FALSE(IsByPath(DeriveReference("studio", "describe", nullptr)));
  const proto::BatchItem prompt_only;
  EXPECT_FALSE(IsByPath(DeriveReference("studio", "describe", &prompt_only)));
}

}  // namespace
}  // namespace cloverbank
