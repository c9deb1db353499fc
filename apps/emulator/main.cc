/// @file
/// cloverbank-emulator: emulates the replicas and the platform of a deployment on this machine.

#include <CLI/CLI.hpp>
#include <cstdio>

#include "emulator/emulator.h"

int main(int argc, char** argv) {
  CLI::App app{"Emulates the model replicas, plain services and the replica list of a deployment."};
  std::string fleet_file;
  std::string witness_path;
  app.add_option("--fleet", fleet_file, "Description of the deployment (fleet.toml)")->required();
  app.add_option("--witness", witness_path,
                 "File for one JSON line per start, refusal and end of a call");
  CLI11_PARSE(app, argc, argv);

  auto deployment = cloverbank::LoadDeployment(fleet_file);
  if (!deployment.ok()) {
    std::fprintf(stderr, "%s\n", deployment.status().message().c_str());
    return 2;
  }
  cloverbank::EventLoop loop;
  cloverbank::Emulator emulator(loop, std::move(deployment).value());
  const cloverbank::Status status = emulator.Start(witness_path);
  if (!status.ok()) {
    std::fprintf(stderr, "cloverbank-emulator: %s\n", status.ToString().c_str());
    return 1;
  }
  loop.OnStopSignal([&loop](int) { loop.Stop(); });
  loop.Run();
  return 0;
}
