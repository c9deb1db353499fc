#pragma once
/// @file
/// A data plane on simulated time, with scripted replicas, the platform's list of replicas, a lease
/// that a test can revoke, and clients.

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "admission/call_queue.h"
#include "calls/http_json.h"
#include "calls/replica_pool.h"
#include "gateway/live_call_handler.h"
#include "gateway/replica_backend_caller.h"
#include "json/json.h"
#include "replicas/fake_http.h"
#include "routes/route_reference.h"
#include "simulation/simulated_world.h"

namespace cloverbank {

/// A replica whose behaviour the test sets.
struct FakeReplica {
  proto::Replica entry;
  std::uint32_t running = 0;
  std::uint32_t max_running = 0;
  std::uint32_t external_running = 0;             ///< Calls of other clients that it reports.
  std::vector<std::string> received;              ///< Ids of received calls, in order.
  std::vector<proto::CallRequest> executed;       ///< Requests that it may have executed.
  std::vector<std::uint32_t> running_at_arrival;  ///< Calls running when each was received.
  std::uint32_t probes = 0;
  Duration work_time = milliseconds(50);
  enum class Mode : std::uint8_t {
    kServe,
    kNoResponse,
    kRefuse,
    kFail,
    kScripted
  } mode = Mode::kServe;
  std::vector<ExchangePtr> exchanges;  ///< Of its calls; in kScripted the test responds to them.
  /// A refusal that a kept connection brings a second time, where the response to the next call is
  /// due; only if `GatewayHarness::second_responses` is set.
  std::optional<HttpResponse> late_refusal;
};

class FakeServingPermission : public ServingPermission {
 public:
  bool IsValid() const override { return valid; }
  const proto::RoutingConfiguration& configuration() const override { return stored; }
  bool valid = true;
  proto::RoutingConfiguration stored;
};

inline std::string ChunkLine(const std::string& run, const std::string& call,
                             std::uint64_t sequence, const std::string& text, bool end = false) {
  proto::StreamChunk chunk;
  chunk.set_run_id(run);
  chunk.set_call_id(call);
  chunk.set_sequence(sequence);
  chunk.set_text(text);
  chunk.set_end(end);
  return ToJson(chunk) + "\n";
}

/// The data plane of one gateway.
struct GatewayPlane {
  GatewayPlane(Environment& environment, HttpClient& client, const ServingPermission& permission,
               const GatewayOptions& options)
      : pool(std::make_unique<ReplicaPool>(environment, client, permission, options)),
        queue(std::make_unique<CallQueue>(environment, options.admission)),
        budget(options.retry) {
    const CallContext context{
        {environment, client, *pool, options.calls}, permission, *queue, budget, options.retry};
    live = std::make_unique<LiveCallHandler>(context, options);
    batch = std::make_unique<ReplicaBackendCaller>(context, options.replica_header_names);
    pool->SetCapacityObserver([this] { queue->ScheduleDispatch(); });
    live->Register(router);
  }

  FakeRouter router;
  std::unique_ptr<ReplicaPool> pool;
  std::unique_ptr<CallQueue> queue;
  RetryBudget budget;
  std::unique_ptr<LiveCallHandler> live;
  std::unique_ptr<ReplicaBackendCaller> batch;
};

class GatewayHarness {
 public:
  explicit GatewayHarness(std::uint64_t seed = 1) : world(seed) {
    SimulatedMachine& machine = world.AddMachine("gateway", "127.0.0.1");
    machine.SetProgram([this](Environment& given, DataFolder&) {
      environment = &given;
      return std::make_shared<int>(0);
    });
    machine.Start();
    client = std::make_unique<FakeHttpClient>(*environment);
    options.zone = "a";
    options.replica_list.endpoint = {"127.0.0.9", 80};
    options.sharing.initial_slow_start_quota = 1;  // Most tests have only one gateway.
    for (const char* name : {"a", "b", "c"}) {
      proto::Zone* zone = permission.stored.add_zones();
      zone->set_name(name);
      zone->set_region("here");
      zone->set_state(proto::ZONE_STATE_OPEN);
    }
    permission.stored.set_version(1);
    client->scripts[options.replica_list.endpoint.ToString()] =
        [this](const ExchangePtr& exchange) { ServeList(exchange); };
  }

