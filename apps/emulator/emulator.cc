#include "emulator/emulator.h"

#include "json/json.h"

namespace cloverbank {
namespace {

constexpr double kSlowFactor = 8;
constexpr int kNotModified = 304;
constexpr std::size_t kReplicaSegment = 2;  // /admin/replicas/{id}/{fault}
constexpr std::size_t kFaultSegment = 3;

}  // namespace

Emulator::Emulator(EventLoop& loop, Deployment deployment)
    : loop_(loop), deployment_(std::move(deployment)), list_(deployment_.list_lag) {}

Status Emulator::Start(const std::string& witness_path) {
  if (Status status = witness_.Open(witness_path); !status.ok()) {
    return status;
  }
  for (const DeployedReplica& description : deployment_.replicas) {
    auto replica = std::make_unique<EmulatedReplica>(loop_, metrics_, witness_, description,
                                                     deployment_.BehaviourOf(description.backend));
    if (Status status = replica->Start(); !status.ok()) {
      return status;
    }
    Publish(*replica, proto::REPLICA_STATE_READY);
    replicas_[description.id] = std::move(replica);
  }
  HttpServerOptions list_options;
  list_options.listen = deployment_.platform_list;
  list_server_ = std::make_unique<BeastHttpServer>(loop_, list_options, metrics_, nullptr);
  list_server_->Handle(
      "GET", "/replicas",
      [this](const HttpRequest& request, const auto& responder) { ServeList(request, responder); });
  HttpServerOptions admin_options;
  admin_options.listen = deployment_.emulator_admin;
  admin_server_ = std::make_unique<BeastHttpServer>(loop_, admin_options, metrics_, nullptr);
  admin_server_->Handle("POST", "/admin/replicas/{id}/{fault}",
                        [this](const HttpRequest& request, const auto& responder) {
                          ServeFault(request, responder);
                        });
  admin_server_->Handle("GET", "/admin/counts", [this](const HttpRequest&, const auto& responder) {
    ServeCounts(responder);
  });
  if (Status status = list_server_->Listen(); !status.ok()) {
    return status;
  }
  return admin_server_->Listen();
}

void Emulator::Publish(const EmulatedReplica& replica, proto::ReplicaState state) {
  const DeployedReplica& description = replica.description();
  proto::Replica listed;
  listed.set_id(description.id);
  listed.mutable_endpoint()->set_host(description.endpoint.host);
  listed.mutable_endpoint()->set_port(description.endpoint.port);
  listed.set_zone(description.zone);
  listed.set_kind(description.kind);
  listed.set_backend(description.backend);
  listed.set_state(state);
  listed.set_capacity(description.capacity);
  listed.set_instance_id(replica.instance_id());
  list_.Set(EventLoop::Now(), listed);
}

void Emulator::ServeList(const HttpRequest& request,
                         const std::shared_ptr<HttpResponder>& responder) {
  const proto::ReplicaList& listed = list_.Shown(EventLoop::Now());
  const std::string tag = "\"" + std::to_string(listed.version()) + "\"";
  if (FindHeader(request.headers, "if-none-match") == tag) {
    responder->Send({kNotModified, {{"etag", tag}}, {}});
    return;
  }
  responder->Send({200, {{"etag", tag}, {"content-type", "application/json"}}, ToJson(listed)});
}

void Emulator::ServeFault(const HttpRequest& request,
                          const std::shared_ptr<HttpResponder>& responder) {
  const Status status = ApplyFault(std::string(PathSegment(request.path, kReplicaSegment)),
                                   std::string(PathSegment(request.path, kFaultSegment)));
  if (status.ok()) {
    responder->Send({200, {}, "done\n"});
  } else {
    responder->Send(
        {status.code() == StatusCode::kNotFound ? 404 : 400, {}, status.message() + "\n"});
  }
}

void Emulator::ServeCounts(const std::shared_ptr<HttpResponder>& responder) {
  responder->Send({200,
                   {{"content-type", "application/json"}},
                   "{\"starts\":" + std::to_string(witness_.starts()) + "}\n"});
}

Status Emulator::ApplyFault(const std::string& replica_id, const std::string& fault) {
  const auto found = replicas_.find(replica_id);
  if (found == replicas_.end()) {
    return {StatusCode::kNotFound, "no replica is named " + replica_id};
  }
  EmulatedReplica& replica = *found->second;
  witness_.Record("fault", replica_id, {}, fault);
  if (fault == "crash") {
    replica.Crash();
  } else if (fault == "remove") {
    replica.Crash();
    list_.Remove(EventLoop::Now(), replica_id);
  } else if (fault == "return") {
    replica.SetDark(false);
    replica.SetSlowdown(1);
    if (Status status = replica.Start(); !status.ok()) {
      return status;
    }
    Publish(replica, proto::REPLICA_STATE_READY);
  } else if (fault == "dark") {
    replica.SetDark(true);
  } else if (fault == "undark") {
    replica.SetDark(false);
  } else if (fault == "drain") {
    Publish(replica, proto::REPLICA_STATE_DRAINING);
  } else if (fault == "ready") {
    Publish(replica, proto::REPLICA_STATE_READY);
  } else if (fault == "slow") {
    replica.SetSlowdown(kSlowFactor);
  } else if (fault == "normal") {
    replica.SetSlowdown(1);
  } else {
    return {StatusCode::kInvalidArgument,
            "unknown fault " + fault +
                "; expected crash, remove, return, dark, undark, drain, ready, slow or normal"};
  }
  return Status::Ok();
}

}  // namespace cloverbank
