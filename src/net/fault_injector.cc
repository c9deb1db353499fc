#include "net/fault_injector.h"

#include <google/protobuf/util/json_util.h>

#include <memory>

#include "base/logging.h"
#include "net/http_error.h"
#include "net/http_types.h"
#include "proto/faults.pb.h"

namespace cloverbank {

void FaultInjector::SetBlocked(const std::vector<std::string>& addresses) {
  blocked_ = {addresses.begin(), addresses.end()};
  Log(LogLevel::kWarning, "fault_injection_set", {{"blocked_addresses", blocked_.size()}});
}

void FaultInjector::ServeAdmin(HttpRouter& router) {
  const auto send_current = [this](HttpResponder& responder) {
    proto::FaultSettings settings;
    settings.mutable_blocked()->Assign(blocked_.begin(), blocked_.end());
    HttpResponse response;
    response.headers.emplace_back("Content-Type", "application/json");
    const auto printed = google::protobuf::util::MessageToJsonString(settings, &response.body);
    response.status = printed.ok() ? 200 : 500;
    responder.Send(std::move(response));
  };
  router.Handle(
      "GET", "/admin/faults",
      [send_current](const HttpRequest&, const std::shared_ptr<HttpResponder>& responder) {
        send_current(*responder);
      });
  router.Handle("POST", "/admin/faults",
                [this, send_current](const HttpRequest& request,
                                     const std::shared_ptr<HttpResponder>& responder) {
                  proto::FaultSettings settings;
                  const auto parsed =
                      google::protobuf::util::JsonStringToMessage(request.body, &settings);
                  if (!parsed.ok()) {
                    responder->Send(MakeErrorResponse(400, "invalid_argument", parsed.ToString(),
                                                      proto::EXECUTED_NO));
                    return;
                  }
                  SetBlocked({settings.blocked().begin(), settings.blocked().end()});
                  send_current(*responder);
                });
}

}  // namespace cloverbank
