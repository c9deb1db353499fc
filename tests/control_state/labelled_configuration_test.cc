// Tests of configurations with operators' labels, HTTP routes and documents.
#include <gtest/gtest.h>

#include "control_client/configuration_watch.h"
#include "control_state/configuration_store.h"
#include "control_state/control_commands.h"

namespace cloverbank {
namespace {

/// @return a transaction that replaces the traffic configuration by one back end and a route for
/// each prefix.
/// @param base label that the transaction builds on.
proto::ConfigurationTransaction FullConfiguration(const std::string& operation_id,
                                                  std::uint64_t base, std::uint64_t label,
                                                  const std::vector<std::string>& prefixes) {
  proto::ConfigurationTransaction transaction;
  transaction.set_operation_id(operation_id);
  transaction.set_label(label);
  transaction.set_expected_label(base);
  transaction.set_replaces_traffic(true);
  transaction.add_changes()->mutable_set_backend()->set_name("blobs");
  for (const std::string& prefix : prefixes) {
    proto::Route& route = *transaction.add_changes()->mutable_set_route();
    route.set_name("r" + std::to_string(transaction.changes_size()));
    route.set_backend_kind(proto::BACKEND_KIND_HTTP);
    route.set_host("shop.example");
    route.set_path_prefix(prefix);
    route.set_backend("blobs");
    route.set_deadline_ms(1000);
  }
  transaction.add_changes()->mutable_set_document()->set_source("document " +
                                                                std::to_string(label));
  return transaction;
}

TEST(LabelledConfigurationTest, AcceptsGapsBetweenLabels) {
  ControlDriver control;
  EXPECT_EQ(control.Submit(FullConfiguration("a", 0, 3, {"/x/", "/y/"})).outcome(),
            proto::TRANSACTION_OUTCOME_APPLIED);
  EXPECT_EQ(control.Submit(FullConfiguration("b", 3, 10, {"/x/"})).outcome(),
            proto::TRANSACTION_OUTCOME_APPLIED);
  const proto::RoutingConfiguration& full = control.state.configuration().FullConfiguration();
  EXPECT_EQ(full.label(), 10U);
  EXPECT_EQ(full.document().source(), "document 10");
  EXPECT_EQ(full.routes_size(), 1);  // "b" removed the route of "/y/", which it does not set.
}

TEST(LabelledConfigurationTest, ResendOfAppliedTransactionIsAcknowledgedAgain) {
  ControlDriver control;
  control.Submit(FullConfiguration("a", 0, 3, {"/x/"}));
  const auto applied = FullConfiguration("w", 3, 5, {"/x/", "/y/"});
  const auto conflicting = FullConfiguration("l", 3, 5, {"/x/", "/z/"});
  EXPECT_EQ(control.Submit(applied).outcome(), proto::TRANSACTION_OUTCOME_APPLIED);
  EXPECT_EQ(control.Submit(conflicting).outcome(), proto::TRANSACTION_OUTCOME_VERSION_CONFLICT);
  control.Submit(FullConfiguration("n", 5, 8, {"/x/"}));
  ControlDriver restored;
  ASSERT_TRUE(restored.state.RestoreSnapshot(control.state.TakeSnapshot()).ok());
  // The gateway that sends it again may have another configuration and thus derive other changes.
  auto resent = applied;
  resent.clear_changes();
  EXPECT_EQ(restored.Submit(resent).outcome(), proto::TRANSACTION_OUTCOME_APPLIED);
  EXPECT_EQ(restored.Submit(conflicting).outcome(), proto::TRANSACTION_OUTCOME_VERSION_CONFLICT);
  EXPECT_EQ(restored.state.configuration().label(), 8U);
}

/// @return an inquiry about the outcome of operation "patch", which sets label 9 on label 5.
proto::ConfigurationTransaction InquiryAfterPatch() {
  proto::ConfigurationTransaction inquiry;
  inquiry.set_operation_id("patch");
  inquiry.set_label(9);
  inquiry.set_expected_label(5);
  inquiry.set_inquiry(true);
  return inquiry;
}

TEST(LabelledConfigurationTest, InquiryOnCurrentLabelMayBeSent) {
  ControlDriver control;
  control.Submit(FullConfiguration("a", 0, 3, {"/x/"}));
  const proto::ConfigurationTransaction inquiry = InquiryAfterPatch();
  // Applied after the gateway has read label 3.
  control.Submit(FullConfiguration("b", 3, 5, {"/x/"}));
  EXPECT_EQ(control.Submit(inquiry).outcome(), proto::TRANSACTION_OUTCOME_MAY_BE_SENT);
  EXPECT_EQ(control.state.configuration().label(), 5U);
  EXPECT_EQ(control.Submit(FullConfiguration("patch", 5, 9, {"/x/", "/y/"})).outcome(),
            proto::TRANSACTION_OUTCOME_APPLIED);
  EXPECT_EQ(control.Submit(inquiry).outcome(), proto::TRANSACTION_OUTCOME_APPLIED);
}

TEST(LabelledConfigurationTest, RefusedInquiryBlocksItsOperation) {
  ControlDriver control;
  control.Submit(FullConfiguration("a", 0, 3, {"/x/"}));
  const proto::ConfigurationTransaction inquiry = InquiryAfterPatch();
  EXPECT_EQ(control.Submit(inquiry).outcome(), proto::TRANSACTION_OUTCOME_VERSION_CONFLICT);
  control.Submit(FullConfiguration("b", 3, 5, {"/x/"}));
  EXPECT_EQ(control.Submit(FullConfiguration("patch", 5, 9, {"/y/"})).outcome(),
            proto::TRANSACTION_OUTCOME_VERSION_CONFLICT);
  EXPECT_EQ(control.state.configuration().label(), 5U);
}

TEST(LabelledConfigurationTest, InvalidTransactionsChangeNothing) {
  ControlDriver control;
  control.Submit(FullConfiguration("a", 0, 3, {"/x/"}));
  std::vector<proto::ConfigurationTransaction> invalid;
  invalid.push_back(FullConfiguration("same-location", 3, 4, {"/x/", "/x/"}));
  invalid.push_back(FullConfiguration("same-label", 3, 3, {"/x/"}));
  invalid.push_back(FullConfiguration("lower-label", 3, 2, {"/x/"}));
  invalid.push_back(FullConfiguration("no-timeout", 3, 4, {"/x/"}));
  invalid.back().mutable_changes(1)->mutable_set_route()->set_deadline_ms(0);
  invalid.push_back(FullConfiguration("unknown-backend", 3, 4, {"/x/"}));
  invalid.back().mutable_changes(1)->mutable_set_route()->set_backend("nothing");
  invalid.push_back(FullConfiguration("no-weight", 3, 4, {"/x/"}));
  invalid.back().mutable_changes(1)->mutable_set_route()->add_split()->set_backend("blobs");
  for (const auto& transaction : invalid) {
    EXPECT_EQ(control.Submit(transaction).outcome(), proto::TRANSACTION_OUTCOME_INVALID)
        << transaction.operation_id();
  }
  EXPECT_EQ(control.state.configuration().label(), 3U);
}

TEST(LabelledConfigurationTest, DrainedZoneStaysDrained) {
  ControlDriver control;
  auto first = FullConfiguration("a", 0, 3, {"/x/"});
  proto::Zone& zone = *first.add_changes()->mutable_ensure_zone();
  zone.set_name("z");
  zone.set_state(proto::ZONE_STATE_OPEN);
  proto::Zone& other = *first.add_changes()->mutable_ensure_zone();
  other.set_name("other");
  other.set_state(proto::ZONE_STATE_OPEN);
  EXPECT_EQ(control.Submit(first).outcome(), proto::TRANSACTION_OUTCOME_APPLIED);
  proto::ConfigurationTransaction drain;
  drain.set_operation_id("drain");
  drain.set_any_version(true);
  drain.add_changes()->mutable_set_zone()->set_name("z");
  drain.mutable_changes(0)->mutable_set_zone()->set_state(proto::ZONE_STATE_DRAINED);
  EXPECT_EQ(control.Submit(drain).outcome(), proto::TRANSACTION_OUTCOME_APPLIED);
  EXPECT_EQ(control.state.configuration().label(), 3U);
  auto second = FullConfiguration("b", 3, 4, {"/x/"});
  *second.add_changes()->mutable_ensure_zone() = zone;
  EXPECT_EQ(control.Submit(second).outcome(), proto::TRANSACTION_OUTCOME_APPLIED);
  EXPECT_EQ(control.state.configuration().objects().zones.at("z").state(),
            proto::ZONE_STATE_DRAINED);
}

TEST(LabelledConfigurationTest, DeltaMatchesFullConfiguration) {
  ControlDriver control;
  constexpr int kPrefixes = 30;
  std::vector<std::string> prefixes;
  prefixes.reserve(kPrefixes);
  for (int count = 0; count < kPrefixes; ++count) {
    prefixes.push_back("/p" + std::to_string(count) + "/");
  }
  control.Submit(FullConfiguration("a", 0, 3, prefixes));
  ConfigurationWatch watch;
  watch.Apply(control.state.configuration().UpdateFrom(ConfigurationVersion()));
  prefixes.pop_back();
  control.Submit(FullConfiguration("b", 3, 9, prefixes));
  const proto::ConfigurationUpdate& update =
      control.state.configuration().UpdateFrom(watch.version());
  EXPECT_FALSE(update.has_full());
  watch.Apply(update);
  proto::RoutingConfiguration full = control.state.configuration().FullConfiguration();
  EXPECT_EQ(full.document().source(), "document 9");
  full.mutable_document()->clear_source();  // Nodes are not sent the source.
  EXPECT_EQ(watch.configuration().SerializeAsString(), full.SerializeAsString());
}

TEST(LabelledConfigurationTest, DeltaSizeIsIndependentOfDocument) {
  constexpr std::size_t kDocumentBytes = 100'000;
  constexpr std::size_t kMaximumBytes = 200;
  ControlDriver control;
  constexpr int kPrefixes = 300;
  std::vector<std::string> prefixes;
  prefixes.reserve(kPrefixes);
  for (int count = 0; count < kPrefixes; ++count) {
    prefixes.push_back("/p" + std::to_string(count) + "/");
  }
  const auto with_document = [](proto::ConfigurationTransaction transaction) {
    for (proto::ConfigurationChange& change : *transaction.mutable_changes()) {
      if (change.has_set_document()) {
        change.mutable_set_document()->set_source(std::string(kDocumentBytes, 'd'));
        change.mutable_set_document()->mutable_limits()->set_header_bytes(99);
      }
    }
    return transaction;
  };
  control.Submit(with_document(FullConfiguration("a", 0, 3, prefixes)));
  ConfigurationWatch watch;
  const auto& first = control.state.configuration().UpdateFrom(ConfigurationVersion());
  EXPECT_LT(first.ByteSizeLong(), kDocumentBytes);
  watch.Apply(first);
  prefixes.back() = "/other/";
  control.Submit(with_document(FullConfiguration("b", 3, 9, prefixes)));
  const auto& update = control.state.configuration().UpdateFrom(watch.version());
  EXPECT_LT(update.ByteSizeLong(), kMaximumBytes);
  watch.Apply(update);
  EXPECT_EQ(watch.configuration().document().limits().header_bytes(), 99U);
  EXPECT_EQ(watch.configuration().routes_size(), kPrefixes);
}

}  // namespace
}  // namespace cloverbank
