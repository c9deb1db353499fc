#include "work_dispatch/work_leases.h"

#include <gtest/gtest.h>

namespace cloverbank {
namespace {

const WorkItemKey item = {PartitionId(2), "b1", 4};
constexpr std::uint64_t kGateway = 9;
const Incarnation incarnation(77);

proto::WorkReport Report(WorkLeaseId lease, proto::WorkDisposition disposition) {
  proto::WorkReport report;
  report.set_lease_id(lease.value());
  report.set_disposition(disposition);
  return report;
}

class WorkLeasesTest : public testing::Test {
 protected:
  WorkLeaseId Grant(bool idempotent) {
    return leases_.Grant(item, kGateway, incarnation, idempotent, now_).id;
  }
  ReportAction Evaluate(WorkLeaseId lease, proto::WorkDisposition disposition) {
    return leases_.EvaluateReport(Report(lease, disposition), item, false);
  }

  WorkLeases leases_{WorkLeaseId(100)};
  TimePoint now_{seconds(10)};
};

TEST_F(WorkLeasesTest, LeaseExpiresUnlessRenewed) {
  const WorkLeaseId id = Grant(true);
  EXPECT_NE(leases_.Renew(id, kGateway, incarnation, now_ + seconds(4)), nullptr);
  EXPECT_TRUE(leases_.EndExpired(now_ + seconds(8)).empty());
  const auto ended = leases_.EndExpired(now_ + seconds(9));
  ASSERT_EQ(ended.size(), 1U);
  EXPECT_EQ(ended[0].item, item);
  EXPECT_EQ(leases_.Renew(id, kGateway, incarnation, now_ + seconds(9)), nullptr);
}

TEST_F(WorkLeasesTest, OnlyTheGatewayThatHoldsALeaseRenewsIt) {
  const WorkLeaseId id = Grant(true);
  EXPECT_EQ(leases_.Renew(id, kGateway + 1, incarnation, now_), nullptr);
  EXPECT_EQ(leases_.Renew(id, kGateway, Incarnation(78), now_), nullptr);
}

TEST_F(WorkLeasesTest, EvaluatesReportsOfTheCurrentLease) {
  const WorkLeaseId id = Grant(false);
  EXPECT_EQ(Evaluate(id, proto::WORK_DISPOSITION_FINISHED), ReportAction::kLogResult);
  EXPECT_EQ(Evaluate(id, proto::WORK_DISPOSITION_NOT_RUN), ReportAction::kReturnItem);
  EXPECT_EQ(Evaluate(id, proto::WORK_DISPOSITION_UNKNOWN), ReportAction::kLogUnknown);
  leases_.End(item);
  const WorkLeaseId idempotent_lease = Grant(true);
  EXPECT_EQ(Evaluate(idempotent_lease, proto::WORK_DISPOSITION_UNKNOWN), ReportAction::kReturnItem);
}

TEST_F(WorkLeasesTest, ReportsOfEndedLeasesCountOnlyWithAResult) {
  const WorkLeaseId ended_lease = Grant(true);
  leases_.End(item);
  Grant(true);
  EXPECT_EQ(Evaluate(ended_lease, proto::WORK_DISPOSITION_NOT_RUN), ReportAction::kDrop);
  EXPECT_EQ(Evaluate(ended_lease, proto::WORK_DISPOSITION_UNKNOWN), ReportAction::kDrop);
  EXPECT_EQ(Evaluate(ended_lease, proto::WORK_DISPOSITION_FINISHED), ReportAction::kLogResult);
  EXPECT_EQ(
      leases_.EvaluateReport(Report(ended_lease, proto::WORK_DISPOSITION_FINISHED), item, true),
      ReportAction::kDrop);
}

TEST_F(WorkLeasesTest, LeaseDoesNotExpireWhileItsResultIsLogged) {
  const WorkLeaseId id = Grant(true);
  leases_.SetResultBeingLogged(item, true, now_);
  EXPECT_TRUE(leases_.EndExpired(now_ + seconds(60)).empty());
  EXPECT_EQ(Evaluate(id, proto::WORK_DISPOSITION_FINISHED), ReportAction::kWait);
  leases_.SetResultBeingLogged(item, false, now_ + seconds(60));
  EXPECT_TRUE(leases_.EndExpired(now_ + seconds(64)).empty());
  EXPECT_EQ(leases_.EndExpired(now_ + seconds(65)).size(), 1U);
}

TEST_F(WorkLeasesTest, EndPartitionEndsOnlyLeasesOfThatPartition) {
  Grant(true);
  leases_.Grant({PartitionId(3), "b2", 0}, kGateway, incarnation, true, now_);
  EXPECT_EQ(leases_.CountLeases(PartitionId(2), "b1"), 1U);
  leases_.EndPartition(PartitionId(2));
  EXPECT_EQ(leases_.CountLeases(PartitionId(2), "b1"), 0U);
  EXPECT_EQ(leases_.size(), 1U);
}

}  // namespace
}  // namespace cloverbank
