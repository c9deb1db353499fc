// Tests the daemon as a process: exit codes, readiness, graceful stop, restart and isolation from
// the other machines.
#include <memory>

#include "cloverbankd/daemon_process.h"
#include "support/raw_socket.h"

namespace cloverbank {
namespace {

constexpr int kMachines = 3;

class DaemonTest : public ::testing::Test {
 protected:
  DaemonTest() {
    std::string pattern = std::filesystem::temp_directory_path() / "cloverbankd-test-XXXXXX";
    folder_ = mkdtemp(pattern.data());
    for (int number = 1; number <= kMachines; ++number) {
      machines_.push_back(std::make_unique<DaemonProcess>(folder_, number));
    }
  }
  ~DaemonTest() override {
    machines_.clear();
    std::filesystem::remove_all(folder_);
  }

  void StartAll(const std::vector<std::string>& flags = {}) {
    for (const auto& machine : machines_) {
      machine->Start(flags);
    }
    AwaitAllReady();
  }
  void AwaitAllReady() {
    for (const auto& machine : machines_) {
      machine->AwaitReadiness(200);
    }
  }

  std::filesystem::path folder_;
  std::vector<std::unique_ptr<DaemonProcess>> machines_;
};

TEST_F(DaemonTest, ChecksSettingsWithoutStarting) {
  DaemonProcess& machine = *machines_[0];
  machine.Start({"--check-only"});
  EXPECT_EQ(machine.Wait(), 0);
  machine.Start({"--check-only", "--set", "listen.client_port=none"});
  EXPECT_EQ(machine.Wait(), 2);
  EXPECT_NE(machine.ReadLog().find("listen.client_port"), std::string::npos);
}

TEST_F(DaemonTest, StopsCleanlyOnSigterm) {
  StartAll();
  EXPECT_EQ(machines_[0]->Call("GET", "/health").response.status, 200);
  const HttpOutcome metrics = machines_[0]->Call("GET", "/metrics");
  EXPECT_NE(metrics.response.body.find("peer_calls_total"), std::string::npos);
  EXPECT_EQ(machines_[0]->Call("POST", "/admin/faults", "{}").response.status, 404);
  for (const auto& machine : machines_) {
    machine->Signal(SIGTERM);
  }
  for (const auto& machine : machines_) {
    EXPECT_EQ(machine->Wait(), 0) << machine->ReadLog();
  }
}

TEST_F(DaemonTest, SecondSigtermCutsNoRequest) {
  StartAll();
  const auto client = RawConnect({machines_[0]->address(), kClientPort});
  client->Send("GET /health HTTP/1.1\r\n");
  std::this_thread::sleep_for(milliseconds(100));
  for (int signal = 0; signal < 3; ++signal) {
    machines_[0]->Signal(SIGTERM);
    std::this_thread::sleep_for(milliseconds(200));
  }
  client->Send("Host: x\r\n\r\n");
  EXPECT_TRUE(client->ReadUntil("").starts_with("HTTP/1.1 200"));
  EXPECT_EQ(machines_[0]->Wait(), 0) << machines_[0]->ReadLog();
}

TEST_F(DaemonTest, BecomesReadyAfterAllMachinesWereKilled) {
  StartAll();
  for (const auto& machine : machines_) {
    machine->Signal(SIGKILL);
    machine->Wait();
  }
  StartAll();
}

TEST_F(DaemonTest, ReportsNotReadyWithoutOtherMachines) {
  machines_[0]->Start();
  machines_[0]->AwaitReadiness(503, "no leader of the coordinator group is known");
  machines_[0]->AwaitReadiness(503, "not registered with the coordinators");
}

TEST_F(DaemonTest, IsolatedMachineHasNoLeaseUntilHealed) {
  StartAll({"--allow-fault-injection"});
  const std::string blocked =
      R"({"blocked":[")" + machines_[1]->address() + R"(",")" + machines_[2]->address() + R"("]})";
  EXPECT_EQ(machines_[0]->Call("POST", "/admin/faults", blocked).response.status, 200);
  machines_[0]->AwaitReadiness(503, "no valid lease from the coordinators");
  machines_[1]->AwaitReadiness(200);
  machines_[2]->AwaitReadiness(200);
  EXPECT_EQ(machines_[0]->Call("POST", "/admin/faults", "{}").response.status, 200);
  AwaitAllReady();
}

}  // namespace
}  // namespace cloverbank
