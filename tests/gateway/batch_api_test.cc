#include "gateway/batch_api.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "control_client/batch_partitions.h"
#include "control_client/fake_control.h"
#include "gateway/adapter_harness.h"
#include "gateway/batch_owner_call.h"

namespace cloverbank {
namespace {

using testing::HasSubstr;

/// What a queue node has received, and how it responds.
struct FakeOwner {
  std::vector<proto::SubmitBatchRequest> submissions;
  std::vector<std::string> cancelled;
  Status refusal;       ///< If not OK, the response to every request.
  bool silent = false;  ///< Executes requests but never responds.
  bool resent = false;
  Status find_result = Status(StatusCode::kNotFound, "no such batch");  ///< Of FindSubmission.
};

class FakeOwnerNode {
 public:
  FakeOwnerNode(Environment& environment, FakeOwner& owner)
      : environment_(environment), owner_(owner) {
    Serve<proto::SubmitBatchRequest, proto::SubmitBatchResponse>(
        "queue.SubmitBatch", [this](const auto& request, auto* response) {
          owner_.submissions.push_back(request);
          response->mutable_status()->set_batch_id("0-1f");
          response->set_resent(owner_.resent);
        });
    ServePeer<proto::SubmitBatchRequest, proto::SubmitBatchResponse>(
        environment_, "queue.FindSubmission",
        [this](const auto& /*request*/, const auto& /*from*/, auto reply) {
          if (!owner_.find_result.ok()) {
            reply(owner_.find_result);
            return;
          }
          proto::SubmitBatchResponse response;
          response.mutable_status()->set_batch_id("0-1f");
          response.set_resent(true);
          reply(response);
        });
    Serve<proto::CancelBatchRequest, proto::CancelBatchResponse>(
        "queue.CancelBatch", [this](const auto& request, auto* response) {
          owner_.cancelled.push_back(request.batch_id());
          response->mutable_status()->set_state(proto::BATCH_STATE_CANCELLED);
        });
    Serve<proto::GetBatchRequest, proto::GetBatchResponse>(
        "queue.GetBatch", [](const auto& request, auto* response) {
          response->mutable_status()->set_batch_id(request.batch_id());
        });
    Serve<proto::ListBatchesRequest, proto::ListBatchesResponse>(
        "queue.ListBatches", [](const auto& request, auto* response) {
          response->mutable_list()->set_next_cursor(request.cursor() + "+" +
                                                    std::to_string(request.limit()));
        });
    Serve<proto::ListResultsRequest, proto::ListResultsResponse>(
        "queue.ListResults", [](const auto& request, auto* response) {
          response->mutable_list()->add_results()->set_custom_id(request.batch_id());
        });
  }

 private:
  template <typename Request, typename Response, typename Handler>
  void Serve(std::string_view method, Handler handler) {
    ServePeer<Request, Response>(environment_, method,
                                 [this, handler](const Request& request, const std::string&,
                                                 std::function<void(Result<Response>)> reply) {
                                   if (!owner_.refusal.ok()) {
                                     reply(owner_.refusal);
                                     return;
                                   }
                                   Response response;
                                   handler(request, &response);
                                   if (!owner_.silent) {
                                     reply(response);
                                   }
                                 });
  }

  Environment& environment_;
  FakeOwner& owner_;
};

struct BatchGateway {
  BatchGateway(Environment& environment, const NodeAgentOptions& options)
      : agent(environment, options), batches(environment, http, agent) {
    agent.Start();
  }
  NodeAgent agent;
  AdapterHarness http;
  BatchApi batches;
};

class BatchApiTest : public testing::Test {
 protected:
  BatchApiTest() {
    NodeAgentOptions options;
    options.role = proto::ROLE_GATEWAY;
    options.coordinators = AddFakeCoordinators(world, control);
    AddOwner("q1", q1, 101);
    AddOwner("q2", q2, 102);
    AddRoute("audit", true);
    AddRoute("live-only", false);
    world.AddMachine("g", "10.0.0.1")
        .SetProgram([this, options](Environment& environment, DataFolder&) {
          auto created = std::make_shared<BatchGateway>(environment, options);
          gateway = created.get();
          return created;
        });
    world.machine("g").Start();
    SetOwner(101);
  }

