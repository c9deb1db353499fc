#include "cloverbankd/daemon.h"

#include <algorithm>
#include <string>
#include <utility>

#include "base/logging.h"
#include "cloverbankd/node_readiness.h"
#include "cloverbankd/process_status.h"
#include "cloverbankd/server_options.h"

namespace cloverbank {
namespace {

constexpr Duration kDrainPollInterval = milliseconds(20);
constexpr int kFailureExitCode = 1;

std::unique_ptr<BeastHttpServer> MakeFrontServer(EventLoop& loop, const Settings& settings,
                                                 const Endpoint& listen, Metrics& metrics,
                                                 const FaultInjector& faults) {
  if (!listen.valid()) {
    return nullptr;
  }
  return std::make_unique<BeastHttpServer>(loop, FrontServerOptions(settings, listen), metrics,
                                           &faults);
}

}  // namespace

Daemon::Daemon(Settings settings, DaemonOptions options)
    : settings_(std::move(settings)),
      options_(std::move(options)),
      client_(std::make_unique<BeastHttpClient>(loop_, OutgoingCallOptions(settings_), &faults_)),
      client_server_(std::make_unique<BeastHttpServer>(loop_, ClientServerOptions(settings_),
                                                       metrics_, &faults_)),
      peer_server_(std::make_unique<BeastHttpServer>(loop_, PeerServerOptions(settings_), metrics_,
                                                     &faults_)),
      front_calls_(MakeFrontServer(loop_, settings_, settings_.front_calls, metrics_, faults_)),
      front_ready_(MakeFrontServer(loop_, settings_, settings_.front_ready, metrics_, faults_)),
      front_control_(MakeFrontServer(loop_, settings_, settings_.front_control, metrics_, faults_)),
      environment_(std::make_unique<AsioEnvironment>(loop_, *client_, *peer_server_, settings_.peer,
                                                     metrics_)) {}

Daemon::~Daemon() {
  // Callbacks of calls in flight refer to the roles, so they must be destroyed before the roles.
  front_calls_.reset();
  front_ready_.reset();
  front_control_.reset();
  client_server_.reset();
  peer_server_.reset();
  client_->CancelAll();
  while (!roles_.empty()) {
    roles_.pop_back();
  }
}

Status Daemon::Start() {
  loop_.OnStopSignal([this](int signal) {
    Log(LogLevel::kInfo, "stop_signal_received", {{"signal", signal}});
    RequestStop();
  });
  loop_.OnReloadSignal([this] { ReloadSettings(); });
  ServeProcessStatus(*client_server_, metrics_, [this] { return Readiness(); });
  if (options_.allow_fault_injection) {
    faults_.ServeAdmin(*client_server_);
  }
  Status started = OpenDataFolder();
  if (started.ok()) {
    started = StartRoles();
  }
  return started.ok() ? ListenAll() : started;
}

std::vector<BeastHttpServer*> Daemon::CallerServers() const {
  std::vector<BeastHttpServer*> servers;
  for (BeastHttpServer* server : {front_calls_.get(), front_control_.get(), client_server_.get()}) {
    if (server != nullptr) {
      servers.push_back(server);
    }
  }
  return servers;
}

Status Daemon::ListenAll() {
  std::vector<BeastHttpServer*> servers = CallerServers();
  servers.insert(servers.begin(), peer_server_.get());
  if (front_ready_ != nullptr) {
    servers.push_back(front_ready_.get());
  }
  for (BeastHttpServer* server : servers) {
    if (Status listening = server->Listen(); !listening.ok()) {
      return listening;
    }
  }
  return Status::Ok();
}

void Daemon::ReloadSettings() {
  Result<Settings> read = LoadSettings(options_.settings_path, {}, nullptr);
  if (!read.ok()) {
    Log(LogLevel::kWarning, "settings_reload_failed", {{"reason", read.status().message()}});
    return;
  }
  // Addresses and roles stay the same until the process ends; only the logging can be reloaded.
  LoggingOptions logging = read->logging;
  logging.node_name = settings_.machine;
  ConfigureLogging(logging);
  Log(LogLevel::kInfo, "settings_reloaded", {{"path", options_.settings_path}});
}

Status Daemon::OpenDataFolder() {
  if (settings_.data_folder.empty()) {
    return Status::Ok();
  }
  data_folder_ = std::make_unique<PosixDataFolder>(
      settings_.data_folder,
      [this](std::function<void()> action) { loop_.Post(std::move(action)); });
  return data_folder_->Open();
}

Status Daemon::StartRoles() {
  const RoleContext context{settings_,
                            *environment_,
                            *client_,
                            *client_server_,
                            {front_calls_.get(), front_ready_.get(), front_control_.get()},
                            [this] { return !stopping_; },
                            data_folder_.get(),
                            MakeCoordinatorDirectory(settings_),
                            [this](const Status& status) { Fail(status); }};
  const std::vector<std::pair<bool, std::unique_ptr<Role> (*)(const RoleContext&)>> makers = {
      {settings_.roles.coordinator, &MakeCoordinatorRole},
      {settings_.roles.backup, &MakeBackupRole},
      {settings_.roles.queue, &MakeQueueRole},
      {settings_.roles.gateway, &MakeGatewayRole}};
  for (const auto& [wanted, make] : makers) {
    if (!wanted) {
      continue;
    }
    auto role = make(context);
    const std::string name(role->name());
    Status started = role->Start();
    if (!started.ok()) {
      return {started.code(), "role " + name + ": " + started.message(), started.detail()};
    }
    roles_.push_back(std::move(role));
    Log(LogLevel::kInfo, "role_started", {{"role", name}});
  }
  return Status::Ok();
}

int Daemon::Run() {
  Log(LogLevel::kInfo, "daemon_started",
      {{"machine", settings_.machine},
       {"zone", settings_.zone},
       {"client", client_server_->endpoint().ToString()},
       {"peer", peer_server_->endpoint().ToString()}});
  loop_.Run();
  Log(LogLevel::kInfo, "daemon_stopped", {{"exit_code", exit_code_}});
  return exit_code_;
}

void Daemon::Fail(const Status& status) {
  Log(LogLevel::kError, "daemon_failed", {{"status", status.ToString()}});
  exit_code_ = kFailureExitCode;
  loop_.Stop();
}

void Daemon::RequestStop() {
  if (stopping_) {
    return;
  }
  stopping_ = true;
  const TimePoint now = EventLoop::Now();
  stop_deadline_ = now + settings_.stop_grace;
  for (const auto& role : roles_) {
    role->Drain({.admits_until = now + settings_.stop_admit, .ends_at = stop_deadline_});
  }
  ScheduleServerDrains();
  StopWhenDrained();
}

void Daemon::ScheduleServerDrains() {
  // The front interfaces accept new connections for `stop_linger`, until the platform sends new
  // connections elsewhere. Operators try another node by themselves, and an order may take longer
  // than is left after the linger.
  const Duration control_linger = std::min(settings_.stop_admit, settings_.stop_linger);
  const std::vector<BeastHttpServer*> servers = CallerServers();
  servers_draining_ = servers.size();
  for (BeastHttpServer* server : servers) {
    const bool is_control = server == front_control_.get();
    loop_.ScheduleAfter(is_control ? control_linger : settings_.stop_linger,
                        [this, server] { server->Drain([this] { --servers_draining_; }); });
  }
}

void Daemon::StopWhenDrained() {
  const std::string undrained = UndrainedComponents();
  const bool out_of_time = EventLoop::Now() >= stop_deadline_;
  if (!undrained.empty() && !out_of_time) {
    loop_.ScheduleAfter(kDrainPollInterval, [this] { StopWhenDrained(); });
    return;
  }
  if (!undrained.empty()) {
    Log(LogLevel::kWarning, "stop_grace_expired",
        {{"undrained", undrained}, {"calls_in_progress", client_server_->calls_in_progress()}});
  }
  loop_.Stop();
}

std::string Daemon::UndrainedComponents() const {
  std::string components = servers_draining_ == 0 ? "" : "servers";
  for (const auto& role : roles_) {
    if (!role->Drained()) {
      components += (components.empty() ? "" : ",") + std::string(role->name());
    }
  }
  return components;
}

proto::ReadinessReport Daemon::Readiness() const {
  proto::ReadinessReport report;
  report.set_ready(!stopping_);
  for (const auto& role : roles_) {
    const auto missing = role->NotReadyReason();
    proto::RoleReadiness* readiness = report.add_roles();
    readiness->set_role(std::string(role->name()));
    readiness->set_ready(!missing.has_value());
    readiness->set_reason(missing.value_or(""));
    report.set_ready(report.ready() && !missing.has_value());
  }
  return report;
}

}  // namespace cloverbank
