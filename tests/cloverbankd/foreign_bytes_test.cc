// Bytes of operators and clients that are not UTF-8 and may reach an error text: each request gets
// an answer and the process goes on.
#include <memory>
#include <ostream>

#include "cloverbankd/daemon_process.h"

namespace cloverbank {
namespace {

constexpr int kMachines = 3;
constexpr std::uint16_t kCallsPort = 7410;
constexpr std::uint16_t kReadyPort = 7411;
constexpr std::uint16_t kControlPort = 7412;
constexpr int kSuccess = 200;
constexpr const char* kHost = "shop.example";
constexpr const char* kConfiguration =
    R"({"version":1,"routes":[)"
    R"({"name":"once","host":"shop.example","prefix":"/once/","kind":"stream","timeout_ms":1000,)"
    R"("service":"model"},)"
    R"({"name":"lots","host":"shop.example","prefix":"/batch/","kind":"batch","timeout_ms":1000,)"
    R"("service":"model"}],"services":[{"name":"model"}]})";

struct ForeignBytes {
  std::string name;
  std::uint16_t port = 0;
  std::string method;
  std::string target;
  HttpHeaders headers = {};
  std::string body = {};
};

void PrintTo(const ForeignBytes& request, std::ostream* out) { *out << request.name; }

class ForeignBytesTest : public ::testing::TestWithParam<ForeignBytes> {
 protected:
  static void SetUpTestSuite() {
    std::string pattern = std::filesystem::temp_directory_path() / "foreign-bytes-XXXXXX";
    folder = mkdtemp(pattern.data());
    for (int number = 1; number <= kMachines; ++number) {
      const std::string address = MachineAddress(number);
      const auto endpoint = [&](std::uint16_t port) {
        return "\"" + address + ":" + std::to_string(port) + "\"\n";
      };
      DaemonSettings settings;
      settings.roles = R"(["gateway", "coordinator", "backup"])";
      settings.tables = "[front]\ncalls = " + endpoint(kCallsPort) +
                        "ready = " + endpoint(kReadyPort) + "control = " + endpoint(kControlPort) +
                        "[platform]\nadapter = true\nreplica_list = " + endpoint(kReadyPort);
      machines.push_back(std::make_unique<DaemonProcess>(folder, number, settings));
      machines.back()->Start();
    }
    PutConfiguration();
  }
  static void TearDownTestSuite() {
    machines.clear();
    std::filesystem::remove_all(folder);
  }

  static bool IsSuccess(const HttpOutcome& outcome) {
    return outcome.kind == HttpOutcomeKind::kAnswered && outcome.response.status == kSuccess;
  }

  /// Sends the first configuration until it is acknowledged.
  static void PutConfiguration() {
    HttpRequest put;
    put.method = "POST";
    put.target = "/config/put";
    put.headers = {{"Base-Version", "0"}};
    put.body = kConfiguration;
    bool acknowledged = false;
    for (int attempt = 0; attempt < 400 && !acknowledged; ++attempt) {
      acknowledged = IsSuccess(machines[0]->Send(kControlPort, put));
      std::this_thread::sleep_for(milliseconds(50));
    }
    ASSERT_TRUE(acknowledged) << machines[0]->ReadLog();
  }

