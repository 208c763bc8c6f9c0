/// @file
/// Records the requests that a stand-in received, so that tests can check that
/// secrets such as API keys did not reach it.
#pragma once

#include <httplib.h>

#include <algorithm>
#include <mutex>
#include <string>
#include <string_view>

namespace limpethaven {

/// Text of the requests received: method, target, headers and body. Once the
/// text is longer than `kMaxBytes`, further requests are not recorded. Safe for
/// use by several threads.
class SeenLog {
 public:
  void Add(const httplib::Request& request) {
    const std::lock_guard lock(this->mutex);
    if (this->text.size() > kMaxBytes) return;
    this->text.append(request.method)
        .append(" ")
        .append(request.target)
        .append("\n");
    std::ranges::for_each(request.headers, [this](const auto& header) {
      this->text.append(header.first)
          .append(": ")
          .append(header.second)
          .append("\n");
    });
    this->text.append(request.body).append("\n");
  }

  [[nodiscard]] bool Contains(std::string_view needle) const {
    const std::lock_guard lock(this->mutex);
    return this->text.find(needle) != std::string::npos;
  }

 private:
  static constexpr std::size_t kMaxBytes = 64'000'000;
  mutable std::mutex mutex;
  std::string text;
};

}  // namespace limpethaven