  /// Routes must be added in the order of their names, since the configuration is sorted by them.
  proto::Route& AddRoute(const std::string& name, proto::BackendKind kind, bool idempotent) {
    proto::Route* route = permission.stored.add_routes();
    route->set_name(name);
    route->set_backend_kind(kind);
    route->set_backend(kind == proto::BACKEND_KIND_MODEL ? "model" : "service");
    route->set_idempotent(idempotent);
    route->set_priority(proto::PRIORITY_STANDARD);
    route->set_deadline_ms(10'000);
    return *route;
  }

  /// @return an item of a batch whose client named route number `route`.
  BatchItemCall MakeItem(int route, const proto::CallRequest& request, Duration deadline) const {
    const proto::Route& named = permission.stored.routes(route);
    return {named, named.backend(), ReferenceByName(named.name()), request, deadline};
  }

  FakeReplica& AddReplica(const std::string& id, const std::string& zone, std::uint32_t capacity,
                          proto::BackendKind kind = proto::BACKEND_KIND_MODEL) {
    FakeReplica& replica = replicas[id];
    replica.entry.set_id(id);
    replica.entry.mutable_endpoint()->set_host("127.1.0." + std::to_string(replicas.size()));
    replica.entry.mutable_endpoint()->set_port(8000);
    replica.entry.set_zone(zone);
    replica.entry.set_kind(kind);
    replica.entry.set_backend(kind == proto::BACKEND_KIND_MODEL ? "model" : "service");
    replica.entry.set_state(proto::REPLICA_STATE_READY);
    replica.entry.set_capacity(capacity);
    replica.entry.set_instance_id(id + "/1");
    client->scripts[EndpointFor(replica).ToString()] =
        [this, &replica](const ExchangePtr& exchange) { Serve(replica, exchange); };
    ++list_version;
    return replica;
  }

  static Endpoint EndpointFor(const FakeReplica& replica) {
    return {replica.entry.endpoint().host(),
            static_cast<std::uint16_t>(replica.entry.endpoint().port())};
  }
  void SetState(FakeReplica& replica, proto::ReplicaState state) {
    replica.entry.set_state(state);
    ++list_version;
  }

  /// Builds the data plane, and lets it read the list and probe all replicas.
  void Start(Duration settle = seconds(1)) {
    first_plane = &AddPlane();
    pool = first_plane->pool.get();
    queue = first_plane->queue.get();
    live = first_plane->live.get();
    batch = first_plane->batch.get();
    world.RunFor(settle);
  }
  /// Adds one more gateway that uses the same replicas.
  GatewayPlane& AddPlane() {
    planes.push_back(std::make_unique<GatewayPlane>(*environment, *client, permission, options));
    planes.back()->pool->Start();
    return *planes.back();
  }
  /// Starts while all replicas report running calls, so that they are not in slow start.
  void StartWarm() {
    for (auto& [id, replica] : replicas) {
      replica.external_running = 1;
    }
    Start();
    for (auto& [id, replica] : replicas) {
      replica.external_running = 0;
    }
    world.RunFor(seconds(2));
  }
  /// Lets every replica report running calls of other clients for longer than slow start takes.
  void WarmUp() {
    for (auto& [id, replica] : replicas) {
      replica.external_running = 1;
    }
    world.RunFor(options.health.slow_start_time + seconds(3));
    for (auto& [id, replica] : replicas) {
      replica.external_running = 0;
    }
    world.RunFor(seconds(2));
  }

  std::shared_ptr<FakeResponder> Call(const std::string& route, const std::string& body = "{}",
                                      HttpHeaders headers = {}) {
    return first_plane->router.Post("/v1/call/" + route, body, std::move(headers));
  }
  static proto::CallError ErrorIn(const FakeResponder& responder) {
    proto::ErrorBody body;
    EXPECT_TRUE(FromJson(responder.body, &body, UnknownFields::kIgnore).ok()) << responder.body;
    return body.error();
  }

  SimulatedWorld world;
  Environment* environment = nullptr;
  std::unique_ptr<FakeHttpClient> client;
  FakeServingPermission permission;
  GatewayOptions options;
  std::map<std::string, FakeReplica> replicas;
  std::uint64_t list_version = 0;
  bool list_readable = true;
  Duration list_delay{};          ///< How long the platform takes to respond.
  bool second_responses = false;  ///< Whether replicas send some refusals a second time, late.
  std::function<void(const FakeReplica&)> on_arrival;  ///< Runs when a replica receives a call.
  std::vector<std::unique_ptr<GatewayPlane>> planes;
  GatewayPlane* first_plane = nullptr;
  ReplicaPool* pool = nullptr;  ///< Of the first plane, like the next three.
  CallQueue* queue = nullptr;
  LiveCallHandler* live = nullptr;
  ReplicaBackendCaller* batch = nullptr;

 private:
  void ServeList(const ExchangePtr& exchange) {
    environment->ScheduleAfter(list_delay, [this, exchange] { RespondWithList(exchange); });
  }

  void RespondWithList(const ExchangePtr& exchange) {
    const std::string etag = "\"" + std::to_string(list_version) + "\"";
    if (!list_readable) {
      exchange->Answer({500, {}, "broken"});
      return;
    }
    if (FindHeader(exchange->request.headers, "if-none-match") == etag) {
      exchange->Answer({304, {}, ""});
      return;
    }
    proto::ReplicaList list;
    list.set_version(list_version);
    for (const auto& [id, replica] : replicas) {
      *list.add_replicas() = replica.entry;
    }
    exchange->Answer({200, {{"ETag", etag}}, ToJson(list)});
  }

  HttpHeaders LoadHeaders(const FakeReplica& replica) const {
    return {{"x-cloverbank-load", std::to_string(replica.running + replica.external_running) +
                                      "/0/" + std::to_string(replica.entry.capacity())}};
  }

  void Serve(FakeReplica& replica, const ExchangePtr& exchange) {
    const bool probe = exchange->request.path == "/health";
    replica.probes += probe ? 1 : 0;
    proto::CallRequest request;
    if (!probe) {
      EXPECT_TRUE(FromJson(exchange->request.body, &request, UnknownFields::kIgnore).ok());
      replica.received.push_back(request.call_id());
      replica.running_at_arrival.push_back(replica.running);
      replica.exchanges.push_back(exchange);
      const bool full = replica.running >= replica.entry.capacity();
      if (replica.mode != FakeReplica::Mode::kRefuse && !full) {
        replica.executed.push_back(request);
      }
      if (on_arrival) {
        on_arrival(replica);
      }
      SendLateRefusal(replica, exchange);
    }
    switch (replica.mode) {
      case FakeReplica::Mode::kNoResponse:
        return;
      case FakeReplica::Mode::kRefuse:
        if (probe) {
          exchange->Answer({200, LoadHeaders(replica), ""});
        } else {
          Refuse(replica, exchange, 503);
        }
        return;
      case FakeReplica::Mode::kFail:
        exchange->Answer({probe ? 200 : 500, {}, ""});
        return;
      case FakeReplica::Mode::kServe:
      case FakeReplica::Mode::kScripted:
        break;
    }
    if (probe) {
      exchange->Answer({200, LoadHeaders(replica), "{}"});
    } else if (replica.mode == FakeReplica::Mode::kServe) {
      RunCall(replica, exchange, replica.received.back());
    }
  }

  void Refuse(FakeReplica& replica, const ExchangePtr& exchange, int status) {
    HttpResponse refusal{status, LoadHeaders(replica), ""};
    refusal.headers.emplace_back("X-Call-Id", replica.received.back());
    replica.late_refusal = refusal;
    exchange->Answer(std::move(refusal));
  }

  /// Sends the refusal of the previous call as the response to this one, which the replica goes on
  /// to handle, if the call may be on the same connection.
  void SendLateRefusal(FakeReplica& replica, const ExchangePtr& exchange) {
    if (!second_responses || !replica.late_refusal || exchange->request.new_connection ||
        world.RandomBelow(2) == 0) {
      return;
    }
    exchange->reused = true;
    const Duration delay = milliseconds(world.RandomBelow(20));
    environment->ScheduleAfter(delay, [exchange, late = *std::exchange(replica.late_refusal, {})] {
      exchange->Answer(late);
    });
  }

  void RunCall(FakeReplica& replica, const ExchangePtr& exchange, const std::string& call_id) {
    if (replica.running >= replica.entry.capacity()) {
      Refuse(replica, exchange, 429);
      return;
    }
    ++replica.running;
    replica.max_running = std::max(replica.max_running, replica.running);
    environment->ScheduleAfter(replica.work_time, [this, &replica, exchange, call_id] {
      const HttpHeaders load = LoadHeaders(replica);
      --replica.running;
      const std::string run = "run-of-" + call_id;
      if (exchange->request.path == "/generate") {
        const std::string lines =
            ChunkLine(run, call_id, 0, "hello ") + ChunkLine(run, call_id, 1, "world", true);
        exchange->Answer({200, load, lines});
        return;
      }
      proto::CallAnswer answer;
      answer.set_call_id(call_id);
      answer.set_run_id(run);
      answer.set_text("served");
      exchange->Answer({200, load, ToJson(answer)});
    });
  }
};

}  // namespace cloverbank