  inline static std::filesystem::path folder;
  inline static std::vector<std::unique_ptr<DaemonProcess>> machines;
};

TEST_P(ForeignBytesTest, GetAnErrorAndLeaveTheProcessRunning) {
  const ForeignBytes& foreign = GetParam();
  HttpRequest request;
  request.method = foreign.method;
  request.target = foreign.target;
  request.headers = foreign.headers;
  request.headers.emplace_back("Host", kHost);
  request.body = foreign.body;
  DaemonProcess& machine = *machines[0];
  const HttpOutcome outcome = machine.Send(foreign.port, std::move(request));
  EXPECT_EQ(outcome.kind, HttpOutcomeKind::kAnswered) << outcome.reason;
  EXPECT_GE(outcome.response.status, 400);
  EXPECT_NE(outcome.response.status, 500) << outcome.response.body;
  ASSERT_TRUE(IsSuccess(machine.Call("GET", "/health")));
  ASSERT_TRUE(machine.IsRunning()) << machine.ReadLog();
}

HttpHeaders Identified(const std::string& id) { return {{"Request-Id", id}}; }

std::vector<ForeignBytes> OperatorRequests() {
  const HttpHeaders base = {{"Base-Version", "1"}};
  const std::string patch = R"({"version":3,"upsert":{"routes":[{"name":")";
  return {
      {"PutValue", kControlPort, "POST", "/config/put", base, "{\"a\":\"\xff\xfe\"}"},
      {"PutKey", kControlPort, "POST", "/config/put", base, "{\"\xff\":1}"},
      {"PutBytes", kControlPort, "POST", "/config/put", base, "\xff\xfe"},
      {"PutCutCharacter", kControlPort, "POST", "/config/put", base, "{\"version\":\"\xe2\x82\"}"},
      {"PutBaseVersion", kControlPort, "POST", "/config/put", {{"Base-Version", "\xff"}}, "{}"},
      {"PatchName", kControlPort, "POST", "/config/patch", base, patch + "\xff\"}]}}"},
      {"PatchBytes", kControlPort, "POST", "/config/patch", base, "\xff"},
      {"EvacuatedZone", kControlPort, "POST", "/evacuate/%ff%fe/start"},
      {"EvacuationChange", kControlPort, "POST", "/evacuate/zone/%ff"},
      {"RetiredMachine", kControlPort, "POST", "/retire/%ff%fe/start", {}, "{\"period_s\":1}"},
      {"RetirementState", kControlPort, "GET", "/retire/%ff/get"},
      {"ControlPath", kControlPort, "GET", "/%ff"},
      {"Transaction", kClientPort, "POST", "/v1/config/transactions", {}, "{\"\xff\":1}"}};
}

std::vector<ForeignBytes> ClientRequests() {
  const std::string item = R"({"items":[{"id":"i","path":"/batch/x","body":"","tokens":1}]})";
  return {{"CallPath", kCallsPort, "POST", "/nowhere/%ff", Identified("c1")},
          {"CallRawPath", kCallsPort, "POST", "/nowhere/\xff", Identified("c2")},
          {"CallId", kCallsPort, "POST", "/once/x", Identified("\xff\xfe"), "x"},
          {"CallBody", kCallsPort, "POST", "/once/x", Identified("c3"), "\xff\xfe"},
          {"BatchItemId", kCallsPort, "POST", "/batch/1", Identified("b1"),
           "{\"items\":[{\"id\":\"\xff\"}]}"},
          {"BatchBytes", kCallsPort, "POST", "/batch/1", Identified("b2"), "\xff\xfe"},
          {"BatchId", kCallsPort, "POST", "/batch/1", Identified("\xff"), item},
          {"ReadBatch", kCallsPort, "GET", "/lots/%ff?since_rev=0"},
          {"ReadPosition", kCallsPort, "GET", "/lots/b1?since_rev=%ff"},
          {"EndBatch", kCallsPort, "DELETE", "/lots/%ff%fe"},
          {"ReadItem", kCallsPort, "GET", "/items/%ff?id=%ff"},
          {"RouteName", kClientPort, "POST", "/v1/call/%ff", {}, "{}"},
          {"Prompt", kClientPort, "POST", "/v1/call/once", {}, "{\"prompt\":\"\xff\"}"},
          {"SubmittedBatch", kClientPort, "POST", "/v1/batches", {}, "{\"\xff\":1}"},
          {"BatchName", kClientPort, "GET", "/v1/batches/%ff"},
          {"ClientPath", kClientPort, "GET", "/v1/%ff"}};
}

std::string TestName(const ::testing::TestParamInfo<ForeignBytes>& info) { return info.param.name; }

INSTANTIATE_TEST_SUITE_P(Operator, ForeignBytesTest, ::testing::ValuesIn(OperatorRequests()),
                         TestName);
INSTANTIATE_TEST_SUITE_P(Client, ForeignBytesTest, ::testing::ValuesIn(ClientRequests()), TestName);

}  // namespace
}  // namespace cloverbank
