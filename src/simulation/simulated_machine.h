#pragma once
/// @file
/// Implementation of `SimulatedMachine`: a disk and a sequence of process runs.

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "simulation/event_queue.h"
#include "simulation/seeded_random.h"
#include "simulation/simulated_disk.h"
#include "simulation/simulated_environment.h"
#include "simulation/simulated_folder.h"
#include "simulation/simulated_network.h"
#include "simulation/simulated_world.h"

namespace cloverbank {

class SimulatedMachineImpl final : public SimulatedMachine {
 public:
  /// @param external_process process on whose behalf tests access the disk.
  SimulatedMachineImpl(std::string name, Endpoint endpoint, EventQueue& queue,
                       SimulatedNetwork& network, const DiskBehaviour& disks,
                       std::shared_ptr<SimulatedProcess> external_process, std::uint64_t seed);
  ~SimulatedMachineImpl() override;
  SimulatedMachineImpl(const SimulatedMachineImpl&) = delete;
  SimulatedMachineImpl& operator=(const SimulatedMachineImpl&) = delete;

  const std::string& name() const override { return name_; }
  const Endpoint& endpoint() const override { return endpoint_; }
  bool running() const override { return process_ != nullptr; }

  void SetProgram(Program program) override { program_ = std::move(program); }
  void Start() override;
  void Kill() override;
  void LosePower() override;
  void LoseDisk() override;
  void Freeze() override;
  void Wake() override;
  DataFolder& disk() override { return external_folder_; }
  Status FlipBit(const std::string& file, std::uint64_t byte) override {
    return disk_.FlipBit(file, byte);
  }
  void SetDiskLimit(std::uint64_t bytes) override { disk_.SetLimit(bytes); }
  void FailSyncs(bool fail) override { disk_.FailSyncs(fail); }

 private:
  /// Objects that a process run uses. Kept until the world is destroyed, since remains of the run's
  /// program may still refer to them.
  struct ProcessRun {
    std::unique_ptr<SimulatedEnvironment> environment;
    std::unique_ptr<SimulatedFolder> folder;
  };
  void EndProcess();

  const std::string name_;
  const Endpoint endpoint_;
  EventQueue& queue_;
  SimulatedNetwork& network_;
  const DiskBehaviour& disks_;
  SeededRandom random_;
  SimulatedDisk disk_;
  SimulatedFolder external_folder_;
  Program program_;
  std::vector<ProcessRun> runs_;
  std::shared_ptr<SimulatedProcess> process_;
};

}  // namespace cloverbank
