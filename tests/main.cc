/// @file
/// Entry point of the test program.
#define CATCH_CONFIG_RUNNER
#include <glog/logging.h>

#include <catch2/catch.hpp>

int main(int argc, char** argv) {
  // Only messages of level ERROR and above are printed, so that they do not
  // hide the test report.
  FLAGS_logtostderr = true;
  FLAGS_minloglevel = 2;
  google::InitGoogleLogging(argv[0]);
  return Catch::Session().run(argc, argv);
}
