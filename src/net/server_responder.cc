#include "net/server_responder.h"

#include <utility>

#include "net/server_connection.h"

namespace cloverbank {
namespace {

class ServerResponder : public HttpResponder {
 public:
  ServerResponder(std::shared_ptr<ServerConnection> connection, std::uint64_t call)
      : connection_(std::move(connection)), call_(call) {}
  ~ServerResponder() override { connection_->OnResponderDestroyed(call_); }
  ServerResponder(const ServerResponder&) = delete;
  ServerResponder& operator=(const ServerResponder&) = delete;

  void Send(HttpResponse response) override { connection_->Send(call_, std::move(response)); }
  void StartStream(int status, HttpHeaders headers) override {
    connection_->StartStream(call_, status, headers);
  }
  void WriteChunk(std::string chunk, std::function<void(bool alive)> written) override {
    connection_->WriteChunk(call_, chunk, std::move(written));
  }
  void FinishStream() override { connection_->FinishStream(call_); }
  void Abort() override { connection_->Abort(call_); }
  void OnDisconnect(std::function<void()> on_disconnect) override {
    connection_->OnDisconnect(call_, std::move(on_disconnect));
  }

 private:
  std::shared_ptr<ServerConnection> connection_;
  std::uint64_t call_;
};

}  // namespace

std::shared_ptr<HttpResponder> MakeServerResponder(std::shared_ptr<ServerConnection> connection,
                                                   std::uint64_t call) {
  return std::make_shared<ServerResponder>(std::move(connection), call);
}

}  // namespace cloverbank
