#include "platform/batch_format.h"

#include <gtest/gtest.h>

#include "platform/prompt_headers.h"

namespace cloverbank::platform {
namespace {

std::string OneItem(const std::string& body) {
  return R"({"items":[{"id":"i1","path":"/b/3","headers":{"Model":"m","Token-Count":"540,400",)"
         R"("Prompt-Prefix":"9c:300,5d:240"},"body":")" +
         body + R"(","tokens":940}]})";
}

TEST(BatchFormatTest, ReadsItemsIntoForwardedRequests) {
  const auto items = ReadItems(OneItem("q83vEg=="), "a.example");
  ASSERT_TRUE(items.ok()) << items.status().ToString();
  const proto::BatchItem& item = items->front();
  EXPECT_EQ(item.custom_id(), "i1");
  EXPECT_EQ(item.tokens(), 940U);
  EXPECT_EQ(item.prompt_tokens(), 540U);
  EXPECT_EQ(item.shared_tokens(), 300U);
  EXPECT_EQ(item.forwarded().method(), "POST");
  EXPECT_EQ(item.forwarded().target(), "/b/3");
  EXPECT_EQ(item.forwarded().body(), "\xab\xcd\xef\x12");
  EXPECT_EQ(item.forwarded().headers(0).value(), "a.example");
  EXPECT_EQ(item.forwarded().headers(1).value(), "i1");
}

TEST(BatchFormatTest, DecodesBodiesOfEveryPaddingLength) {
  EXPECT_EQ(ReadItems(OneItem(""), "h")->front().forwarded().body(), "");
  EXPECT_EQ(ReadItems(OneItem("YQ=="), "h")->front().forwarded().body(), "a");
  EXPECT_EQ(ReadItems(OneItem("YWI="), "h")->front().forwarded().body(), "ab");
  EXPECT_EQ(ReadItems(OneItem("YWJj"), "h")->front().forwarded().body(), "abc");
  EXPECT_EQ(ReadItems(OneItem("AAAA"), "h")->front().forwarded().body(), std::string(3, '\0'));
}

TEST(BatchFormatTest, RefusesIncompleteDocuments) {
  for (const std::string& broken :
       {std::string("{"), std::string("{}"), std::string(R"({"items":[]})"), OneItem("Y"),
        OneItem("!!!!"), std::string(R"({"items":[{"path":"/b/3"}]})")}) {
    EXPECT_EQ(ReadItems(broken, "h").status().code(), StatusCode::kInvalidArgument) << broken;
  }
}

TEST(BatchFormatTest, FormatsFailedItemsAsDeadLetter) {
  BatchResults results;
  results.total = 3;
  results.next = 2;
  results.results = {{"a", true, "one\ntwo"}, {"b", false, ""}};
  EXPECT_EQ(FormatResults(results),
            R"({"next_token":2,"results":[{"id":"a","state":"completed","text":"one\ntwo"},)"
            R"({"id":"b","state":"dead_letter","text":""}],"total":3})");
}

TEST(PromptHeadersTest, ExcludesLastSegmentFromSharedPrefix) {
  const Prompt prompt = ReadPrompt("1460,80", "5c:800,91:410,e4:250");
  EXPECT_EQ(prompt.shape.prompt_tokens, 1460U);
  EXPECT_EQ(prompt.shape.shared_tokens, 1210U);
  EXPECT_EQ(prompt.shape.shared_key, ReadPrompt("9,9", "5c:800,91:410,ff:9").shape.shared_key);
  EXPECT_NE(prompt.shape.shared_key, ReadPrompt("9,9", "5c:800,92:410,ff:9").shape.shared_key);
  EXPECT_EQ(ReadPrompt("10,1", "5c:10").shape.shared_key, 0U);
  EXPECT_FALSE(ReadPrompt("", "").shape.known());
}

}  // namespace
}  // namespace cloverbank::platform
