// Sends random calls to one backup, injects faults, and compares the result with a model: every
// acknowledged write must be offered to a recovery, and a segment whose free was acknowledged
// never.

#include <gtest/gtest.h>

#include <map>
#include <string>

#include "backup/backup_world.h"

namespace cloverbank {
namespace {

constexpr std::uint64_t kSeeds = 150;
constexpr int kRounds = 40;
constexpr std::uint64_t kSegments = 4;
constexpr std::uint64_t kCapacity = 16384;
constexpr std::uint64_t kPartitions = 2;

/// What the owner of a segment has sent and what the backup has acknowledged.
struct ModelSegment {
  std::string content;                   ///< All bytes sent so far.
  std::uint64_t entry_count = 0;         ///< In `content`.
  std::uint64_t acknowledged = 0;        ///< Bytes of `content` acknowledged so far.
  std::uint64_t epoch = 1;               ///< The last epoch sent.
  std::uint64_t acknowledged_epoch = 0;  ///< 0: the open is not acknowledged.
  bool closed_acknowledged = false;
  bool close_sent = false;
  bool free_sent = false;
  bool free_acknowledged = false;
};

class ModelRun {
 public:
  explicit ModelRun(std::uint64_t seed) : backup_(seed, Options()) {
    backup_.world.network().maximum_delay = milliseconds(60);  // Duplicates may arrive late.
    backup_.world.network().request_duplication = 0.2;
    backup_.world.network().request_loss = 0.05;
    backup_.world.network().reply_loss = 0.05;
  }

  void Run() {
    for (int round = 0; round < kRounds; ++round) {
      SendRandomCall();
      InjectRandomFault();
      // Wait a random time, so that some calls are complete before the next one and some overlap
      // it.
      backup_.world.RunFor(milliseconds(backup_.world.RandomBelow(40)));
    }
    backup_.world.network() = NetworkBehaviour();
    backup_.world.RunFor(seconds(20));
    if (backup_.world.RandomBelow(2) == 0) {
      backup_.RestartAfterPowerLoss();
    }
    CheckOffers();
    backup_.RestartAfterPowerLoss();
    CheckOffers();
    EXPECT_EQ(backup_.Release(), StatusCode::kOk);
    backup_.RestartAfterPowerLoss();
    EXPECT_TRUE(backup_.Offers().empty());
  }

  std::uint64_t acknowledged_calls() const { return acknowledged_calls_; }

 private:
  static BackupOptions Options() {
    BackupOptions options;
    options.scrub_interval = milliseconds(50);
    return options;
  }

  /// Sends at most one call at a time on a segment, as an owner does; a call without a reply is
  /// sent again in a later round.
  void SendRandomCall() {
    const std::uint64_t id = 1 + backup_.world.RandomBelow(kSegments);
    ModelSegment& segment = segments_[id];
    if (call_in_flight_[id] || segment.free_sent) {
      return;
    }
    if (segment.acknowledged_epoch == 0) {
      return SendOpen(id, segment);
    }
    switch (backup_.world.RandomBelow(12)) {
      case 0:
        return SendEpoch(id, segment);
      case 1:
        return SendClose(id, segment);
      case 2:
        return SendFree(id, segment);
      default:
        return SendWrite(id, segment);
    }
  }

  template <typename Request>
  void Send(std::string_view method, const Request& request, std::function<void()> on_ok) {
    const std::uint64_t id = request.segment_id();
    call_in_flight_[id] = true;
    backup_.world.CallPeer(backup_.machine.endpoint(), method, request.SerializeAsString(),
                           seconds(1),
                           [this, id, on_ok = std::move(on_ok)](const PeerReply& reply) {
                             call_in_flight_[id] = false;
                             EXPECT_NE(reply.status.code(), StatusCode::kCorrupt);
                             if (reply.status.ok()) {
                               ++acknowledged_calls_;
                               on_ok();
                             }
                           });
  }