  void AddOwner(const std::string& name, FakeOwner& owner, std::uint64_t node_id) {
    SimulatedMachine& machine = world.AddMachine(name, "10.0.2." + name.substr(1));
    machine.SetProgram([&owner](Environment& environment, DataFolder&) {
      return std::make_shared<FakeOwnerNode>(environment, owner);
    });
    machine.Start();
    proto::Server* server = control.fleet.add_servers();
    server->set_node_id(node_id);
    server->mutable_peer_endpoint()->set_host(machine.endpoint().host);
    server->mutable_peer_endpoint()->set_port(machine.endpoint().port);
  }
  void AddRoute(const std::string& name, bool accepts_batches) {
    control.AddRoute(name);
    control.changes.back().mutable_set_route()->set_accepts_batches(accepts_batches);
    control.changes.back().mutable_set_route()->set_idempotent(true);
  }
  /// Assigns every partition to `node` (0: to none), and waits until the gateway knows it.
  void SetOwner(std::uint64_t node) {
    control.fleet.clear_partitions();
    for (std::uint64_t id = 0; id < 12; ++id) {
      proto::Partition* partition = control.fleet.add_partitions();
      partition->set_partition_id(id);
      partition->set_owner(node);
    }
    control.fleet.set_to_version(control.fleet.to_version() + 1);
    ASSERT_TRUE(world.RunUntil(
        [this] {
          return gateway->agent.fleet().version.value() == control.fleet.to_version() &&
                 gateway->agent.HasValidLease();
        },
        seconds(5)));
  }
  std::shared_ptr<RecordedResponse> Finish(std::shared_ptr<RecordedResponse> answer) {
    world.RunUntil([&answer] { return answer->count > 0; }, seconds(12));
    EXPECT_EQ(answer->count, 1);
    return answer;
  }
  std::shared_ptr<RecordedResponse> Submit(const std::string& body = kBatch) {
    return gateway->http.Send("POST", "/v1/batches", body);
  }

  static constexpr const char* kBatch = R"({"tenant": "depot", "idempotency_key": "k1",
      "route": "audit", "items": [{"custom_id": "a", "prompt": "p"}]})";

  FakeControl control;
  FakeOwner q1;
  FakeOwner q2;
  BatchGateway* gateway = nullptr;
  SimulatedWorld world{5};
};

TEST_F(BatchApiTest, Returns201ForANewAnd200ForAResentBatch) {
  EXPECT_EQ(Finish(Submit())->response.status, 201);
  ASSERT_EQ(q1.submissions.size(), 1U);
  EXPECT_EQ(q1.submissions[0].partition_id(), PartitionForTenant("depot", 12).value());
  EXPECT_TRUE(q1.submissions[0].idempotent());
  q1.resent = true;
  const auto again = Finish(Submit());
  EXPECT_EQ(again->response.status, 200);
  EXPECT_EQ(again->Body<proto::BatchStatus>().batch_id(), "0-1f");
}

TEST_F(BatchApiTest, ReadsTenantAndKeyFromHeaders) {
  const std::string body = R"({"route": "audit", "items": [{"custom_id": "a"}]})";
  const auto answer = Finish(gateway->http.Send(
      "POST", "/v1/batches", body, {{"x-tenant", "depot"}, {"idempotency-key", "k2"}}));
  EXPECT_EQ(answer->response.status, 201);
  EXPECT_EQ(q1.submissions[0].batch().tenant(), "depot");
  EXPECT_EQ(q1.submissions[0].batch().idempotency_key(), "k2");
  const auto differing =
      Finish(gateway->http.Send("POST", "/v1/batches", kBatch, {{"X-Tenant", "other"}}));
  EXPECT_EQ(differing->response.status, 400);
  const auto missing = Finish(gateway->http.Send("POST", "/v1/batches", body));
  EXPECT_EQ(missing->response.status, 400);
  EXPECT_THAT(missing->Error().message(), HasSubstr("X-Tenant"));
}

