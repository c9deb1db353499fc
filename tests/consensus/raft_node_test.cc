#include "consensus/raft_node.h"

#include <gtest/gtest.h>

#include "consensus/raft_cluster.h"

namespace cloverbank {
namespace {

TEST(RaftNodeTest, SeedsFoundOneGroupAndAgree) {
  RaftCluster cluster({.size = 3, .seed = 1});
  cluster.StartAll();
  ASSERT_TRUE(cluster.RunUntil([&] { return cluster.IsWhole(); }, seconds(5)));
  for (int count = 0; count < 20; ++count) {
    cluster.Propose(cluster.Leader());
  }
  EXPECT_TRUE(cluster.RunUntil(
      [&] { return cluster.record().acknowledged.size() == 20 && cluster.HasConverged(); },
      seconds(2)));
  EXPECT_TRUE(cluster.record().failures.empty());
}

}  // namespace
}  // namespace cloverbank
