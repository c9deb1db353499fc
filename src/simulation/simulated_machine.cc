#include "simulation/simulated_machine.h"

#include <cstdlib>
#include <utility>

#include "base/logging.h"

namespace cloverbank {

SimulatedMachineImpl::SimulatedMachineImpl(std::string name, Endpoint endpoint, EventQueue& queue,
                                           SimulatedNetwork& network, const DiskBehaviour& disks,
                                           std::shared_ptr<SimulatedProcess> external_process,
                                           std::uint64_t seed)
    : name_(std::move(name)),
      endpoint_(std::move(endpoint)),
      queue_(queue),
      network_(network),
      disks_(disks),
      random_(seed),
      external_folder_(queue, disk_, disks, std::move(external_process),
                       SimulatedFolder::Timing::kImmediate, random_.Next()) {
  network_.AddEndpoint(endpoint_, [this] { return process_; });
}

SimulatedMachineImpl::~SimulatedMachineImpl() { EndProcess(); }

void SimulatedMachineImpl::Start() {
  if (running() || !program_) {
    Log(LogLevel::kError, "simulated_machine_start_failed",
        {{"machine", name_}, {"reason", running() ? "already running" : "no program set"}});
    std::abort();
  }
  disk_.Open();
  process_ = std::make_shared<SimulatedProcess>();
  ProcessRun run;
  run.environment =
      std::make_unique<SimulatedEnvironment>(queue_, network_, process_, endpoint_, random_.Next());
  run.folder = std::make_unique<SimulatedFolder>(queue_, disk_, disks_, process_,
                                                 SimulatedFolder::Timing::kDelayed, random_.Next());
  Environment& environment = *run.environment;
  DataFolder& folder = *run.folder;
  runs_.push_back(std::move(run));
  const std::shared_ptr<SimulatedProcess> process = process_;
  process->Deliver([this, &process, &environment, &folder] {
    process->SetProgram(program_(environment, folder));
  });
}

void SimulatedMachineImpl::EndProcess() {
  const auto process = std::exchange(process_, nullptr);
  if (process) {
    process->End();
  }
}

void SimulatedMachineImpl::Kill() {
  if (process_) {
    process_->BreakIncoming();
  }
  EndProcess();
}

void SimulatedMachineImpl::LosePower() {
  EndProcess();
  disk_.LosePower(random_, disks_.torn_tails);
}

void SimulatedMachineImpl::LoseDisk() {
  Kill();
  disk_.LoseAll();
}

void SimulatedMachineImpl::Freeze() {
  if (process_) {
    process_->Freeze();
  }
}

void SimulatedMachineImpl::Wake() {
  if (!process_) {
    return;
  }
  for (auto& action : process_->Wake()) {
    queue_.Schedule(queue_.now(), [weak = std::weak_ptr(process_), action = std::move(action)] {
      const auto process = weak.lock();
      if (process) {
        process->Deliver(action);
      }
    });
  }
}

}  // namespace cloverbank
