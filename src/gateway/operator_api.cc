#include "gateway/operator_api.h"

#include <string>
#include <utility>

#include "calls/http_json.h"
#include "gateway/http_query.h"
#include "proto/coordinator.pb.h"

namespace cloverbank {
namespace {

/// Longer than the defaults, since clients of this interface wait instead of retrying at another
/// gateway.
constexpr OperatorTimeouts kTimeouts{.read = seconds(3), .order = seconds(10)};
constexpr std::uint32_t kNoHistory = 0;
constexpr std::uint32_t kDefaultHistoryLength = 50;
constexpr std::uint32_t kMaximumHistoryLength = 1000;
constexpr std::uint32_t kResendAfterMs = 1000;
constexpr std::size_t kMachineSegment = 2;  // /v1/stores/{machine}/retire

/// Reports that the outcome of a transaction is unknown because no response to it was received. The
/// operation id identifies the transaction when the client submits it again.
void SendLostTransaction(HttpResponder& responder, const Status& status,
                         const std::string& operation_id) {
  proto::CallError error;
  error.set_code("outcome_unknown");
  error.set_message("the outcome of this transaction is unknown (" + status.message() +
                    "); send the same transaction again with operation_id \"" + operation_id +
                    "\", to any gateway, to learn its outcome");
  error.set_executed(proto::EXECUTED_UNKNOWN);
  error.set_retry_after_ms(kResendAfterMs);
  SendError(responder, 503, error);
}

void SendConflict(HttpResponder& responder, const proto::TransactionResult& result) {
  proto::CallError error;
  error.set_code("version_conflict");
  error.set_message("expected_version is not the current version " +
                    std::to_string(result.version()) +
                    "; read the configuration again, base the changes on it and send them under "
                    "a new operation_id");
  error.set_executed(proto::EXECUTED_NO);
  error.set_current_version(result.version());
  *error.mutable_problems() = result.problems();
  SendError(responder, 409, error);
}

void SendInvalid(HttpResponder& responder, const proto::TransactionResult& result) {
  proto::CallError error;
  error.set_code("invalid_transaction");
  error.set_message(
      "no change of the transaction was applied; correct every problem listed and send it under "
      "a new operation_id");
  error.set_executed(proto::EXECUTED_NO);
  error.set_current_version(result.version());
  *error.mutable_problems() = result.problems();
  SendError(responder, 422, error);
}

void SendResult(HttpResponder& responder, const proto::TransactionResult& result) {
  switch (result.outcome()) {
    case proto::TRANSACTION_OUTCOME_APPLIED:
      SendJson(responder, 200, result);
      return;
    case proto::TRANSACTION_OUTCOME_VERSION_CONFLICT:
      SendConflict(responder, result);
      return;
    case proto::TRANSACTION_OUTCOME_INVALID:
      SendInvalid(responder, result);
      return;
    default:
      SendLostTransaction(responder, Status(StatusCode::kInternal, "the response has no outcome"),
                          result.operation_id());
  }
}

/// Whether `code` is a refusal that is certainly decided before any change is made.
bool IsRefusal(StatusCode code) {
  return code == StatusCode::kInvalidArgument || code == StatusCode::kConflict ||
         code == StatusCode::kResourceExhausted;
}

}  // namespace

OperatorApi::OperatorApi(HttpRouter& router, NodeAgent& agent)
    : operator_client_(agent, kTimeouts) {
  router.Handle("GET", "/v1/config", [this](const HttpRequest&, const Responder& responder) {
    GetConfiguration(responder);
  });
  router.Handle("GET", "/v1/config/history",
                [this](const HttpRequest& request, const Responder& responder) {
                  GetHistory(request, responder);
                });
  router.Handle("POST", "/v1/config/transactions",
                [this](const HttpRequest& request, const Responder& responder) {
                  SubmitTransaction(request, responder);
                });
  router.Handle("POST", "/v1/stores/{machine}/retire",
                [this](const HttpRequest& request, const Responder& responder) {
                  Retire(request, responder);
                });
}

void OperatorApi::GetConfiguration(const Responder& responder) {
  operator_client_.ReadConfiguration(
      kNoHistory, [responder](Result<proto::GetConfigurationResponse> result) {
        if (!result.ok()) {
          SendStatus(*responder, ToReadFailure(result.status()), proto::EXECUTED_NO);
          return;
        }
        result->mutable_configuration();  // So that the JSON has the field even if it is empty.
        SendJson(*responder, 200, *result);
      });
}

void OperatorApi::GetHistory(const HttpRequest& request, const Responder& responder) {
  const Result<std::uint32_t> limit = ParseLimit(
      request.query, {.default_limit = kDefaultHistoryLength, .maximum = kMaximumHistoryLength});
  if (!limit.ok()) {
    SendStatus(*responder, limit.status(), proto::EXECUTED_NO);
    return;
  }
  operator_client_.ReadConfiguration(
      *limit, [responder](Result<proto::GetConfigurationResponse> result) {
        if (!result.ok()) {
          SendStatus(*responder, ToReadFailure(result.status()), proto::EXECUTED_NO);
          return;
        }
        result->clear_configuration();
        SendJson(*responder, 200, *result);
      });
}

void OperatorApi::SubmitTransaction(const HttpRequest& request, const Responder& responder) {
  proto::ConfigurationTransaction transaction;
  Status read = FromJson(request.body, &transaction);
  if (read.ok() && transaction.operation_id().empty()) {
    read = Status(StatusCode::kInvalidArgument,
                  "operation_id is missing: choose an id for this transaction and keep it when "
                  "resending, so that it is applied only once");
  }
  if (read.ok() && transaction.any_version()) {
    read = Status(StatusCode::kInvalidArgument,
                  "any_version: a transaction must name the version that it builds on");
  }
  if (!read.ok()) {
    SendStatus(*responder, read, proto::EXECUTED_NO);
    return;
  }
  operator_client_.Submit(transaction, [responder, operation_id = transaction.operation_id()](
                                           const Result<proto::SubmitTransactionResponse>& result) {
    if (result.ok()) {
      SendResult(*responder, result->result());
    } else if (IsRefusal(result.status().code())) {
      SendStatus(*responder, result.status(), proto::EXECUTED_NO);
    } else {
      SendLostTransaction(*responder, result.status(), operation_id);
    }
  });
}

void OperatorApi::Retire(const HttpRequest& request, const Responder& responder) {
  proto::RetireServerRequest retire;
  retire.set_machine(std::string(PathSegment(request.path, kMachineSegment)));
  const std::string_view cancel = FindHeader(request.query, "cancel");
  if (!cancel.empty() && cancel != "true" && cancel != "false") {
    SendStatus(*responder,
               Status(StatusCode::kInvalidArgument,
                      "cancel: found \"" + std::string(cancel) + "\", expected true or false"),
               proto::EXECUTED_NO);
    return;
  }
  retire.set_cancel(cancel == "true");
  operator_client_.Retire(retire, [responder](const Result<proto::RetireServerResponse>& result) {
    if (result.ok()) {
      SendJson(*responder, 200, *result);
      return;
    }
    const StatusCode code = result.status().code();
    const bool refused = IsRefusal(code) || code == StatusCode::kNotFound;
    SendStatus(*responder, result.status(), refused ? proto::EXECUTED_NO : proto::EXECUTED_UNKNOWN);
  });
}

}  // namespace cloverbank
