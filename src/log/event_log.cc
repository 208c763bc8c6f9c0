#include "log/event_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <mutex>

namespace limpethaven {
namespace {

constexpr TimeMs kMsPerS = 1000;

EventLog* process_log = nullptr;

/// Appends a value, in quotes if it is empty or holds a character that could
/// end it or start another field. Inside quotes, control characters become
/// spaces.
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
    : output_fd(descriptor), limits(log_limits) {
  const int flags = ::fcntl(this->output_fd, F_GETFL);
  if (flags >= 0) ::fcntl(this->output_fd, F_SETFL, flags | O_NONBLOCK);
}

void EventLog::SetVm(std::string name) { this->vm = std::move(name); }

void EventLog::Write(EventId event, std::initializer_list<LogField> fields,
                     TimeMs wall_ms) {
  LineBudget& budget = this->line_budgets[static_cast<int>(event)];
  if (wall_ms / kMsPerS != budget.second) {
    const std::int64_t dropped_lines = budget.dropped;
    budget = LineBudget{wall_ms / kMsPerS};
    if (dropped_lines > 0) {
      this->Append(EventId::kLogLinesDropped,
                   {{"event", std::string(NameOf(event))},
                    LogField::Of("lines", dropped_lines)},
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
    ++this->dropped_on_full_buffer;
    return;
  }
  if (this->dropped_on_full_buffer > 0) {
    this->AppendLine(
        EventId::kLogLinesDropped,
        {{"event", "any"}, LogField::Of("lines", this->dropped_on_full_buffer)},
        wall_ms);
    this->dropped_on_full_buffer = 0;
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
        ::write(this->output_fd, this->buffer.data(), this->buffer.size());
    // The next flush retries after a full pipe or an error.
    if (count <= 0) return;
    this->buffer.erase(0, static_cast<std::size_t>(count));
  }
  // Frees the memory that a backlog of lines has taken.
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
