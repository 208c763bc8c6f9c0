#include "log/event_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <mutex>

namespace limpethaven {
namespace {

constexpr TimeMs kMsPerS = 1000;

EventLog* process_log = nullptr;

/// Appends a value, quoted where a reader would otherwise split it.
void AppendValue(std::string_view value, std::string& line) {
  const bool quote = value.empty() || value.find_first_of(" =\"\\\n\r\t") !=
                                          std::string_view::npos;
  if (!quote) {
    line += value;
    return;
  }
  line += '"';
  std::ranges::for_each(value, [&line](char character) {
    if (character == '"' || character == '\\') line += '\\';
    const bool control = static_cast<unsigned char>(character) < ' ';
    line += control ? ' ' : character;
  });
  line += '"';
}

}  // namespace

EventLog::EventLog(int descriptor, LogLimits log_limits)
    : out(descriptor), limits(log_limits) {
  const int flags = ::fcntl(this->out, F_GETFL);
  if (flags >= 0) ::fcntl(this->out, F_SETFL, flags | O_NONBLOCK);
}

void EventLog::SetVm(std::string name) { this->vm = std::move(name); }

void EventLog::Write(EventId event, std::initializer_list<LogField> fields,
                     TimeMs wall_ms) {
  Budget& budget = this->budgets[static_cast<int>(event)];
  if (wall_ms / kMsPerS != budget.second) {
    const std::int64_t lost = budget.dropped;
    budget = Budget{wall_ms / kMsPerS};
    if (lost > 0) {
      this->Append(
          EventId::kLogLinesDropped,
          {{"event", std::string(NameOf(event))}, LogField::Of("lines", lost)},
          wall_ms);
    }
  }
  if (++budget.lines > this->limits.max_lines_per_event_per_s) {
    ++budget.dropped;
    ++this->dropped;
    return;
  }
  this->Append(event, fields, wall_ms);
  if (this->limits.flush_each_line) this->Flush();
}

void EventLog::Append(EventId event, std::initializer_list<LogField> fields,
                      TimeMs wall_ms) {
  if (this->buffer.size() > this->limits.max_buffer_bytes) {
    ++this->dropped;
    ++this->unread;
    return;
  }
  if (this->unread > 0) {
    this->AppendLine(EventId::kLogLinesDropped,
                     {{"event", "any"}, LogField::Of("lines", this->unread)},
                     wall_ms);
    this->unread = 0;
  }
  this->AppendLine(event, fields, wall_ms);
}

void EventLog::AppendLine(EventId event, std::initializer_list<LogField> fields,
                          TimeMs wall_ms) {
  std::string& line = this->buffer;
  line.append("t=").append(std::to_string(wall_ms));
  line.append(" ev=").append(std::to_string(static_cast<int>(event)));
  line.append(" name=").append(NameOf(event));
  if (!this->vm.empty()) {
    line.append(" vm=");
    AppendValue(this->vm, line);
  }
  std::ranges::for_each(fields, [&line](const LogField& field) {
    line.append(" ").append(field.name).append("=");
    AppendValue(field.value, line);
  });
  line += '\n';
}

void EventLog::Flush() {
  while (!this->buffer.empty()) {
    const ssize_t count =
        ::write(this->out, this->buffer.data(), this->buffer.size());
    // A full pipe is tried again with the next flush.
    if (count <= 0) return;
    this->buffer.erase(0, static_cast<std::size_t>(count));
  }
  if (this->buffer.capacity() > this->limits.max_buffer_bytes / 4) {
    std::string().swap(this->buffer);
  }
}

std::uint64_t EventLog::Dropped() const noexcept { return this->dropped; }

void SetEventLog(EventLog* log) noexcept { process_log = log; }

std::uint64_t DroppedLogLines() noexcept {
  return process_log == nullptr ? 0 : process_log->Dropped();
}

void LogEvent(EventId event, std::initializer_list<LogField> fields) {
  if (process_log == nullptr) return;
  static std::mutex mutex;
  const std::lock_guard lock(mutex);
  process_log->Write(event, fields, SystemClock().WallNow());
}

}  // namespace limpethaven
