#include "platform/configuration_document.h"

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

namespace cloverbank::platform {
namespace {

constexpr char kDocument[] = R"({"version":7,"unknown":[1.0,2],"routes":[
  {"name":"r-a","host":"a.example","prefix":"/s/","kind":"stream","timeout_ms":6000,"target_ms":400,
   "priority":0,"split":[{"service":"x","weight":90},{"service":"y","weight":10}],"attempts":1,
   "resumable":false,"gap_target_ms":250},
  {"name":"r-b","host":"a.example","prefix":"/b/","kind":"batch","timeout_ms":8000,"priority":2,
   "service":"x","attempts":3,"run_target_ms":8000,"retain_s":40.5,"max_queued":1400},
  {"name":"r-c","host":"a.example","prefix":"/r/","kind":"safe","timeout_ms":4000,"service":"y"}],
  "services":[{"name":"x","health_path":"/h","cold_s":3.0,"cold_per_s":36.0,
               "engine":{"slots":64,"kv_tokens":776570}},
              {"name":"y","health_path":"/h","max_conns":130}],
  "limits":{"header_bytes":16384,"idle_timeout_ms":15000}})";

TEST(ConfigurationDocumentTest, ReadsTypedChangesAndKeepsSourceText) {
  const auto read = ReadDocument(kDocument, 5);
  ASSERT_TRUE(read.ok()) << read.status().ToString();
  EXPECT_EQ(read->label(), 7U);
  EXPECT_EQ(read->expected_label(), 5U);
  EXPECT_TRUE(read->replaces_traffic());
  ASSERT_EQ(read->changes_size(), 6);
  const proto::Route& stream = read->changes(0).set_route();
  EXPECT_EQ(stream.split_size(), 2);
  EXPECT_FALSE(stream.idempotent());
  EXPECT_TRUE(stream.streamed());
  const proto::Route& batch = read->changes(1).set_route();
  EXPECT_TRUE(batch.accepts_batches());
  EXPECT_EQ(batch.batch_open_tokens(), 1400U);
  EXPECT_EQ(batch.batch_retain_ms(), 40'500U);
  EXPECT_TRUE(read->changes(2).set_route().idempotent());
  EXPECT_EQ(read->changes(3).set_backend().cold_calls_per_second(), 36);
  EXPECT_EQ(read->changes(3).set_backend().slots(), 64U);
  const proto::Document& document = read->changes(5).set_document();
  EXPECT_EQ(document.source(), kDocument);
  EXPECT_EQ(document.limits().idle_timeout_ms(), 15'000U);
}

TEST(ConfigurationDocumentTest, RefusesIncompleteDocuments) {
  const std::string whole = kDocument;
  for (const std::string& broken :
       {whole.substr(0, whole.size() - 20), std::string("{}"), std::string("[]"), std::string(),
        std::string(R"({"version":"7","routes":[],"services":[]})"),
        std::string(R"({"version":0,"routes":[],"services":[]})")}) {
    EXPECT_EQ(ReadDocument(broken, 0).status().code(), StatusCode::kInvalidArgument) << broken;
  }
}

TEST(ConfigurationDocumentTest, RefusesNumbersOutOfRange) {
  const std::string whole = kDocument;
  const std::vector<std::pair<std::string, std::string>> changes = {
      {R"("version":7)", R"("version":-7)"},
      {R"("version":7)", R"("version":7.5)"},
      {R"("version":7)", R"("version":true)"},
      {R"("weight":10)", R"("weight":-10)"},
      {R"("weight":10)", R"("weight":4294967306)"},
      {R"("timeout_ms":6000)", R"("timeout_ms":4294973296)"},
      {R"("timeout_ms":6000)", R"("timeout_ms":"6000")"}};
  for (const auto& [from, to] : changes) {
    std::string broken = whole;
    broken.replace(broken.find(from), from.size(), to);
    EXPECT_EQ(ReadDocument(broken, 0).status().code(), StatusCode::kInvalidArgument) << to;
  }
}

TEST(ConfigurationDocumentTest, PatchKeepsOrderAndUnknownFields) {
  const auto merged = MergePatch(
      kDocument, R"({"version":9,"upsert":{"routes":[{"name":"r-b","new":1},{"name":"r-d"}]},)"
                 R"("remove":{"routes":["r-a"],"services":["y"]}})");
  ASSERT_TRUE(merged.ok());
  EXPECT_NE(merged->find(R"("version":9,"unknown":[1.0,2],"routes":[{"name":"r-b","new":1},)"),
            std::string::npos)
      << *merged;
  EXPECT_LT(merged->find("r-c"), merged->find("r-d"));
  EXPECT_EQ(merged->find("r-a"), std::string::npos);
  EXPECT_EQ(merged->find(R"("name":"y")"), std::string::npos);
  EXPECT_FALSE(MergePatch(kDocument, R"({"version":9,"upsert":{"routes":[{}]}})").ok());
  EXPECT_FALSE(MergePatch(kDocument, R"({"version":)").ok());
}

}  // namespace
}  // namespace cloverbank::platform
