/// @file
/// Entry point of the test program.
#define CATCH_CONFIG_RUNNER
#include <glog/logging.h>

#include <catch2/catch.hpp>

int main(int argc, char** argv) {
  // Events below ERROR would drown the report.
  FLAGS_logtostderr = true;
  FLAGS_minloglevel = 2;
  google::InitGoogleLogging(argv[0]);
  return Catch::Session().run(argc, argv);
}
