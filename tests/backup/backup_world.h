#pragma once
/// @file
/// A backup on a machine of a simulated world, with functions that send the calls of a queue node
/// to it.

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "backup/backup_service.h"
#include "backup/segment_messages.h"
#include "simulation/simulated_world.h"

namespace cloverbank {

struct BackupWorld {
  static constexpr std::uint64_t kCapacity = 65536;

  explicit BackupWorld(std::uint64_t seed = 1, const BackupOptions& backup_options = {})
      : options(backup_options), world(seed), machine(world.AddMachine("backup", "127.0.0.1")) {
    machine.SetProgram([this](Environment& environment, DataFolder& folder) {
      auto started = std::make_shared<BackupService>(environment, folder, options);
      load_status = started->Load();
      service = started;
      metrics = &environment.metrics();
      return started;
    });
    machine.Start();
  }

  void Restart() {
    machine.Kill();
    machine.Start();
  }
  void RestartAfterPowerLoss() {
    machine.LosePower();
    machine.Start();
  }

  /// Sends a call without waiting for the reply.
  /// @return holder of the result; empty until the reply arrives.
  template <typename Response, typename Request>
  std::shared_ptr<std::optional<Result<Response>>> Send(std::string_view method,
                                                        const Request& request) {
    auto answer = std::make_shared<std::optional<Result<Response>>>();
    world.CallPeer(machine.endpoint(), method, request.SerializeAsString(), seconds(10),
                   [answer](const PeerReply& reply) {
                     Response response;
                     if (reply.status.ok() && response.ParseFromString(reply.body)) {
                       answer->emplace(response);
                     } else {
                       answer->emplace(reply.status);
                     }
                   });
    return answer;
  }
  /// Sends a call and runs the world until the reply arrives, at most 20 s of simulated time.
  template <typename Response, typename Request>
  Result<Response> Call(std::string_view method, const Request& request) {
    const auto answer = Send<Response>(method, request);
    world.RunUntil([&] { return answer->has_value(); }, seconds(20));
    return answer->value_or(Status(StatusCode::kInternal, "no reply within 20 s"));
  }

  StatusCode Open(std::uint64_t segment, std::uint64_t epoch = 1) {
    return Call<proto::OpenSegmentResponse>("backup.OpenSegment",
                                            OpenRequest(node, segment, epoch, kCapacity))
        .status()
        .code();
  }
  StatusCode Write(std::uint64_t segment, std::uint64_t offset, const std::string& data,
                   std::uint64_t epoch = 1, ReplacementPart part = ReplacementPart::kNone) {
    const auto request = WriteRequest(node, segment, offset, data, epoch, part);
    return Call<proto::WriteSegmentResponse>("backup.WriteSegment", request).status().code();
  }
  StatusCode SetEpoch(std::uint64_t segment, std::uint64_t epoch) {
    const auto request = EpochRequest(node, segment, epoch);
    return Call<proto::SetSegmentEpochResponse>("backup.SetSegmentEpoch", request).status().code();
  }
  StatusCode Close(std::uint64_t segment, std::uint64_t length) {
    const auto request = CloseRequest(node, segment, length);
    return Call<proto::CloseSegmentResponse>("backup.CloseSegment", request).status().code();
  }
  StatusCode Free(std::uint64_t segment) {
    const auto request = SegmentRequest<proto::FreeSegmentRequest>(node, segment);
    return Call<proto::FreeSegmentResponse>("backup.FreeSegment", request).status().code();
  }
  Result<proto::ReadSegmentResponse> Read(std::uint64_t segment) {
    return Call<proto::ReadSegmentResponse>(
        "backup.ReadSegment", SegmentRequest<proto::ReadSegmentRequest>(node, segment));
  }
  Result<proto::ListSegmentsResponse> List() {
    return Call<proto::ListSegmentsResponse>("backup.ListSegments", proto::ListSegmentsRequest());
  }
  proto::StartReadingDataRequest StartReadingRequest() const {
    proto::StartReadingDataRequest request;
    request.set_dead_node_id(node);
    return request;
  }
  Result<proto::StartReadingDataResponse> StartReading() {
    return Call<proto::StartReadingDataResponse>("backup.StartReadingData", StartReadingRequest());
  }
  /// Calls StartReadingData and expects it to succeed.
  /// @return the offered segments by segment id.
  std::map<std::uint64_t, proto::StoredSegment> Offers() {
    const auto response = StartReading();
    EXPECT_TRUE(response.ok()) << response.status().ToString();
    std::map<std::uint64_t, proto::StoredSegment> offers;
    if (response.ok()) {
      for (const proto::StoredSegment& stored : response->segments()) {
        offers[stored.segment_id()] = stored;
      }
    }
    return offers;
  }
  Result<proto::GetRecoveryDataResponse> RecoveryData(
      std::uint64_t segment, const std::vector<std::uint64_t>& partitions) {
    proto::GetRecoveryDataRequest request;
    request.set_dead_node_id(node);
    request.set_segment_id(segment);
    for (const std::uint64_t partition : partitions) {
      request.add_partition_ids(partition);
    }
    return Call<proto::GetRecoveryDataResponse>("backup.GetRecoveryData", request);
  }
  StatusCode Release() {
    proto::ReleaseRecoveryDataRequest request;
    request.set_dead_node_id(node);
    return Call<proto::ReleaseRecoveryDataResponse>("backup.ReleaseRecoveryData", request)
        .status()
        .code();
  }

  BackupOptions options;
  std::uint64_t node = 9;  ///< Id of the queue node in whose name calls are sent.
  Status load_status;      ///< Result of `Load` at the last start.
  std::weak_ptr<BackupService> service;
  Metrics* metrics = nullptr;
  SimulatedWorld world;
  SimulatedMachine& machine;
};

}  // namespace cloverbank
