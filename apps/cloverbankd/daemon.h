#pragma once
/// @file
/// One process of the serving tier: an event loop, servers on the client and peer endpoints, and
/// the roles that the settings name.

#include <memory>
#include <string>
#include <vector>

#include "base/metrics.h"
#include "cloverbankd/role.h"
#include "net/asio_environment.h"
#include "net/beast_http_client.h"
#include "net/beast_http_server.h"
#include "net/event_loop.h"
#include "net/fault_injector.h"
#include "proto/health.pb.h"
#include "settings/settings.h"
#include "storage/posix_data_folder.h"

namespace cloverbank {

struct DaemonOptions {
  bool allow_fault_injection = false;
  /// Path of the settings file, for a reload at SIGHUP; empty if there is none.
  std::string settings_path = {};
};

class Daemon {
 public:
  Daemon(Settings settings, DaemonOptions options);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /// Opens the data folder, starts the roles, then listens.
  Status Start();
  /// Runs until a stop signal or a fatal failure. @return the process's exit code.
  int Run();
  /// Begins a graceful shutdown, as at SIGTERM: accepts no new work, lets calls in flight end
  /// within the grace period. A second request stops at once.
  void RequestStop();

 private:
  Status OpenDataFolder();
  Status StartRoles();
  Status ListenAll();
  /// @return the servers that exist, those of the front interfaces first.
  std::vector<BeastHttpServer*> CallerServers() const;
  void DrainServers();
  void ReloadSettings();
  void Fail(const Status& status);
  void StopWhenDrained();
  /// @return what a clean stop still waits for; empty when nothing is left.
  std::string UndrainedComponents() const;
  proto::ReadinessReport Readiness() const;

  // In order of dependence: what comes later is destroyed earlier.
  const Settings settings_;
  const DaemonOptions options_;
  Metrics metrics_;
  FaultInjector faults_;
  EventLoop loop_;
  std::unique_ptr<BeastHttpClient> client_;
  std::unique_ptr<BeastHttpServer> client_server_;
  std::unique_ptr<BeastHttpServer> peer_server_;
  /// Front interfaces; null where the settings name none.
  std::unique_ptr<BeastHttpServer> front_calls_;
  std::unique_ptr<BeastHttpServer> front_ready_;
  std::unique_ptr<BeastHttpServer> front_control_;
  std::unique_ptr<AsioEnvironment> environment_;
  std::unique_ptr<PosixDataFolder> data_folder_;
  std::vector<std::unique_ptr<Role>> roles_;

  bool stopping_ = false;
  std::size_t servers_draining_ = 0;  ///< Servers of callers with answers under way.
  TimePoint stop_deadline_;
  int exit_code_ = 0;
};

}  // namespace cloverbank
