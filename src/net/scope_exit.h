/// @file
/// Runs a function at the end of a scope, also when an exception leaves it.
#pragma once

#include <utility>

namespace limpethaven {

template <typename Function>
class ScopeExit {
 public:
  explicit ScopeExit(Function at_exit) : function(std::move(at_exit)) {}
  ~ScopeExit() { this->function(); }
  ScopeExit(const ScopeExit&) = delete;
  ScopeExit& operator=(const ScopeExit&) = delete;

 private:
  Function function;
};

}  // namespace limpethaven
