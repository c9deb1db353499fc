#include "net/server_responder.h"

#include <utility>

#include "net/server_connection.h"

namespace cloverbank {
namespace {

class ServerResponder : public HttpResponder {
 public:
  ServerResponder(std::shared_ptr<ServerConnection> connection, std::uint64_t request_number)
      : connection_(std::move(connection)), request_number_(request_number) {}
  ~ServerResponder() override { connection_->OnResponderDestroyed(request_number_); }
  ServerResponder(const ServerResponder&) = delete;
  ServerResponder& operator=(const ServerResponder&) = delete;

  void Send(HttpResponse response) override {
    connection_->Send(request_number_, std::move(response));
  }
  void StartStream(int status, HttpHeaders headers) override {
    connection_->StartStream(request_number_, status, headers);
  }
  void WriteChunk(std::string chunk, std::function<void(bool alive)> written) override {
    connection_->WriteChunk(request_number_, chunk, std::move(written));
  }
  void FinishStream() override { connection_->FinishStream(request_number_); }
  void Abort() override { connection_->Abort(request_number_); }
  void OnDisconnect(std::function<void()> on_disconnect) override {
    connection_->OnDisconnect(request_number_, std::move(on_disconnect));
  }

 private:
  std::shared_ptr<ServerConnection> connection_;
  std::uint64_t request_number_;
};

}  // namespace

std::shared_ptr<HttpResponder> MakeServerResponder(std::shared_ptr<ServerConnection> connection,
                                                   std::uint64_t request_number) {
  return std::make_shared<ServerResponder>(std::move(connection), request_number);
}

}  // namespace cloverbank
