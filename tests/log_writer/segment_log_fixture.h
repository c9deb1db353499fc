#pragma once
/// @file
/// Fixture with a segment log over simulated backups, which tests can stop, isolate or take the
/// disk of.

#include <gtest/gtest.h>

#include "backup/segment_file.h"
#include "log_writer/log_world.h"
#include "log_writer/segment_log.h"

namespace cloverbank {

constexpr std::uint64_t kPartition = 0;
constexpr std::uint64_t kSegmentBytes = 16 << 10;

/// A queue process that consists of its agent and its log only.
struct LogProcess {
  std::unique_ptr<NodeAgent> agent;
  std::unique_ptr<SegmentLog> log;
};

class SegmentLogTest : public testing::Test {
 protected:
  explicit SegmentLogTest(std::uint64_t seed = 11) : log_world(seed) {
    for (const std::string name : {"b1", "b2", "b3"}) {
      log_world.AddBackup(name, "zone-" + name);
    }
    log_world.world.AddMachine("q", "10.0.2.1")
        .SetProgram([this](Environment& environment, DataFolder&) {
          auto started = std::make_shared<LogProcess>();
          started->agent = std::make_unique<NodeAgent>(
              environment, log_world.AgentOptions("q", "zone-b1", proto::ROLE_QUEUE));
          LogProcess* queue_process = started.get();
          started->agent->OnRegistered(
              [this, queue_process, &environment] { OpenLog(*queue_process, environment); });
          started->agent->OnFleet([queue_process] {
            if (queue_process->log != nullptr) {
              queue_process->log->OnFleet();
            }
          });
          started->agent->Start();
          process = queue_process;
          return started;
        });
  }

  void OpenLog(LogProcess& opened, Environment& environment) {
    if (opened.log != nullptr) {
      return;
    }
    SegmentLogOptions options;
    options.segment_bytes = kSegmentBytes;
    options.write_bytes = 2 << 10;
    node = opened.agent->node_id().value();
    opened.log = std::make_unique<SegmentLog>(
        environment, *opened.agent, options, [] { return std::vector<proto::LogEntry>(); },
        [this](const std::string&) { ++fenced_count; });
    opened.log->Start();
  }

  void StartQueue() {
    log_world.world.RunFor(seconds(1));
    log_world.world.machine("q").Start();
    ASSERT_TRUE(log_world.world.RunUntil(
        [this] { return process->log != nullptr && process->log->ready(); }, seconds(5)));
  }

  proto::LogEntry MakeEntry(std::uint64_t sequence, std::size_t bytes = 300,
                            const std::string& batch = "b") {
    proto::LogEntry entry;
    entry.set_partition_tag(kPartition + 1);
    entry.set_sequence(sequence);
    entry.mutable_item_finished()->set_batch_id(batch);
    entry.mutable_item_finished()->set_output(std::string(bytes, 'x'));
    return entry;
  }

  /// Appends one entry with the next sequence and `bytes` bytes of output. Its outcome is written
  /// to `outcomes`. @return the sequence.
  std::uint64_t Append(std::size_t bytes = 300, const std::string& batch = "b") {
    const std::uint64_t sequence = ++last_sequence;
    process->log->Append({MakeEntry(sequence, bytes, batch)},
                         [this, sequence](const Status& status) {
                           EXPECT_FALSE(outcomes.contains(sequence));
                           outcomes[sequence] = status.code();
                         });
    return sequence;
  }
  /// Like `Append`, and runs the world until the outcome is known, for 10 s at most.
  /// @return whether the append was acknowledged.
  bool AppendAndWait(std::size_t bytes = 300, const std::string& batch = "b") {
    const std::uint64_t sequence = Append(bytes, batch);
    return log_world.world.RunUntil([&] { return outcomes.contains(sequence); }, seconds(10)) &&
           outcomes[sequence] == StatusCode::kOk;
  }
  bool WaitFor(const std::function<bool()>& condition, Duration limit = seconds(10)) {
    return log_world.world.RunUntil(condition, limit);
  }
  proto::LogHead Head() { return log_world.coordinator.heads[node]; }

  /// Recovers the log and checks that it has every acknowledged entry, in order.
  void ExpectAcknowledgedRecoverable() {
    const auto entries = log_world.Recover(node, kPartition);
    ASSERT_TRUE(entries.ok()) << entries.status().ToString();
    std::set<std::uint64_t> found;
    std::uint64_t last = 0;
    for (const proto::LogEntry& entry : *entries) {
      EXPECT_GT(entry.sequence(), last);
      last = entry.sequence();
      found.insert(last);
    }
    for (const auto& [sequence, outcome] : outcomes) {
      if (outcome == StatusCode::kOk) {
        EXPECT_TRUE(found.contains(sequence)) << "acknowledged entry " << sequence << " is lost";
      }
    }
  }

  LogWorld log_world;
  LogProcess* process = nullptr;
  std::uint64_t node = 0;
  std::uint64_t last_sequence = 0;
  std::map<std::uint64_t, StatusCode> outcomes;
  int fenced_count = 0;
};

}  // namespace cloverbank
