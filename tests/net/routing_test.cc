#include <gtest/gtest.h>

#include "net/http_types.h"
#include "net/route_table.h"
#include "net/url.h"

namespace cloverbank {
namespace {

TEST(HttpTypesTest, FindsHeadersIgnoringCase) {
  const HttpHeaders headers = {{"Content-Type", "a"}, {"content-type", "b"}};
  EXPECT_EQ(FindHeader(headers, "CONTENT-TYPE"), "a");
  EXPECT_EQ(FindHeader(headers, "Content"), "");
}

TEST(HttpTypesTest, ReturnsPathSegmentByIndex) {
  EXPECT_EQ(PathSegment("/v1/batches/7", 2), "7");
  EXPECT_EQ(PathSegment("/v1/batches/7", 0), "v1");
  EXPECT_EQ(PathSegment("/v1/batches/7", 3), "");
}

TEST(UrlTest, FormattedTargetParsesToSamePathAndQuery) {
  const HttpHeaders query = {{"cursor", "a+b&c=d %"}, {"empty", ""}};
  const auto parsed = ParseRequestTarget(FormatRequestTarget("/v1/é x", query));
  ASSERT_TRUE(parsed.has_value());
  EXPECT_EQ(parsed->path, "/v1/é x");
  EXPECT_EQ(parsed->query, query);
}

TEST(UrlTest, RefusesMalformedTargets) {
  for (const char* target : {"", "*", "http://x/", "/a%2", "/a%zz", "/a?b=%"}) {
    EXPECT_FALSE(ParseRequestTarget(target).has_value()) << target;
  }
}

TEST(RouteTableTest, PrefersLiteralSegmentsAndMatchesMethod) {
  RouteTable routes;
  int chosen = 0;
  const auto choose = [&chosen](int number) {
    return [&chosen, number](const HttpRequest&, const std::shared_ptr<HttpResponder>&) {
      chosen = number;
    };
  };
  routes.Add("GET", "/v1/batches/{id}", choose(1));
  routes.Add("GET", "/v1/batches/all", choose(2));
  routes.Add("POST", "/v1/batches", choose(3));
  const auto call = [&](std::string_view method, std::string_view path) {
    const auto match = routes.Find(method, path);
    chosen = match.path_known ? -405 : -404;
    if (match.handler != nullptr) {
      (*match.handler)({}, nullptr);
    }
    return chosen;
  };
  EXPECT_EQ(call("GET", "/v1/batches/7"), 1);
  EXPECT_EQ(call("GET", "/v1/batches/all"), 2);
  EXPECT_EQ(call("POST", "/v1/batches"), 3);
  EXPECT_EQ(call("DELETE", "/v1/batches/7"), -405);
  EXPECT_EQ(call("GET", "/v1/batches/"), -404);
  EXPECT_EQ(call("GET", "/v1/batches/7/results"), -404);
}

}  // namespace
}  // namespace cloverbank
