#pragma once
/// @file
/// Starts real `cloverbankd` processes on loopback addresses, for tests.

#include <fcntl.h>
#include <gtest/gtest.h>
#include <signal.h>  // NOLINT(modernize-deprecated-headers): kill(2) is POSIX.
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "client/blocking_http.h"

namespace cloverbank {

inline constexpr std::uint16_t kClientPort = 7400;

/// @return the loopback address of a machine. It depends on the process id, so that test processes
/// that run at the same time get different addresses.
inline std::string MachineAddress(int number) {
  constexpr int kFirstNetwork = 32;
  constexpr int kNetworks = 64;
  constexpr int kHosts = 250;
  const int process = getpid();
  return "127." + std::to_string(kFirstNetwork + process / kHosts % kNetworks) + "." +
         std::to_string(1 + process % kHosts) + "." + std::to_string(number);
}

/// @return the seeds of every machine, as a TOML list.
inline std::string SeedList() {
  std::string list;
  for (int number = 1; number <= 3; ++number) {
    list += (list.empty() ? "\"" : ", \"") + MachineAddress(number) + ":7401\"";
  }
  return "[" + list + "]";
}

/// Settings in which the machines of a test differ from those of other tests.
struct DaemonSettings {
  std::string roles = R"(["coordinator", "queue", "backup"])";  ///< A TOML list.
  std::string tables;  ///< TOML tables that are added to the settings.
};

/// A process with the roles coordinator, queue and backup, unless its settings name others. The
/// destructor kills it.
class DaemonProcess {
 public:
  /// @param number from 1; also the last part of the machine's address.
  DaemonProcess(std::filesystem::path folder, int number, DaemonSettings settings = {})
      : folder_(std::move(folder)),
        number_(number),
        settings_(std::move(settings)),
        address_(MachineAddress(number)) {
    WriteSettings();
  }
  ~DaemonProcess() {
    if (pid_ > 0) {
      Signal(SIGKILL);
      Wait();
    }
  }
  DaemonProcess(const DaemonProcess&) = delete;
  DaemonProcess& operator=(const DaemonProcess&) = delete;

  const std::string& address() const { return address_; }

  void Start(std::vector<std::string> flags = {}) {
    std::vector<std::string> arguments = {CLOVERBANKD_PROGRAM, "--config", SettingsFile()};
    arguments.insert(arguments.end(), flags.begin(), flags.end());
    std::vector<char*> raw;
    raw.reserve(arguments.size() + 1);
    for (std::string& argument : arguments) {
      raw.push_back(argument.data());
    }
    raw.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    const std::string log = LogFile();
    for (const int descriptor : {STDOUT_FILENO, STDERR_FILENO}) {
      posix_spawn_file_actions_addopen(&actions, descriptor, log.c_str(),
                                       O_WRONLY | O_CREAT | O_APPEND, S_IRUSR | S_IWUSR);
    }
    ASSERT_EQ(posix_spawn(&pid_, CLOVERBANKD_PROGRAM, &actions, nullptr, raw.data(), environ), 0);
    posix_spawn_file_actions_destroy(&actions);
  }
  void Signal(int signal) const { kill(pid_, signal); }
  /// Waits until the process has ended. @return its exit code, or -1 if a signal ended it.
  int Wait() {
    int status = 0;
    waitpid(std::exchange(pid_, 0), &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }

  /// @return whether the process has not ended.
  bool IsRunning() const { return waitpid(pid_, nullptr, WNOHANG) == 0; }

  HttpOutcome Send(std::uint16_t port, HttpRequest request) {
    return http_.Call({address_, port}, std::move(request), seconds(5));
  }
  HttpOutcome Call(const std::string& method, const std::string& path, std::string body = {}) {
    return http_.Call({address_, kClientPort}, MakeRequest(method, path, std::move(body)),
                      seconds(2));
  }
  /// Waits until GET /ready returns `status` with `text` in its body; fails the test after 400
  /// attempts, 50 ms apart. The limit only keeps a broken test from hanging.
  void AwaitReadiness(int status, const std::string& text = {}) {
    std::string last;
    for (int attempt = 0; attempt < 400; ++attempt) {
      const HttpOutcome outcome = Call("GET", "/ready");
      last = outcome.reason + outcome.response.body;
      const bool answered =
          outcome.kind == HttpOutcomeKind::kAnswered && outcome.response.status == status;
      if (answered && last.find(text) != std::string::npos) {
        return;
      }
      std::this_thread::sleep_for(milliseconds(50));
    }
    FAIL() << address_ << " never answered " << status << ", last: " << last << "\n" << ReadLog();
  }
  std::string ReadLog() const {
    std::ifstream file(LogFile());
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  }

 private:
  std::string SettingsFile() const { return folder_ / ("m" + std::to_string(number_) + ".toml"); }
  std::string LogFile() const { return folder_ / ("m" + std::to_string(number_) + ".log"); }

  void WriteSettings() const {
    std::ofstream file(SettingsFile());
    file << "[node]\nname = \"m" << number_ << "\"\nzone = \"zone-" << number_ << "\"\n"
         << "roles = " << settings_.roles << "\n"
         << "data_folder = \"" << (folder_ / ("data" + std::to_string(number_))).string() << "\"\n"
         << "[listen]\naddress = \"" << address_ << "\"\nclient_port = " << kClientPort
         << "\npeer_port = 7401\n[seeds]\naddresses = " << SeedList() << "\n"
         << settings_.tables;
  }

  std::filesystem::path folder_;
  int number_;
  DaemonSettings settings_;
  std::string address_;
  pid_t pid_ = 0;
  BlockingHttp http_;
};

}  // namespace cloverbank
