#include <utility>

#include "json/json.h"
#include "net/http_status.h"
#include "replicas/replica_list_reader.h"

namespace cloverbank {
namespace {

constexpr int kHttpNotModified = 304;

class JsonListReader final : public ReplicaListReader {
 public:
  JsonListReader(HttpClient& client, ReplicaListOptions options)
      : client_(client), options_(std::move(options)) {}
  ~JsonListReader() override {
    if (call_ != nullptr) {
      call_->Cancel();
    }
  }
  JsonListReader(const JsonListReader&) = delete;
  JsonListReader& operator=(const JsonListReader&) = delete;

  void Read(Duration deadline, std::function<void(ListReadResult)> done) override {
    HttpRequest request;
    request.method = "GET";
    request.path = options_.path;
    if (!accepted_tag_.empty()) {
      request.headers.emplace_back("If-None-Match", accepted_tag_);
    }
    call_ = client_.Call(options_.endpoint, std::move(request), deadline,
                         [this, alive = std::weak_ptr<bool>(alive_),
                          done = std::move(done)](const HttpOutcome& outcome) {
                           if (!alive.expired()) {
                             done(ToReadResult(outcome));
                           }
                         });
  }

  void Accepted() override { accepted_tag_ = read_tag_; }

 private:
  ListReadResult ToReadResult(const HttpOutcome& outcome) {
    ListReadResult result;
    if (outcome.kind != HttpOutcomeKind::kAnswered) {
      result.outcome = OutcomeWithoutResponse(outcome);
      return result;
    }
    if (outcome.response.status != kHttpOk) {
      const bool unchanged = outcome.response.status == kHttpNotModified;
      result.outcome = unchanged ? ListReadOutcome::kUnchanged : ListReadOutcome::kRefused;
      return result;
    }
    const Status status = FromJson(outcome.response.body, &result.list, UnknownFields::kIgnore);
    result.outcome = status.ok() ? ListReadOutcome::kRead : ListReadOutcome::kMalformed;
    result.reason = status.message();
    read_tag_ = std::string(FindHeader(outcome.response.headers, "etag"));
    return result;
  }

  HttpClient& client_;
  ReplicaListOptions options_;
  std::string read_tag_;
  std::string accepted_tag_;
  std::shared_ptr<HttpCall> call_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace

ListReadOutcome OutcomeWithoutResponse(const HttpOutcome& outcome) {
  return outcome.kind == HttpOutcomeKind::kNotSent ? ListReadOutcome::kNotConnected
                                                   : ListReadOutcome::kNoResponse;
}

std::unique_ptr<ReplicaListReader> MakeJsonListReader(HttpClient& client,
                                                      const ReplicaListOptions& options) {
  return std::make_unique<JsonListReader>(client, options);
}

std::unique_ptr<ReplicaListReader> MakeReplicaListReader(HttpClient& client,
                                                         const ReplicaListOptions& options) {
  return options.make_reader ? options.make_reader(client) : MakeJsonListReader(client, options);
}

}  // namespace cloverbank
