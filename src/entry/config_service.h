/// @file
/// Keeps the newest configuration: watches the platform, and pulls from peers
/// that are ahead.
#pragma once

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "edge/periodic.h"
#include "limpethaven/config_follower.h"
#include "limpethaven/interfaces.h"

namespace limpethaven {

/// Called after each adoption, on the thread that adopted.
using OnConfig = std::function<void(const Configuration&)>;

/// Configuration of one process. Thread safe.
class ConfigService {
 public:
  ConfigService(ConfigSource& config_source, PeerTransport& peer_transport,
                OnConfig on_adopted);
  ~ConfigService();
  ConfigService(const ConfigService&) = delete;
  ConfigService& operator=(const ConfigService&) = delete;

  void Start();
  void Stop();
  [[nodiscard]] std::shared_ptr<const Configuration> Snapshot() const;
  /// A peer said that it has this version. @param digest First digits of its
  /// digest.
  void OnPeerVersion(std::string_view address, std::uint64_t version,
                     std::string_view digest);
  /// Asks a peer now, whatever version it has. @returns whether it answered.
  bool PullFrom(const std::string& address);
  /// Takes in changes that an operator hands over while the platform is down.
  bool Offer(const std::vector<ConfigChange>& changes);
  /// Answers a peer's pull.
  [[nodiscard]] Result<std::string> AnswerPull(const std::string& body) const;
  /// Whether the platform has answered at least once.
  [[nodiscard]] bool SourceAnswered() const noexcept;

 private:
  void WatchSource();
  /// Waits before another try. @returns false once stopping.
  bool PauseBeforeRetry();
  void AdoptHead(const ConfigHead& head);
  [[nodiscard]] Result<std::vector<Entity>> ReadChunks(const ConfigHead& head);
  /// Applies under the lock, then reports.
  template <typename Apply>
  bool Adopt(std::string_view from, Apply apply);

  ConfigSource& source;
  PeerTransport& peers;
  OnConfig on_config;
  mutable std::mutex mutex;
  std::mutex
      adoption;  ///< Serialises adoptions, so that callbacks come in order.
  ConfigFollower follower;
  std::string pull_from;
  std::atomic<bool> source_answered = false;
  std::condition_variable stop_wake;
  bool stopping = false;
  Periodic puller;
  std::thread watcher;
};

}  // namespace limpethaven