  void SendOpen(std::uint64_t id, ModelSegment& segment) {
    Send("backup.OpenSegment", OpenRequest(backup_.node, id, segment.epoch, kCapacity),
         [&segment, epoch = segment.epoch] { segment.acknowledged_epoch = epoch; });
  }
  void SendEpoch(std::uint64_t id, ModelSegment& segment) {
    Send("backup.SetSegmentEpoch", EpochRequest(backup_.node, id, ++segment.epoch),
         [&segment, epoch = segment.epoch] { segment.acknowledged_epoch = epoch; });
  }
  void SendWrite(std::uint64_t id, ModelSegment& segment) {
    const std::uint64_t new_entries = segment.close_sent ? 0 : backup_.world.RandomBelow(4);
    for (std::uint64_t i = 0; i < new_entries; ++i) {
      ++segment.entry_count;
      segment.content +=
          Framed(id, NumberedEntry(segment.entry_count % kPartitions, segment.entry_count));
    }
    const std::uint64_t end = segment.content.size();
    const std::uint64_t offset = backup_.world.RandomBelow(2) == 0 ? 0 : segment.acknowledged;
    Send("backup.WriteSegment",
         WriteRequest(backup_.node, id, offset, segment.content.substr(offset), segment.epoch),
         [&segment, end, epoch = segment.epoch] {
           segment.acknowledged = std::max(segment.acknowledged, end);
           segment.acknowledged_epoch = epoch;
         });
  }
  void SendClose(std::uint64_t id, ModelSegment& segment) {
    if (segment.acknowledged == segment.content.size()) {
      segment.close_sent = true;
      Send("backup.CloseSegment", CloseRequest(backup_.node, id, segment.acknowledged),
           [&segment] { segment.closed_acknowledged = true; });
    }
  }
  void SendFree(std::uint64_t id, ModelSegment& segment) {
    segment.free_sent = true;
    Send("backup.FreeSegment", SegmentRequest<proto::FreeSegmentRequest>(backup_.node, id),
         [&segment] { segment.free_acknowledged = true; });
  }

  void InjectRandomFault() {
    switch (backup_.world.RandomBelow(10)) {
      case 0:
        return backup_.RestartAfterPowerLoss();
      case 1:
        return backup_.Restart();
      case 2:
        backup_.machine.Freeze();
        backup_.world.RunFor(milliseconds(backup_.world.RandomBelow(300)));
        return backup_.machine.Wake();
      default:
        return;
    }
  }

  void CheckOffers() {
    const auto offers = backup_.Offers();
    for (const auto& [id, segment] : segments_) {
      const auto offer = offers.find(id);
      if (segment.free_acknowledged) {
        EXPECT_TRUE(offer == offers.end()) << "freed segment " << id;
      } else if (offer != offers.end()) {
        CheckOffer(id, segment, offer->second);
      } else {
        EXPECT_TRUE(segment.free_sent || segment.acknowledged == 0) << "lost segment " << id;
      }
    }
  }

  void CheckOffer(std::uint64_t id, const ModelSegment& segment,
                  const proto::StoredSegment& offer) {
    EXPECT_GE(offer.length(), segment.acknowledged);
    EXPECT_LE(offer.length(), segment.content.size());
    EXPECT_GE(offer.epoch(), segment.acknowledged_epoch);
    EXPECT_LE(offer.epoch(), segment.epoch);
    EXPECT_TRUE(offer.closed() || !segment.closed_acknowledged);
    EXPECT_TRUE(!offer.closed() || segment.close_sent);
    EXPECT_EQ(backup_.Read(id)->data(), segment.content.substr(0, offer.length()));
    std::size_t entries = 0;
    for (std::uint64_t partition = 0; partition < kPartitions; ++partition) {
      const auto data = backup_.RecoveryData(id, {partition});
      ASSERT_TRUE(data.ok()) << data.status().ToString();
      for (const proto::LogEntry& entry : data->entries()) {
        EXPECT_EQ(entry.sequence() % kPartitions, partition);
      }
      entries += static_cast<std::size_t>(data->entries_size());
    }
    EXPECT_EQ(entries,
              ScanSegment(SegmentId(id), segment.content.substr(0, offer.length())).entry_count);
  }

  BackupWorld backup_;
  std::map<std::uint64_t, ModelSegment> segments_;
  std::map<std::uint64_t, bool> call_in_flight_;
  std::uint64_t acknowledged_calls_ = 0;
};

TEST(BackupModelTest, AcknowledgedDataSurvivesRandomFaults) {
  std::uint64_t acknowledged = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds && !HasFailure(); ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    ModelRun run(seed);
    run.Run();
    acknowledged += run.acknowledged_calls();
  }
  EXPECT_GT(acknowledged, kSeeds * kRounds / 8)
      << "too few calls were acknowledged for the runs to be meaningful";
}

}  // namespace
}  // namespace cloverbank
