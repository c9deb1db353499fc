#include "calls/event_stream.h"

#include <gtest/gtest.h>

#include "net/http_headers.h"
#include "routes/route_match.h"

namespace cloverbank {
namespace {

TEST(EventSplitterTest, SplitsEventsAtAnyByteBoundary) {
  const std::string bytes = "id: 0\ndata: a\n\nid: 1\r\ndata: b\r\ndata: c\r\n\r\n";
  for (std::size_t boundary = 0; boundary <= bytes.size(); ++boundary) {
    EventSplitter splitter(1000);
    std::vector<StreamEvent> events;
    for (const std::string& part : {bytes.substr(0, boundary), bytes.substr(boundary)}) {
      splitter.Append(part);
      while (auto event = splitter.Next()) {
        events.push_back(*event);
      }
    }
    ASSERT_EQ(events.size(), 2U) << "split after " << boundary << " bytes";
    EXPECT_EQ(events[0].bytes + events[1].bytes, bytes);
    EXPECT_EQ(events[0].id, 0U);
    EXPECT_EQ(events[1].id, 1U);
    EXPECT_EQ(events[0].data, "a");
    EXPECT_EQ(events[1].data, "b\nc");
    EXPECT_FALSE(splitter.HasPartial());
  }
}

TEST(EventSplitterTest, ReportsAnIncompleteEventAboveTheLimit) {
  EventSplitter splitter(10);
  splitter.Append("id: 0\ndata: a\n");
  EXPECT_FALSE(splitter.Next());
  EXPECT_TRUE(splitter.HasPartial());
  EXPECT_TRUE(splitter.IsTooLarge());
}

TEST(HttpHeadersTest, RemovesHopByHopHeaders) {
  const HttpHeaders kept = EndToEndHeaders({{"Connection", "close, X-Hop"},
                                            {"x-hop", "1"},
                                            {"Keep-Alive", "5"},
                                            {"Transfer-Encoding", "chunked"},
                                            {"Mine", "2"},
                                            {"Stays", "3"}},
                                           {"mine"});
  ASSERT_EQ(kept.size(), 1U);
  EXPECT_EQ(kept[0].first, "Stays");
}

proto::Route HttpRoute(const std::string& name, const std::string& prefix) {
  proto::Route route;
  route.set_name(name);
  route.set_backend_kind(proto::BACKEND_KIND_HTTP);
  route.set_host("shop.example");
  route.set_path_prefix(prefix);
  return route;
}

TEST(RouteMatchTest, PrefersTheLongestPathPrefix) {
  proto::RoutingConfiguration configuration;
  *configuration.add_routes() = HttpRoute("a", "/x/");
  *configuration.add_routes() = HttpRoute("b", "/x/y/");
  EXPECT_EQ(MatchRoute(configuration, "SHOP.example", "/x/y/z")->name(), "b");
  EXPECT_EQ(MatchRoute(configuration, "shop.example", "/x/z")->name(), "a");
  EXPECT_EQ(MatchRoute(configuration, "shop.example", "/x"), nullptr);
  EXPECT_EQ(MatchRoute(configuration, "other.example", "/x/z"), nullptr);
}

TEST(RouteMatchTest, SplitsCallsByWeight) {
  proto::Route route = HttpRoute("a", "/x/");
  for (const auto& [backend, weight] :
       {std::pair("one", 90U), std::pair("two", 10U), std::pair("none", 0U)}) {
    route.add_split()->set_backend(backend);
    route.mutable_split()->rbegin()->set_weight(weight);
  }
  int to_two = 0;
  for (std::uint64_t random = 0; random < 1000; ++random) {
    to_two += ChooseBackend(route, random) == "two" ? 1 : 0;
  }
  EXPECT_EQ(to_two, 100);
  EXPECT_TRUE(AllowsBackend(route, "two"));
  EXPECT_FALSE(AllowsBackend(route, "none"));
}

}  // namespace
}  // namespace cloverbank