TEST_F(BatchApiTest, RefusesAnInvalidBatchWithEveryProblem) {
  const auto answer = Finish(Submit(R"({"tenant": "depot", "idempotency_key": "k",
      "route": "live-only", "items": [{"custom_id": "a"}, {"custom_id": ""}, {"custom_id": "a"}]})"));
  EXPECT_EQ(answer->response.status, 422);
  const proto::CallError error = answer->Error();
  EXPECT_EQ(error.executed(), proto::EXECUTED_NO);
  ASSERT_EQ(error.problems_size(), 3);
  EXPECT_THAT(error.problems(0), HasSubstr("live-only"));
  EXPECT_THAT(error.problems(1), HasSubstr("items[1].custom_id: is missing"));
  EXPECT_THAT(error.problems(2), HasSubstr("items[2].custom_id: \"a\" is used by items[0]"));
  EXPECT_TRUE(q1.submissions.empty());
}

// Guards against refusing an accepted batch that comes again after its route was removed (KNOWN-RED
// 15).
TEST_F(BatchApiTest, AnswersTheResendOfABatchWhoseRouteIsGone) {
  const std::string body = R"({"tenant": "depot", "idempotency_key": "k1", "route": "removed",
      "items": [{"custom_id": "a", "prompt": "p"}]})";
  EXPECT_EQ(Finish(Submit(body))->response.status, 422) << "it was never accepted";
  q1.find_result = Status(StatusCode::kConflict, "accepted with other content");
  EXPECT_EQ(Finish(Submit(body))->response.status, 422);
  q1.find_result = Status(StatusCode::kResourceExhausted, "overloaded");
  EXPECT_EQ(Finish(Submit(body))->response.status, 503) << "not known whether it was accepted";
  q1.find_result = Status::Ok();
  const auto resent = Finish(Submit(body));
  EXPECT_EQ(resent->response.status, 200);
  EXPECT_EQ(resent->Body<proto::BatchStatus>().batch_id(), "0-1f");
  EXPECT_TRUE(q1.submissions.empty()) << "nothing may be accepted without a route";
}

TEST_F(BatchApiTest, WaitsForAPartitionOwner) {
  SetOwner(0);
  const auto answer = Submit();
  world.RunFor(seconds(3));
  EXPECT_EQ(answer->count, 0);
  SetOwner(102);
  EXPECT_EQ(Finish(answer)->response.status, 201);
  EXPECT_EQ(q2.submissions.size(), 1U);
}

TEST_F(BatchApiTest, Returns503WithoutAnOwner) {
  SetOwner(0);
  for (const auto& answer :
       {Submit(), gateway->http.Send("GET", "/v1/batches/3-1f"),
        gateway->http.Send("GET", "/v1/batches", "", {{"X-Tenant", "depot"}})}) {
    EXPECT_EQ(Finish(answer)->response.status, 503);
    EXPECT_EQ(answer->Error().executed(), proto::EXECUTED_NO);
    EXPECT_FALSE(answer->Header("Retry-After").empty());
  }
}

TEST_F(BatchApiTest, ResendsASubmissionToANewOwner) {
  q1.silent = true;
  const auto answer = Submit();
  world.RunFor(seconds(1));
  ASSERT_EQ(q1.submissions.size(), 1U);
  SetOwner(102);
  EXPECT_EQ(Finish(answer)->response.status, 201);
  ASSERT_EQ(q2.submissions.size(), 1U);
  EXPECT_EQ(q2.submissions[0].batch().idempotency_key(), "k1");
}

