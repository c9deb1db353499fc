// The platform's list of replicas, as read from its pages.
#include "platform/instance_list.h"

#include <gtest/gtest.h>

#include "replicas/fake_http.h"
#include "simulation/simulated_world.h"

namespace cloverbank::platform {
namespace {

TEST(InstanceListTest, AListThatIsNotUtf8IsMalformed) {
  SimulatedWorld world(1);
  Environment* environment = nullptr;
  SimulatedMachine& machine = world.AddMachine("gateway", "127.0.0.1");
  machine.SetProgram([&](Environment& given, DataFolder&) {
    environment = &given;
    return std::shared_ptr<void>();
  });
  machine.Start();
  FakeHttpClient client(*environment);
  const Endpoint list{"127.0.0.2", 80};
  const auto reader = MakeInstanceListReader(client, list);
  for (const char* body : {"\xff\xfe", "{\"instances\":[{\"service\":\"\xff\"}]}"}) {
    client.scripts[list.ToString()] = [body](const ExchangePtr& exchange) {
      exchange->Answer({200, {}, body});
    };
    std::optional<ListReadOutcome> outcome;
    reader->Read(seconds(1), [&](const ListReadResult& result) { outcome = result.outcome; });
    world.RunFor(milliseconds(100));
    EXPECT_EQ(outcome, ListReadOutcome::kMalformed);
  }
}

}  // namespace
}  // namespace cloverbank::platform