TEST_F(BatchApiTest, ReturnsUnknownIfTheOwnerDoesNotRespond) {
  q1.silent = true;
  const auto submitted = Finish(Submit());
  EXPECT_EQ(submitted->response.status, 504);
  EXPECT_EQ(submitted->Error().executed(), proto::EXECUTED_UNKNOWN);
  EXPECT_THAT(submitted->Error().message(), HasSubstr("same idempotency key"));
  const auto read = Finish(gateway->http.Send("GET", "/v1/batches/3-1f"));
  EXPECT_EQ(read->response.status, 503) << "a read changes nothing";
  EXPECT_EQ(read->Error().executed(), proto::EXECUTED_NO);
}

TEST_F(BatchApiTest, StaysUnknownIfTheNewOwnerIsUnreachable) {
  q1.silent = true;
  q2.refusal = Status(StatusCode::kUnavailable, "too few copies");
  const auto answer = Submit();
  world.RunFor(seconds(1));
  SetOwner(102);
  EXPECT_EQ(Finish(answer)->response.status, 504);
  EXPECT_EQ(answer->Error().executed(), proto::EXECUTED_UNKNOWN);
}

TEST_F(BatchApiTest, RetriesWhenANodeIsNotTheOwner) {
  q1.refusal = Status(StatusCode::kConflict, "not mine", std::string(kNotOwnerDetail));
  const auto answer = gateway->http.Send("GET", "/v1/batches/3-1f");
  world.RunFor(seconds(1));
  EXPECT_EQ(answer->count, 0);
  SetOwner(102);
  EXPECT_EQ(Finish(answer)->Body<proto::BatchStatus>().batch_id(), "3-1f");
}

TEST_F(BatchApiTest, ForwardsTheOwnersRefusals) {
  q1.refusal = Status(StatusCode::kConflict, "the key belongs to another batch");
  EXPECT_EQ(Finish(Submit())->response.status, 409);
  q1.refusal = Status(StatusCode::kResourceExhausted, "too many open items");
  const auto full = Finish(Submit());
  EXPECT_EQ(full->response.status, 429);
  EXPECT_EQ(full->Error().executed(), proto::EXECUTED_NO);
  q1.refusal = Status(StatusCode::kNotFound, "no such batch");
  EXPECT_EQ(Finish(gateway->http.Send("GET", "/v1/batches/3-1f"))->response.status, 404);
}

TEST_F(BatchApiTest, ListsBatchesAndResultsAndCancels) {
  const auto list = Finish(gateway->http.Send(
      "GET", "/v1/batches", "", {}, {{"tenant", "depot"}, {"cursor", "p9"}, {"limit", "3"}}));
  EXPECT_EQ(list->Body<proto::BatchList>().next_cursor(), "p9+3");
  const auto results = Finish(gateway->http.Send("GET", "/v1/batches/3-1f/results"));
  EXPECT_EQ(results->Body<proto::ResultList>().results(0).custom_id(), "3-1f");
  const auto cancel = Finish(gateway->http.Send("POST", "/v1/batches/3-1f/cancel"));
  EXPECT_EQ(cancel->Body<proto::BatchStatus>().state(), proto::BATCH_STATE_CANCELLED);
  EXPECT_EQ(q1.cancelled, std::vector<std::string>{"3-1f"});
}

TEST_F(BatchApiTest, Returns404ForUnknownPartitions) {
  for (const char* id : {"12-1f", "x", "3", "-3-1f", "99999999999999999999-1"}) {
    const auto answer = gateway->http.Send("GET", std::string("/v1/batches/") + id);
    EXPECT_EQ(answer->response.status, 404) << id;
  }
}

TEST_F(BatchApiTest, RefusesWithoutALease) {
  world.Isolate("g");
  world.RunFor(seconds(4));
  const auto answer = Submit();
  EXPECT_EQ(answer->response.status, 503);
  EXPECT_EQ(answer->Error().executed(), proto::EXECUTED_NO);
}

}  // namespace
}  // namespace cloverbank
